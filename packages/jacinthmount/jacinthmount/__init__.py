"""Decisions and ports of the serving system, free of input and output."""

__all__ = ('__version__',)

__version__ = '0.1.0'
