"""Since when this host has been connected to an address without a gap.

One process serves an address as long as some connection to it stays open: a
connection that is made while an older one lives leads to the same process.
"""

import math
import socket as std_socket
import time
from typing import Any

from jacinthmount.ports import AddressContacts, Clock

__all__ = ('Contact', 'Contacts')

# No process starts again within this time after its connections were lost.
MIN_RESTART_S = 0.1
# Connections are looked at again after this time.
CHECK_INTERVAL_S = 0.05
# Addresses without connections that are remembered.
MAX_ADDRESSES = 4096
PEEK_FLAGS = std_socket.MSG_PEEK | std_socket.MSG_DONTWAIT


class Contact:
    """One connection to an address.

    ``usable_until`` is when it stops to show anything as it is idle, in
    monotonic seconds; ``inf`` while it is in use.
    """

    __slots__ = ('_contacts', 'address', 'sock', 'usable_until')

    def __init__(
        self, *, address: str, sock: Any, contacts: 'Contacts | None' = None
    ) -> None:
        """Creates a connection in use.

        :param contacts: told of its end.
        """
        self._contacts = contacts
        self.address = address
        self.sock = sock
        self.usable_until = math.inf

    @property
    def in_use(self) -> bool:
        """Whether an exchange uses it."""
        return math.isinf(self.usable_until)

    def close(self) -> None:
        """Records that the connection is about to be closed here."""
        if self._contacts is not None:
            self._contacts.forget(self)

    def is_expired(self) -> bool:
        """Returns whether it has been idle for too long."""
        return time.monotonic() >= self.usable_until

    def is_ended(self) -> bool:
        """Returns whether the peer has closed or reset it."""
        try:
            with self.sock.blocking() as raw:
                return not raw.recv(1, PEEK_FLAGS)
        except BlockingIOError:
            return False
        except (OSError, AttributeError):
            # A closed curio socket has no socket any more.
            return True


class _Address:
    """Connections to an address, and when they were all lost.

    ``since`` is the start of the first of them without a gap, ``inf`` if there
    is none. ``lost_at`` is when the peer last ended all of them. A gap that
    began at ``gap_at``, with these values at that time, is none if it ends
    soon.
    """

    __slots__ = (
        '_gap_at',
        '_gap_lost_at',
        '_gap_since',
        'checked_at',
        'contacts',
        'lost_at',
        'since',
    )

    def __init__(self) -> None:
        self.checked_at = -math.inf
        self.contacts: set[Contact] = set()
        self.since = math.inf
        self.lost_at = -math.inf
        self._gap_at = -math.inf
        self._gap_since = math.inf
        self._gap_lost_at = -math.inf

    def check(self, now: float) -> None:
        """Drops the connections that show nothing any more."""
        self.checked_at = now
        if not self.contacts:
            return
        ended = {one for one in self.contacts if one.is_ended()}
        expired = {one for one in self.contacts if one.is_expired()}
        self.contacts -= ended | expired
        if self.contacts:
            return
        # Idle ones may have ended long before.
        is_exact = any(one.in_use for one in ended)
        self._begin_gap(now if is_exact else -math.inf)
        if ended - expired:
            self.lost_at = now

    def add(self, contact: Contact, now: float) -> None:
        """Adds a new connection."""
        if not self.contacts:
            self.since = now
            if now - self._gap_at <= MIN_RESTART_S:
                self.since = self._gap_since
                self.lost_at = self._gap_lost_at
        self.contacts.add(contact)

    def close(self, contact: Contact, now: float) -> None:
        """Drops a connection that ends here."""
        self.check(now)
        if contact in self.contacts:
            self.contacts.discard(contact)
            if not self.contacts:
                self._begin_gap(now)

    def lose(self, now: float) -> None:
        """Records that the address takes no connection."""
        self.check(now)
        if not self.contacts:
            self._gap_at = -math.inf
            self.lost_at = now

    def _begin_gap(self, now: float) -> None:
        self._gap_at = now
        self._gap_since = self.since
        self._gap_lost_at = self.lost_at
        self.since = math.inf


class Contacts(AddressContacts):
    """Connections of one pool by address."""

    __slots__ = ('_addresses', '_clock')

    def __init__(self, *, clock: Clock) -> None:
        """Starts without connections."""
        self._clock = clock
        self._addresses: dict[str, _Address] = {}

    def open(self, address: str, sock: Any) -> Contact:
        """Records a connection that was just made."""
        contact = Contact(address=address, sock=sock, contacts=self)
        known = self._find(address)
        now = self._clock.boot_now()
        known.check(now)
        known.add(contact, now)
        return contact

    def forget(self, contact: Contact) -> None:
        """Records that a connection is about to be closed here."""
        now = self._clock.boot_now()
        self._find(contact.address).close(contact, now)

    def note_refused(self, address: str) -> None:
        """Records that an address took no connection."""
        self._find(address).lose(self._clock.boot_now())

    def since(self, address: str) -> float:
        """Implements :meth:`AddressContacts.since`."""
        return self._check(address).since

    def lost_at(self, address: str) -> float:
        """Implements :meth:`AddressContacts.lost_at`."""
        return self._check(address).lost_at

    def _check(self, address: str) -> _Address:
        known = self._find(address)
        now = self._clock.boot_now()
        if now >= known.checked_at + CHECK_INTERVAL_S:
            known.check(now)
        return known

    def _find(self, address: str) -> _Address:
        known = self._addresses.get(address)
        if known is None:
            self._drop_unused()
            known = _Address()
            self._addresses[address] = known
        return known

    def _drop_unused(self) -> None:
        if len(self._addresses) < MAX_ADDRESSES:
            return
        for address, known in list(self._addresses.items()):
            if not known.contacts:
                self._addresses.pop(address)
