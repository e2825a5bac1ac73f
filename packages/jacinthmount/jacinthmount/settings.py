"""Settings of a node and their INI schema."""

import types
from collections.abc import Mapping
from typing import Any

from jacinthmount.errors import InvalidDeclarations
from jacinthmount.ini import Option, iter_sections, make_option, parse_section
from jacinthmount.records import Record

__all__ = ('NODE_SCHEMA', 'Settings', 'parse_settings')


class Settings(Record):
    """Settings of one node process."""

    __slots__ = (
        'host',
        'data_centre',
        'listen',
        'peer_listen',
        'peer_advertise',
        'admin_listen',
        'admin_token_file',
        'platform',
        'weight_store',
        'peers',
        'tls_ca',
        'tls_cert',
        'tls_key',
        'log_file',
        'drain_delay_s',
        'stop_s',
        'memory_mb',
        'batch_streams',
        'batch_look_ahead',
    )

    host: str
    data_centre: str
    listen: str
    peer_listen: str
    peer_advertise: str
    admin_listen: str
    admin_token_file: str
    platform: list[str]
    weight_store: list[str]
    peers: list[str]
    tls_ca: str
    tls_cert: str
    tls_key: str
    log_file: str
    drain_delay_s: float
    stop_s: float
    memory_mb: int
    batch_streams: int
    batch_look_ahead: int

    def peer_address(self) -> str:
        """Returns the address that other hosts connect to."""
        return self.peer_advertise or self.peer_listen


NODE_SCHEMA: Mapping[str, tuple[Option, ...]] = types.MappingProxyType({
    'node': (
        make_option('host', 'text', 'name', 'Unique name of the host.'),
        make_option('data_centre', 'text', 'name', 'Data centre of the host.'),
        make_option(
            'log_file',
            'text',
            'path',
            'JSON lines log; empty for stdout.',
            default='',
        ),
        make_option(
            'drain_delay_s',
            'float',
            'seconds',
            'Delay from not ready to closed listeners at shutdown.',
            default='3',
            low=0,
            high=300,
        ),
        make_option(
            'stop_s',
            'float',
            'seconds',
            'Time from SIGTERM to the end of the process.',
            default='30',
            low=1,
            high=3600,
        ),
        make_option(
            'memory_mb',
            'int',
            'MB',
            'Memory that the process may use; 0 for that of the machine.',
            default='0',
            low=0,
            high=16_777_216,
        ),
        make_option(
            'batch_streams',
            'int',
            'items',
            'Most batch items in flight on this host.',
            default='64',
            low=0,
            high=4096,
        ),
        make_option(
            'batch_look_ahead',
            'int',
            'items',
            'Items of a chunk in which a cached prefix is searched.',
            default='250',
            low=1,
            high=250,
        ),
    ),
    'listen': (
        make_option('listen', 'text', 'IP:port', 'Address for callers.'),
        make_option(
            'peer_listen', 'text', 'IP:port', 'Address for other hosts.'
        ),
        make_option(
            'peer_advertise',
            'text',
            'IP:port',
            'Address that other hosts connect to; empty for peer_listen.',
            default='',
        ),
        make_option(
            'admin_listen', 'text', 'IP:port', 'Address for operators.'
        ),
        make_option(
            'admin_token_file',
            'text',
            'path',
            'File with the token that operators present.',
        ),
    ),
    'platform': (
        make_option(
            'platform',
            'list',
            'IP:port, ...',
            'Addresses of the platform.',
        ),
        make_option(
            'weight_store',
            'list',
            'IP:port, ...',
            'Addresses of the weight store; empty if there is none.',
            default='',
        ),
    ),
    'peers': (
        make_option(
            'peers',
            'list',
            'IP:port, ...',
            'Peer addresses known at start.',
            default='',
        ),
        make_option('tls_ca', 'text', 'path', 'Certificates of the fleet.'),
        make_option('tls_cert', 'text', 'path', 'Certificate of this host.'),
        make_option('tls_key', 'text', 'path', 'Private key of this host.'),
    ),
})


def parse_settings(text: str, source: str) -> Settings:
    """Parses node settings.

    :param text: INI text.
    :param source: file name for messages.
    :raises InvalidDeclarations: with a list of all problems.
    """
    problems: list[str] = []
    sections = dict(iter_sections(text, source, problems))
    for section in sorted(set(sections) - set(NODE_SCHEMA)):
        allowed = ', '.join(NODE_SCHEMA)
        problems.append(
            f'{source}: [{section}]: unknown section; allowed: {allowed}',
        )
    fields: dict[str, Any] = {}
    for section, schema in NODE_SCHEMA.items():
        location = f'{source}: [{section}]'
        raw = sections.get(section, {})
        fields.update(parse_section(schema, raw, location, problems))
    if problems:
        raise InvalidDeclarations(problems=problems)
    return Settings(**fields)
