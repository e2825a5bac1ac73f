"""Specifications of the core protocols, for exhaustive exploration."""

__all__ = ()
