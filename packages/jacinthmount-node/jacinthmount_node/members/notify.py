"""Best-effort messages to single hosts."""

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
    """Sends a message to a host once.

    :param timeout_s: seconds to wait for the reply.
    :returns: whether the host replied in time.
    """
    record = node.members.get(host)
    if record is None:
        return False
    try:
        await links.request(record, message, timeout_s)
    except PeerUnavailable:
        return False
    return True
