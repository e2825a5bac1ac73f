"""Starts a front or runner that can be cut off from other hosts and the store.

A file beside the settings, with the suffix ``.cut``, holds the way of the cut,
the ports that are cut off and the names of the hosts there. ``silent`` drops
all data on connections, ``reset`` closes and refuses them. What arrived while
the process was stopped is cut as well.
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

from jacinthmount_node.net import client_pool, peers, sockets  # noqa: E402
from jacinthmount_platform.settings import SETTINGS_VARIABLE  # noqa: E402

CUT = Path(os.environ[SETTINGS_VARIABLE]).with_suffix('.cut')
POLL_S = 0.02
SILENT_S = 1000.0
opened = []


def find_way(peer):
    """Returns the way in which a port or host is cut off, or nothing."""
    try:
        cut = json.loads(CUT.read_text())
    except (OSError, ValueError):
        return ''
    return cut['way'] if peer in cut['peers'] else ''


async def obey(peer):
    """Waits, or fails, while a peer is cut off."""
    way = find_way(peer)
    if way == 'reset':
        raise ConnectionResetError(peer)
    if way:
        await curio.sleep(SILENT_S)


class CutSocket:
    """A connection to a peer, given by its port or by the name of its host."""

    def __init__(self, sock, peer):
        """Wraps a curio socket."""
        self.sock = sock
        self.peer = peer
        opened.append(self)

    def __getattr__(self, name):
        """Passes all else on."""
        return getattr(self.sock, name)

    async def recv(self, size):
        """Receives what is not cut off."""
        received = await self.sock.recv(size)
        await obey(self.peer)
        return received

    async def sendall(self, packed):
        """Sends what is not cut off."""
        way = find_way(self.peer)
        if way == 'reset':
            raise ConnectionResetError(self.peer)
        if not way:
            await self.sock.sendall(packed)


async def connect(address, local_ip=''):
    """Connects unless the peer is cut off."""
    port = int(address.rpartition(':')[2])
    await obey(port)
    return CutSocket(await sockets.connect(address, local_ip), port)


async def accept(sock, name):
    """Accepts a connection of a host that is not known yet."""
    return CutSocket(await sockets.accept(sock, name), '')


class CutServer(peers.PeerServer):
    """Closes connections of hosts that are cut off."""

    def _accept_hello(self, envelope, sock):
        hello = super()._accept_hello(envelope, sock)
        sock.peer = hello.host
        if find_way(hello.host):
            raise ConnectionResetError(hello.host)
        return hello


def reset_when_cut():
    """Closes the open connections once a cut asks for it."""
    for _ in iter(int, 1):
        time.sleep(POLL_S)
        for sock in list(opened):
            if find_way(sock.peer) == 'reset':
                opened.remove(sock)
                sockets.abort_socket(sock)


client_pool.connect = connect
peers.connect = connect
peers.accept = accept
peers.PeerServer = CutServer
threading.Thread(target=reset_when_cut, daemon=True).start()
runpy.run_path(str(ROOT / 'platform' / 'run.py'), run_name='__main__')
