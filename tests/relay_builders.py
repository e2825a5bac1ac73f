"""Builders of relay records, shared by the tests of the relay."""

from typing import Any

from jacinthmount.batch_order import ItemRun
from jacinthmount.endpoint_table import EndpointEntry
from jacinthmount.fleet_config import (
    AccountRule,
    CallerLimits,
    FleetConfig,
    RouteRule,
    WeightedService,
)
from jacinthmount.item_batches import (
    BatchItem,
    BodyChunk,
    ItemBatch,
    ItemResult,
    ResultSegment,
)
from jacinthmount.keys import hash_secret
from jacinthmount_node.relay.settings import RelaySettings

__all__ = (
    'make_config',
    'make_entry',
    'make_item',
    'make_relay_settings',
    'make_manifest',
    'make_route',
    'make_run',
    'make_segment',
)


def make_entry(endpoint_id: str, **changes: Any) -> EndpointEntry:
    """Builds an endpoint with two slots."""
    fields: dict[str, Any] = {
        'endpoint_id': endpoint_id,
        'service': 'model-a',
        'address': '127.0.0.1:1000',
        'data_centre': 'east',
        'slots': 2,
        'leaving': False,
        'started_at_ms': 1,
        'cold_left_s': 0.0,
        'version': 'v1',
    }
    return EndpointEntry(**{**fields, **changes})


def make_relay_settings(**changes: Any) -> RelaySettings:
    """Builds the settings of a front without listeners for callers."""
    fields: dict[str, Any] = {
        'host': 'h1',
        'data_centre': 'east',
        'ip': '',
        'front_listen': '',
        'ready_listen': '',
        'peer_listen': 'h1:1',
        'metrics_listen': '',
        'seeds': [],
        'platform': '',
        'runs_batches': False,
        'stop_s': 8,
        'memory_mb': 0,
        'max_descriptors': 0,
        'rate_slack': 0,
        'rate_window_s': 5,
        'config_object': 'config/main',
        'endpoint_prefix': 'servers/',
        'evacuation_prefix': 'evacuations/',
    }
    return RelaySettings(**{**fields, **changes})


def make_route(name: str, **changes: Any) -> RouteRule:
    """Builds a route whose streams must not be retried."""
    fields: dict[str, Any] = {
        'name': name,
        'host_name': 'scans.example',
        'path_prefix': f'/{name}/',
        'streams': True,
        'takes_batches': False,
        'idempotent': False,
        'resumable': False,
        'public': False,
        'timeout_s': 5.0,
        'target_s': 0.3,
        'max_attempts': 1,
        'services': [WeightedService(service='model-a', weight=1.0)],
        'completion_s': 0.0,
        'retention_s': 0.0,
        'waiting_token_cap': 0,
    }
    return RouteRule(**{**fields, **changes})


def make_config(*routes: RouteRule, version: int = 1) -> FleetConfig:
    """Builds a configuration with one account, whose key is ``secret``."""
    return FleetConfig(
        version=version,
        routes=list(routes),
        services=[],
        accounts=[
            AccountRule(
                name='gin',
                key_hashes=[hash_secret('secret')],
                rate_per_s=10.0,
                burst=10.0,
            ),
        ],
        limits=CallerLimits(
            header_bytes=16_384,
            body_bytes=1_000_000,
            header_s=3.0,
            idle_s=15.0,
        ),
    )


def make_run(item_id: str, **changes: Any) -> ItemRun:
    """Builds an item of a batch that is due at 10 s."""
    fields: dict[str, Any] = {
        'batch': 'b',
        'batch_id': 'b1',
        'item_id': item_id,
        'account': 'gin',
        'host_name': 'scans.example',
        'path': '/audit/1',
        'headers': {},
        'body': b'',
        'tokens': 100,
        'due_at': 10.0,
    }
    return ItemRun(**{**fields, **changes})


def make_item(item_id: str, body: str = 'AAAA') -> BatchItem:
    """Builds an item of a submission."""
    return BatchItem(
        item_id=item_id,
        path='/audit/1',
        headers={'a': 'b'},
        body=body,
        tokens=100,
    )


def make_segment(*item_ids: str) -> ResultSegment:
    """Builds a segment of completed results."""
    return ResultSegment(
        results=[
            ItemResult(item_id=item_id, completed=True, text=f'of {item_id}')
            for item_id in item_ids
        ],
        write_id='-'.join(item_ids),
    )


def make_manifest(**changes: Any) -> ItemBatch:
    """Builds the manifest of four items."""
    fields: dict[str, Any] = {
        'batch_id': 'b1',
        'account': 'gin',
        'route': 'audit',
        'host_name': 'scans.example',
        'accepted_at_ms': 0,
        'due_at_ms': 18_000,
        'keep_until_ms': 60_000,
        'max_attempts': 3,
        'item_ids': ['a', 'b', 'c', 'd'],
        'token_counts': [100, 100, 100, 100],
        'embedded': BodyChunk(carried='', items=[]),
        'chunks': 1,
        'ended': False,
        'write_id': 'w',
    }
    return ItemBatch(**{**fields, **changes})
