"""Operator actions on a test fleet."""

import curio
from jacinthmount_ctl import porcelain
from jacinthmount_node.net.client_pool import ClientPool
from jacinthmount_node.net.object_api import HttpStore

from jacinthmount_standin.declare import Declared, write_declarations
from jacinthmount_standin.fleet import Fleet

__all__ = ('apply_declared', 'open_store')


def open_store(fleet: Fleet) -> HttpStore:
    """Opens the object store of the platform of a fleet."""
    address = f'127.0.0.1:{fleet.platform_port}'
    return HttpStore(addresses=[address], pool=ClientPool())


def apply_declared(fleet: Fleet, declared: Declared) -> int:
    """Writes and applies declarations.

    :returns: the newest version written, or 0 if nothing changed.
    """
    folder = fleet.declarations_path
    write_declarations(folder, declared)
    records = porcelain.read_declarations(str(folder))
    plan = curio.run(porcelain.plan_changes, open_store(fleet), records)
    return curio.run(porcelain.apply_changes, open_store(fleet), plan)
