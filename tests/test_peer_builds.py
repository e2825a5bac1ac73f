"""Messages that hosts of an earlier build don't understand."""

import random
import sys

import curio
import pytest
from jacinthmount.errors import PeerClosed, PeerUnavailable
from jacinthmount.memory import ManualClock
from jacinthmount.peer_builds import RETRY_AFTER_S, PeerBuilds
from jacinthmount.records import Record
from jacinthmount.stores import MemoryStore
from jacinthmount_node.messages import Hello
from jacinthmount_node.metrics import Metrics
from jacinthmount_node.net.peers import PeerLinks, PeerServer
from jacinthmount_node.net.sockets import listen
from jacinthmount_node.relay.messages import CopyRead, RelayHost
from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.tracked_links import TrackedLinks

from tests.relay_builders import make_relay_settings

OLD_MESSAGE = CopyRead(name='a/1')
REPLY_S = 0.2
ENOUGH_S = 2.0


class NewMessage(Record):
    """A message of a later build."""

    __slots__ = ()


@pytest.fixture
def knows_message(monkeypatch):
    """Sets whether the other host runs a build that knows the message."""
    relay = 'jacinthmount_node.relay.tracked_links'
    monkeypatch.setattr(f'{relay}.NEW_MESSAGES', (NewMessage,))
    registry = sys.modules[Record.__module__]._registry

    def set_known(*, known):
        if known:
            monkeypatch.setitem(registry, 'NewMessage', NewMessage)
        else:
            monkeypatch.delitem(registry, 'NewMessage')

    return set_known


class Hosts:
    """A host with links to another one, which replies to each message."""

    def __init__(self):
        """Listens without serving yet."""
        sock = listen('127.0.0.1:0')
        host, port = sock._socket.getsockname()
        self.address = f'{host}:{port}'
        self.connections = set()
        self.server = PeerServer(
            sock=sock, context=None, handler=self.reply, metrics=Metrics()
        )
        self.clock = ManualClock()
        state = RelayState(
            settings=make_relay_settings(),
            store=MemoryStore(),
            clock=self.clock,
            rng=random.Random(1),
        )
        state.update_hosts([
            RelayHost(
                host='h2',
                incarnation='x',
                data_centre='east',
                peer_address=self.address,
                runs_batches=False,
            )
        ])
        self.links = TrackedLinks(
            links=PeerLinks(
                local_ip='',
                context=None,
                hello=Hello(host='h1', incarnation='y', data_centre='east'),
                metrics=Metrics(),
            ),
            state=state,
        )

    async def reply(self, body, hello):
        """Replies after a while."""
        self.connections.add(id(hello))
        await curio.sleep(REPLY_S)
        return body

    async def ask(self, body):
        """Sends a message.

        :returns: the reply, or the error.
        """
        try:
            return await self.links.request_at(self.address, body, ENOUGH_S)
        except PeerUnavailable as exc:
            return exc

    def run(self, play):
        """Runs a scenario while the other host serves."""

        async def main():
            serving = await curio.spawn(self.server.run, daemon=True)
            try:
                return await play()
            finally:
                await serving.cancel()

        return curio.run(main)


@pytest.fixture
def hosts():
    """A host and another one."""
    return Hosts()


def test_message_of_a_later_build_cuts_other_requests(hosts, knows_message):
    """Requests under way to a host of an earlier build are answered."""
    knows_message(known=False)

    async def play():
        asking = await curio.spawn(hosts.ask, OLD_MESSAGE)
        await curio.sleep(REPLY_S / 2)
        refused = await hosts.ask(NewMessage())
        return await asking.join(), refused

    answered, refused = hosts.run(play)
    assert answered == OLD_MESSAGE
    assert isinstance(refused, PeerClosed)


def test_host_of_an_earlier_build_is_asked_again_and_again(
    hosts, knows_message
):
    """It isn't asked for a while, and others learn that at once."""
    knows_message(known=False)

    async def play():
        first = await hosts.ask(NewMessage())
        second = await hosts.ask(NewMessage())
        knows_message(known=True)
        hosts.clock.advance(RETRY_AFTER_S)
        return first, second, await hosts.ask(NewMessage())

    first, second, third = hosts.run(play)
    assert isinstance(first, PeerClosed)
    assert not isinstance(second, PeerClosed)
    assert 'earlier build' in second.detail
    assert third == NewMessage()


def test_host_of_this_build_gets_one_connection_only(hosts, knows_message):
    """Once it has answered a new message, all go over the shared one."""
    knows_message(known=True)

    async def play():
        return [await hosts.ask(NewMessage()) for _ in range(3)]

    assert set(hosts.run(play)) == {NewMessage()}
    # One for the first message, one for all others.
    assert len(hosts.connections) == 2


def test_builds_of_hosts_that_are_gone_are_forgotten():
    """A restarted host is asked anew."""
    builds = PeerBuilds()
    builds.on_reply('a')
    builds.on_closed('b', 1.0)
    builds.keep_only({'c'})
    assert not builds.understands('a')
    assert builds.may_ask('b', 1.0)


def test_first_messages_to_a_host_open_a_connection_each(hosts, knows_message):
    """Many at once would take longer than their senders wait."""
    knows_message(known=True)

    async def play():
        asking = [await curio.spawn(hosts.ask, NewMessage()) for _ in range(20)]
        return [await task.join() for task in asking]

    assert all(isinstance(reply, NewMessage) for reply in hosts.run(play))
    assert len(hosts.connections) <= 2
