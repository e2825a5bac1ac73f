"""Messages between relay hosts that the build released last doesn't know.

Such a host closes the connection at them, see
:class:`~jacinthmount_node.relay.tracked_links.TrackedLinks`.
"""

from jacinthmount.records import Record
from jacinthmount.stream_origins import BegunStreams

__all__ = (
    'NEW_MESSAGES',
    'FrontAddress',
    'FrontAsk',
    'StreamAsk',
    'StreamNews',
)


class FrontAsk(Record):
    """Requests the address at which a host serves callers."""

    __slots__ = ()


class FrontAddress(Record):
    """The address at which a host serves callers, empty if it serves none."""

    __slots__ = ('address',)

    address: str


class StreamNews(Record):
    """Streams that have begun at a host."""

    __slots__ = ('begun',)

    begun: list[BegunStreams]


class StreamAsk(Record):
    """Requests what a host knows of a stream, empty for the versions only."""

    __slots__ = ('stream',)

    stream: str


# The requests among them.
NEW_MESSAGES = (FrontAsk, StreamAsk, StreamNews)
