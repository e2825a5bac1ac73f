"""Manifests of batches out of a listing, without those that are not valid."""

from jacinthmount.errors import MalformedRecord
from jacinthmount.item_batches import ItemBatch
from jacinthmount.ports import Stored
from jacinthmount.records import parse_json

from jacinthmount_node.logs import log_event

__all__ = ('parse_manifests',)


def parse_manifests(objects: list[Stored]) -> dict[str, ItemBatch]:
    """Decodes manifests by object name, and logs what is none."""
    manifests = {}
    for stored in objects:
        try:
            manifests[stored.name] = parse_json(ItemBatch, stored.body or '')
        except MalformedRecord as exc:
            log_event('bad_object', name=stored.name, detail=exc.detail)
    return manifests
