"""Tests; one module for each module or promise."""

__all__ = ()
