"""Requests of callers, from the listener to the answer."""
