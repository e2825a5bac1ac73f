"""Sockets, HTTP, links to peers and the object API."""
