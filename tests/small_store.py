"""A store with a low limit of a value, and a text that takes much of it."""

from jacinthmount.errors import ValueTooLarge
from jacinthmount.stores import MemoryStore

__all__ = ('SMALL_BYTES', 'URDU', 'SmallStore')

SMALL_BYTES = 10_000
URDU = 'آپ کی درخواست موصول ہو گئی ہے '


class SmallStore(MemoryStore):
    """A store that takes less than hosts assume."""

    __slots__ = ()

    async def write(self, name, body, expected):
        """Refuses a body above the limit."""
        if len(body) > SMALL_BYTES:
            raise ValueTooLarge(detail=name)
        return await super().write(name, body, expected)
