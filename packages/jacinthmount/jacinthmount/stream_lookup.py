"""Decides at which version a stream goes on that began at another host."""

from collections.abc import Iterable

from jacinthmount.records import Record
from jacinthmount.stream_origins import StreamOrigin

__all__ = ('StreamReply', 'find_known', 'find_only_version', 'is_settled')


class StreamReply(Record):
    """What one host knows of a stream.

    ``is_settled`` is true for the active runner once it knows the versions that
    have left lately: if it does not know the stream, nobody will. ``versions``
    are those that may have begun a stream, by service.
    """

    __slots__ = ('origin', 'is_settled', 'versions')

    origin: StreamOrigin | None
    is_settled: bool
    versions: dict[str, list[str]]


def find_known(replies: Iterable[StreamReply]) -> StreamOrigin | None:
    """Finds the origin that a host knows."""
    for reply in replies:
        if reply.origin is not None:
            return reply.origin
    return None


def is_settled(replies: Iterable[StreamReply]) -> bool:
    """Returns whether further replies can't bring an unknown origin."""
    return any(reply.is_settled for reply in replies)


def find_only_version(
    services: Iterable[str], known: Iterable[dict[str, list[str]]]
) -> StreamOrigin | None:
    """Finds the version of a stream that only one version can have begun.

    :param services: the services that may have begun it.
    :param known: versions by service, as known to each host that was asked.
    """
    names = list(services)
    found: set[tuple[str, str]] = set()
    for versions in known:
        for name in names:
            found.update((name, one) for one in versions.get(name, ()))
    if len(found) != 1:
        return None
    service, version = found.pop()
    return StreamOrigin(
        service=service, endpoint_id='', started_at_ms=0, version=version
    )
