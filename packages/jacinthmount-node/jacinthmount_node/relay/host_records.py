"""Registrations of hosts, as far as other hosts can use them."""

import re

from jacinthmount.errors import MalformedRecord
from jacinthmount.ports import Stored
from jacinthmount.records import parse_json

from jacinthmount_node.bad_objects import BadObjectLog
from jacinthmount_node.net.sockets import is_address
from jacinthmount_node.relay.messages import RelayHost

__all__ = ('HostRecords',)

NAME = re.compile('[!-~]{1,255}')


class HostRecords:
    """Reads the registrations of hosts and logs those that are not valid."""

    __slots__ = ('_bad_objects',)

    def __init__(self) -> None:
        self._bad_objects = BadObjectLog()

    def read(self, objects: list[Stored]) -> list[RelayHost]:
        """Returns the hosts whose registrations are valid."""
        hosts = []
        for stored in objects:
            try:
                hosts.append(_parse(stored.body or ''))
            except MalformedRecord as exc:
                self._bad_objects.note(stored.name, stored.version, exc.detail)
        return hosts


def _parse(body: str) -> RelayHost:
    record = parse_json(RelayHost, body)
    if not NAME.fullmatch(record.host):
        raise MalformedRecord(detail='host is no name')
    if not is_address(record.peer_address):
        raise MalformedRecord(detail='peer_address is no IPv4 address and port')
    return record
