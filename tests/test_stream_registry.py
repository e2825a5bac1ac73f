"""What a host concludes from an old list of endpoints."""

import random
from types import SimpleNamespace

import curio
import pytest
from jacinthmount.errors import StreamNotResumable, StreamOriginUnavailable
from jacinthmount.list_freshness import STALL_S
from jacinthmount.ports import ABSENT
from jacinthmount.records import parse_msgpack, serialize_msgpack
from jacinthmount.stores import MemoryStore
from jacinthmount.stream_origins import StreamOrigin
from jacinthmount_node.net.sockets import SystemClock
from jacinthmount_node.relay.new_messages import StreamAsk
from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.stream_registry import StreamRegistry
from jacinthmount_node.relay.sync import RelaySync

from tests.relay_builders import make_entry, make_relay_settings

OLD, NEW = 'servers/old', 'servers/new'
PREFIX = 'servers/'
STOP_S = STALL_S + 0.1


class _Clock(SystemClock):
    """A clock that passes a time in which the process did not run."""

    __slots__ = ('stopped_s',)

    def __init__(self):
        self.stopped_s = 0.0

    def boot_now(self):
        """Returns the time with that of the stops."""
        return super().boot_now() + self.stopped_s


class _Store(MemoryStore):
    """A store whose watches bring nothing, and that may be silent."""

    __slots__ = ('is_silent',)

    def __init__(self):
        super().__init__()
        self.is_silent = False

    async def list_names(self, prefix):
        """Lists the prefix."""
        if self.is_silent:
            await curio.sleep(60)
        return await super().list_names(prefix)


class _Decoder:
    """Reads the version of an endpoint, which is all of its entry."""

    def parse_endpoint(self, name, body):
        """Builds the endpoint."""
        return make_entry(name, version=body)


class Runner:
    """The active runner, which knows an endpoint of v1."""

    def __init__(self):
        """Makes a runner that has read the record."""
        self.clock = _Clock()
        self.store = _Store()
        self.state = RelayState(
            settings=make_relay_settings(runs_batches=True),
            store=self.store,
            clock=self.clock,
            rng=random.Random(1),
        )
        self.state.leadership.active = True
        self.sync = RelaySync(
            state=self.state, links=None, decoder=_Decoder(), on_config=bool
        )
        self.registry = StreamRegistry(
            state=self.state, links=None, sender=None, sync=self.sync
        )

    def play(self, meanwhile):
        """Asks for a stream that nobody knows, after a stop.

        :returns: the reply, and the revisions that hosts were told before.
        """

        async def main():
            await self.store.write(OLD, 'v1', ABSENT)
            await self.sync._endpoint_watch.refresh()
            self.state.versions.complete()
            self.clock.stopped_s += STOP_S
            await meanwhile()
            revisions = self.sync.runner_revisions()
            return await self.registry.on_ask(StreamAsk(stream='s')), revisions

        return curio.run(main)


@pytest.fixture
def runner():
    """A runner that stands still for a moment."""
    return Runner()


def test_runner_that_stood_still_settles_with_an_old_list(runner):
    """It lists the endpoints before it says that nobody else will know."""

    async def join():
        await runner.store.write(NEW, 'v2', ABSENT)

    reply, revisions = runner.play(join)
    assert reply.is_settled
    assert reply.versions == {'model-a': ['v1', 'v2']}
    assert PREFIX not in revisions


def test_runner_that_is_cut_off_settles_with_an_old_list(runner):
    """It can't know what has joined."""

    async def cut_off():
        runner.store.is_silent = True

    reply, _ = runner.play(cut_off)
    assert reply.is_settled is False


def test_runner_settles_with_a_list_that_is_older_than_the_question(runner):
    """A version may have joined since, and its streams been taken up."""

    async def cut_off_without_a_stop():
        runner.clock.stopped_s = 0.0
        runner.store.is_silent = True

    reply, _ = runner.play(cut_off_without_a_stop)
    assert reply.is_settled is False


