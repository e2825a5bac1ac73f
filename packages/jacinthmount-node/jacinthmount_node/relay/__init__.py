"""Relay of HTTP requests to the endpoints registered for a service.

Routes select a service by host name and path prefix. Bodies and responses are
passed on unchanged. Batches of such requests are kept in the object store, and
their results are read by position.
"""
