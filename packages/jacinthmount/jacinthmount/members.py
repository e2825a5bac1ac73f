"""Hosts of the system, their ranks, and who hears whom."""

from jacinthmount.hashing import hash_text
from jacinthmount.records import Record

__all__ = ('HostRecord', 'PeerContacts', 'replacement_quorum', 'rank_hosts')

HOST_PREFIX = 'fleet/hosts/'
CONFIRMATION_VALID_S = 10.0
UNRESPONSIVE_S = 12.0


class HostRecord(Record):
    """A host that takes part: where it listens and which start it is."""

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
    """Orders hosts for a subject by rendezvous hashing, the first best."""
    return sorted(
        hosts,
        key=lambda host: hash_text(f'{subject}@{host}'),
        reverse=True,
    )


def replacement_quorum(slots: int) -> int:
    """Counts the hosts that must miss a host before it may be replaced.

    Any that many hosts share a member with every majority of the slots.
    """
    majority = slots // 2 + 1
    return slots - majority + 1


class PeerContacts:
    """Which peers answered this host, and which were heard by it.

    Time of an answer is the time at which its question was sent, so that
    answers read late, after a pause of the process, confirm nothing.
    """

    __slots__ = ('_answered', '_heard', '_platform', '_started')

    def __init__(self, *, now: float) -> None:
        """Starts with nothing heard.

        :param now: monotonic seconds.
        """
        self._answered: dict[str, float] = {}
        self._heard: dict[str, float] = {}
        self._platform = -CONFIRMATION_VALID_S
        self._started = now

    def on_peer_reply(self, host: str, asked_at: float) -> None:
        """Notes an answer of a peer to a question sent at a time."""
        previous = self._answered.get(host, asked_at)
        self._answered[host] = max(previous, asked_at)

    def on_platform_confirmation(self, asked_at: float) -> None:
        """Notes that the platform showed this host in the share table."""
        self._platform = max(self._platform, asked_at)

    def on_peer_request(self, host: str, now: float) -> None:
        """Notes a question of a peer, which this host is about to answer."""
        self._heard[host] = now

    def unresponsive(self, hosts: list[str], now: float) -> list[str]:
        """Lists the hosts that sent no question for the time required."""
        return [
            host
            for host in hosts
            if now - self._heard.get(host, self._started) >= UNRESPONSIVE_S
        ]

    def confirmed(self, own: str, slots: list[str], now: float) -> bool:
        """Tells whether this host may use what its slot entitles it to.

        Holds while a majority of the slots, itself included, or the platform
        confirmed the slot in the last ``CONFIRMATION_VALID_S`` seconds.
        """
        if own not in slots:
            return False
        by_platform = now - self._platform < CONFIRMATION_VALID_S
        return by_platform or self.confirmed_by_majority(own, slots, now)

    def confirmed_by_majority(
        self, own: str, slots: list[str], now: float
    ) -> bool:
        """Tells whether a majority of the slots answered lately."""
        fresh = [
            host
            for host in slots
            if host == own
            or now - self._answered.get(host, now - CONFIRMATION_VALID_S)
            < CONFIRMATION_VALID_S
        ]
        return len(fresh) * 2 > len(slots)
