"""Operator command line."""

__all__ = ()
