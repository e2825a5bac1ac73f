"""Tests; one module for each module or guarantee."""

__all__ = ()
