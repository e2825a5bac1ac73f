"""Registered hosts, their ranks, and the contacts between them."""

from jacinthmount.hashing import hash_text
from jacinthmount.records import Record

__all__ = ('HostRecord', 'PeerContacts', 'replacement_quorum', 'rank_hosts')

HOST_PREFIX = 'fleet/hosts/'
# A confirmed slot expires before the host can be replaced.
CONFIRMATION_VALID_S = 10.0
UNRESPONSIVE_S = 12.0


class HostRecord(Record):
    """A registered host, with its addresses and incarnation."""

    __slots__ = (
        'host',
        'incarnation',
        'data_centre',
        'peer_address',
        'admin_address',
        'leaving',
        'write_id',
    )

    host: str
    incarnation: str
    data_centre: str
    peer_address: str
    admin_address: str
    leaving: bool
    write_id: str


def rank_hosts(subject: str, hosts: list[str]) -> list[str]:
    """Orders hosts for a subject by rendezvous hashing, highest rank first."""
    return sorted(
        hosts,
        key=lambda host: hash_text(f'{subject}@{host}'),
        reverse=True,
    )


def replacement_quorum(slots: int) -> int:
    """Returns how many hosts must find a host unresponsive to replace it.

    Any such set of hosts intersects every majority of the slots.
    """
    majority = slots // 2 + 1
    return slots - majority + 1


class PeerContacts:
    """Times of the last replies of peers to this host, and of their requests.

    A reply counts with the time at which its request was sent, so that replies
    that are read late, after a pause of the process, confirm nothing.
    """

    __slots__ = (
        '_replied_at',
        '_requested_at',
        '_platform_confirmed_at',
        '_started_at',
    )

    def __init__(self, *, now: float) -> None:
        """Starts with no contacts.

        :param now: monotonic seconds.
        """
        self._replied_at: dict[str, float] = {}
        self._requested_at: dict[str, float] = {}
        self._platform_confirmed_at = -CONFIRMATION_VALID_S
        self._started_at = now

    def on_peer_reply(self, host: str, sent_at: float) -> None:
        """Records a reply of a peer.

        :param sent_at: monotonic time at which the request was sent.
        """
        previous = self._replied_at.get(host, sent_at)
        self._replied_at[host] = max(previous, sent_at)

    def on_platform_confirmation(self, sent_at: float) -> None:
        """Records that the platform listed this host in the share table.

        :param sent_at: monotonic time at which the request was sent.
        """
        self._platform_confirmed_at = max(self._platform_confirmed_at, sent_at)

    def on_peer_request(self, host: str, now: float) -> None:
        """Records a request of a peer, which this host is about to answer."""
        self._requested_at[host] = now

    def unresponsive(self, hosts: list[str], now: float) -> list[str]:
        """Lists the hosts that sent no request for ``UNRESPONSIVE_S``."""
        return [
            host
            for host in hosts
            if now - self._requested_at.get(host, self._started_at)
            >= UNRESPONSIVE_S
        ]

    def confirmed(self, own: str, slots: list[str], now: float) -> bool:
        """Returns whether the slot of this host is confirmed.

        It is while a majority of the slots, its own included, or the platform
        confirmed it within the last ``CONFIRMATION_VALID_S`` seconds.
        """
        if own not in slots:
            return False
        by_platform = now - self._platform_confirmed_at < CONFIRMATION_VALID_S
        return by_platform or self.confirmed_by_majority(own, slots, now)

    def confirmed_by_majority(
        self, own: str, slots: list[str], now: float
    ) -> bool:
        """Returns whether a majority of the slots confirmed this host."""
        confirming = [
            host
            for host in slots
            if host == own
            or now - self._replied_at.get(host, now - CONFIRMATION_VALID_S)
            < CONFIRMATION_VALID_S
        ]
        return len(confirming) * 2 > len(slots)
