"""Stand-ins for the platform, engines and services, and a load tool."""

__all__ = ()
