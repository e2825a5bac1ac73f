"""One message to one host of the data centre, with or without success."""

from jacinthmount.errors import PeerUnavailable
from jacinthmount.records import Record

from jacinthmount_node.net.peers import PeerLinks
from jacinthmount_node.node import Node

__all__ = ('notify_host',)


async def notify_host(
    node: Node,
    links: PeerLinks,
    host: str,
    message: Record,
    timeout_s: float,
) -> bool:
    """Tells a host something.

    :returns: whether it answered in time.
    """
    record = node.members.get(host)
    if record is None:
        return False
    try:
        await links.request(record, message, timeout_s)
    except PeerUnavailable:
        return False
    return True
