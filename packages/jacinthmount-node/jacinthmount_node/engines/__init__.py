"""Engines: load, room, orders and requests to them."""