def test_reply_of_a_runner_that_is_cut_off_ends_the_link(runner):
    """The host that asked can read it."""

    async def cut_off():
        runner.store.is_silent = True

    reply, _ = runner.play(cut_off)
    assert parse_msgpack(serialize_msgpack(reply)) == reply


def test_version_that_came_and_left_within_a_page_is_missed(runner):
    """A stream that it began may be taken up later."""

    async def replace():
        version = await runner.store.write(NEW, 'v2', ABSENT)
        watch = runner.sync._endpoint_watch
        page = await runner.store.list_names(PREFIX)
        await runner.store.delete(NEW, version)
        gone = [
            one.__class__(name=NEW, version=version + 1, body=None)
            for one in page.objects[:1]
        ]
        await runner.sync._apply_endpoints(watch, page.objects + gone)

    reply, _ = runner.play(replace)
    assert reply.versions == {'model-a': ['v1', 'v2']}


class _Call:
    """A stream that a caller takes up."""

    last_event = 7
    request = SimpleNamespace(request_id='r2', first_attempt='r1')
    route = SimpleNamespace(services=[SimpleNamespace(service='model-a')])

    def __init__(self, stream):
        """Starts without an origin."""
        self.stream = stream
        self.begin(None, 0.0)
        self.service = 'model-a'

    def begin(self, origin, began_at):
        """Records what began the stream."""
        self.origin = origin
        self.began_at = began_at


class Front:
    """A front that knows an endpoint of v1, and a stream that v2 began."""

    def __init__(self):
        """Makes a front without other hosts."""
        self.clock = _Clock()
        self.store = _Store()
        self.state = RelayState(
            settings=make_relay_settings(),
            store=self.store,
            clock=self.clock,
            rng=random.Random(1),
        )
        self.sync = RelaySync(
            state=self.state, links=None, decoder=_Decoder(), on_config=bool
        )
        self.registry = StreamRegistry(
            state=self.state, links=None, sender=None, sync=self.sync
        )
        new = StreamOrigin(
            service='model-a', endpoint_id='new', started_at_ms=1, version='v2'
        )
        self.state.origins.note('s', new, self.state.now())

    def bind(self, meanwhile, stream='s'):
        """Takes the stream up after a stop.

        :returns: the version at which it goes on, or the error.
        """

        async def main():
            await self.store.write(OLD, 'v1', ABSENT)
            await self.sync._endpoint_watch.refresh()
            self.state.versions.complete()
            self.clock.stopped_s += STOP_S
            await meanwhile()
            call = _Call(stream)
            try:
                await self.registry.bind(call)
            except (StreamNotResumable, StreamOriginUnavailable) as exc:
                return type(exc)
            return call.origin.version

        return curio.run(main)


@pytest.fixture
def front():
    """A front that stands still for a moment."""
    return Front()


def test_stream_begins_anew_though_its_version_has_just_joined(front):
    """A host that stood still lists the endpoints first."""

    async def join():
        await front.store.write(NEW, 'v2', ABSENT)

    assert front.bind(join) == 'v2'


def test_stream_begins_anew_where_its_version_may_serve(front):
    """A host that is cut off can't know that no endpoint has it."""

    async def cut_off():
        front.store.is_silent = True

    assert front.bind(cut_off) is StreamOriginUnavailable


def test_stream_whose_version_has_left_comes_back_in_vain(front):
    """A fresh list shows that it has to begin anew."""

    async def change_nothing():
        assert not front.sync.endpoint_list.is_fresh()

    assert front.bind(change_nothing) is StreamNotResumable


def test_stream_begins_anew_though_no_runner_was_asked(front):
    """Another host may know which of two versions began it."""

    async def join():
        await front.store.write(NEW, 'v2', ABSENT)

    assert front.bind(join, 'another') is StreamOriginUnavailable
