"""Engines: load, batch capacity, orders and requests."""
