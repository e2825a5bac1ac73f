"""Where streams began: the endpoint, its lifetime and its software version.

What two software versions write does not fit together, so a stream may go on
only at the version that began it.
"""

from collections.abc import Iterable

from jacinthmount.records import Record

__all__ = (
    'MAX_STREAMS',
    'BegunStreams',
    'NotedOrigin',
    'StreamOrigin',
    'StreamOrigins',
    'pack_streams',
)

MAX_STREAMS = 20_000


class StreamOrigin(Record):
    """The process of an endpoint that began a stream.

    ``endpoint_id`` is empty if only the version is known.
    """

    __slots__ = ('service', 'endpoint_id', 'started_at_ms', 'version')

    service: str
    endpoint_id: str
    started_at_ms: int
    version: str


class BegunStreams(Record):
    """Digests of the streams that one process of an endpoint began."""

    __slots__ = ('origin', 'streams')

    origin: StreamOrigin
    streams: list[str]


class NotedOrigin:
    """The origin of one stream, and when this process learned it."""

    __slots__ = ('at', 'origin')

    def __init__(self, *, origin: StreamOrigin, at: float) -> None:
        self.origin = origin
        self.at = at


class StreamOrigins:
    """Origins of recent streams by their digests, limited by age and number."""

    __slots__ = ('_begun', 'changes', 'valid_s')

    def __init__(self, *, valid_s: float) -> None:
        """Starts empty.

        :param valid_s: seconds after which a stream is no longer resumed.
        """
        self.valid_s = valid_s
        # Number of origins that were new.
        self.changes = 0
        # Ordered by the time at which each was noted.
        self._begun: dict[str, NotedOrigin] = {}

    def note(self, stream: str, origin: StreamOrigin, now: float) -> None:
        """Records where a stream began."""
        known = self._begun.pop(stream, None)
        self._begun[stream] = NotedOrigin(origin=origin, at=now)
        if known is None or known.origin != origin:
            self.changes += 1
        self._drop_old(now)

    def note_all(self, begun: Iterable[BegunStreams], now: float) -> None:
        """Records the origins of many streams."""
        for group in begun:
            for stream in group.streams:
                self.note(stream, group.origin, now)

    def note_missing(self, begun: Iterable[BegunStreams], now: float) -> None:
        """Records the origins of those streams that are not known yet."""
        for group in begun:
            for stream in group.streams:
                if stream not in self._begun:
                    self.note(stream, group.origin, now)

    def find(self, stream: str, now: float) -> NotedOrigin | None:
        """Finds the origin of a stream, or None if it is not known."""
        noted = self._begun.get(stream)
        if noted is None or now > noted.at + self.valid_s:
            return None
        return noted

    def items(self, now: float) -> list[tuple[str, StreamOrigin]]:
        """Lists all streams that may still be resumed, with their origins."""
        self._drop_old(now)
        return [(stream, one.origin) for stream, one in self._begun.items()]

    def pack(self, now: float) -> list[BegunStreams]:
        """Lists all streams that may still be resumed, by their origins."""
        return pack_streams(self.items(now))

    def _drop_old(self, now: float) -> None:
        excess = len(self._begun) - MAX_STREAMS
        old = []
        for number, (stream, begun) in enumerate(self._begun.items()):
            if number >= excess and now <= begun.at + self.valid_s:
                break
            old.append(stream)
        for stream in old:
            self._begun.pop(stream)


def pack_streams(
    streams: Iterable[tuple[str, StreamOrigin]],
) -> list[BegunStreams]:
    """Groups the digests of streams by their origins."""
    groups: dict[StreamOrigin, BegunStreams] = {}
    for stream, origin in streams:
        group = groups.setdefault(
            origin, BegunStreams(origin=origin, streams=[])
        )
        group.streams.append(stream)
    return list(groups.values())
