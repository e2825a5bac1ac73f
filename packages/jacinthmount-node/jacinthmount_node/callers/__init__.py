"""Requests of callers: HTTP routes, admission and execution."""
