"""The node process: its tasks and the adapters of its ports."""

__all__ = ()
