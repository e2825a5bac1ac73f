"""Starts a front or runner whose connections to engines can be cut.

A file beside the settings, with the suffix ``.cut``, holds the way of the cut
and the ports of the engines. ``refuse`` refuses new connections, ``hang``
leaves them without an answer; ``reset`` refuses them and closes the ones that
are open.
"""

import json
import os
import runpy
import sys
import threading
import time
from pathlib import Path

import curio

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / 'platform'))
sys.path.insert(0, str(ROOT / 'packages' / 'jacinthmount'))
sys.path.insert(0, str(ROOT / 'packages' / 'jacinthmount-node'))

from jacinthmount_node.net import client_pool, sockets  # noqa: E402
from jacinthmount_platform.settings import SETTINGS_VARIABLE  # noqa: E402

CUT = Path(os.environ[SETTINGS_VARIABLE]).with_suffix('.cut')
POLL_S = 0.02
HANG_S = 1000.0
opened = []


def read_cut():
    """Reads the way of the cut and the ports of engines."""
    try:
        return json.loads(CUT.read_text())
    except (OSError, ValueError):
        return {'way': '', 'ports': []}


async def connect(address, local_ip=''):
    """Connects unless the engine is cut off."""
    cut = read_cut()
    if int(address.rpartition(':')[2]) not in cut['ports']:
        sock = await sockets.connect(address, local_ip)
        opened.append((address, sock))
        return sock
    if cut['way'] == 'hang':
        await curio.sleep(HANG_S)
    raise ConnectionRefusedError(address)


def reset_when_cut():
    """Closes the open connections to engines once a cut asks for it."""
    for _ in iter(int, 1):
        time.sleep(POLL_S)
        cut = read_cut()
        for address, sock in list(opened):
            is_cut = int(address.rpartition(':')[2]) in cut['ports']
            if cut['way'] == 'reset' and is_cut:
                sockets.abort_socket(sock)


client_pool.connect = connect
threading.Thread(target=reset_when_cut, daemon=True).start()
runpy.run_path(str(ROOT / 'platform' / 'run.py'), run_name='__main__')
