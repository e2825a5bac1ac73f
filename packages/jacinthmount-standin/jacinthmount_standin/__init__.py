"""Stand-ins for what surrounds the system, and a load tool."""

__all__ = ()
