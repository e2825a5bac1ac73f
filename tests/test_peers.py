"""Links between hosts that meet errors which nobody expects."""

import curio
import eliot
import pytest
from jacinthmount_node.messages import Hello
from jacinthmount_node.metrics import Metrics
from jacinthmount_node.net.peers import PeerLink, PeerServer
from jacinthmount_node.net.sockets import connect, listen
from jacinthmount_standin.addresses import LOOPBACK, PortReserve

LIMIT_S = 3.0
PEERS = 'jacinthmount_node.net.peers'
HELLO = Hello(host='east-h1', incarnation='i1', data_centre='east')
UNSENDABLE = Hello(host='east-h1', incarnation='i1', data_centre=2**70)


@pytest.fixture
def peer_address():
    """An unused address."""
    reserve = PortReserve()
    yield f'{LOOPBACK}:{reserve.take(1)[0]}'
    reserve.close()


@pytest.fixture
def failures():
    """The failures that are logged."""
    written = []

    def add(line):
        if line['message_type'] == 'jacinthmount:failure':
            written.append(line)

    eliot.add_destinations(add)
    # The first destination gets the lines of earlier tests.
    written.clear()
    yield written
    eliot.remove_destination(add)


def make_link(address):
    """Creates a link to a host."""
    return PeerLink(
        address=address,
        local_ip='',
        context=None,
        hello=HELLO,
        metrics=Metrics(),
    )


async def echo(body, hello):
    """Replies with the request."""
    return body


async def serve_echo(address):
    """Starts a host that replies with each request."""
    server = PeerServer(
        sock=listen(address), context=None, handler=echo, metrics=Metrics()
    )
    return await curio.spawn(server.run, daemon=True)


async def end(*tasks):
    """Cancels tasks."""
    for task in tasks:
        await task.cancel()


def test_link_ends_by_an_error_that_is_none_of_its_own(
    peer_address, failures, monkeypatch
):
    """The error costs one connection; requests are answered over the next."""
    errors = [KeyError('unexpected')]

    async def fail_first(*args):
        if errors:
            raise errors.pop(0)
        return await connect(*args)

    monkeypatch.setattr(f'{PEERS}.connect', fail_first)
    monkeypatch.setattr(f'{PEERS}.RECONNECT_PAUSE_S', 0.01)

    async def play():
        serving = await serve_echo(peer_address)
        link = make_link(peer_address)
        running = await curio.spawn(link.run, daemon=True)
        try:
            return await link.request(HELLO, LIMIT_S)
        finally:
            await end(running, serving)

    assert curio.run(play) == HELLO
    assert [line['error'] for line in failures] == ['KeyError']


def test_message_that_can_not_be_sent_silences_a_link(peer_address, failures):
    """It costs its own request, not those after it."""

    async def play():
        serving = await serve_echo(peer_address)
        link = make_link(peer_address)
        running = await curio.spawn(link.run, daemon=True)
        lost = await curio.spawn(link.request, UNSENDABLE, LIMIT_S)
        try:
            return await link.request(HELLO, LIMIT_S)
        finally:
            await end(lost, running, serving)

    assert curio.run(play) == HELLO
    assert [line['error'] for line in failures] == ['TypeError']
