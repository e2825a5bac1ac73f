"""Command line for operators of a jacinthmount fleet."""

__all__ = ()
