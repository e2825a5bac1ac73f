"""Relay of requests to services that endpoints register themselves for.

Routes choose by host name and path prefix; bodies and answers pass unchanged.
Batches of such requests are kept in the object store and read by position.
"""
