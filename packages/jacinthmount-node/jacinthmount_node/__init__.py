"""Adapters and tasks of the node process."""

__all__ = ()
