"""Texts of batch items of the first interface, and the versions of engines."""

import json
from types import SimpleNamespace

import curio
import pytest
from jacinthmount.declarations import Endpoint, Profile
from jacinthmount.dispatch import Stage
from jacinthmount.errors import EndpointLost
from jacinthmount.files import Line
from jacinthmount.results import DONE
from jacinthmount_node.batches.batch_chunks import BatchItem
from jacinthmount_node.batches.batch_items import run_item

WORDS = ('one ', 'two ', 'three ', 'four ')
OLD, NEW = 'v1', 'v2'
PIECE_CHARS = 10_000
LONG_PIECES = 1000


class _Event:
    """A piece of text of an answer."""

    def __init__(self, text):
        """Holds the text."""
        self.text = text


class _Exchange:
    """One answer of an engine, which may break off."""

    status = 200
    stage = Stage.ANSWERING
    usage = None

    def __init__(self, *, version, words):
        """Answers with words that name the version.

        :param words: number of words after which the answer breaks off, or
            None for a whole answer.
        """
        self.version = version
        self._words = words
        self._offset = 0

    async def send(self, call):
        """Takes the request."""
        self._offset = call.offset

    async def iter_events(self):
        """Yields the words from the offset on."""
        written = ''
        for number, word in enumerate(WORDS):
            if number == self._words:
                raise EndpointLost(detail='broken off')
            piece = f'{self.version}-{word}'
            written += piece
            if len(written) > self._offset:
                yield _Event(piece)

    async def close(self):
        """Does nothing."""


class _Node:
    """A host whose engines give one answer after the other."""

    def __init__(self, answers):
        """Starts before the first answer."""
        self._answers = iter(answers)

    def backend(self, service):
        """Returns itself."""
        return self

    async def open(self, address, *, no_reuse, request_id):
        """Returns the next answer."""
        return next(self._answers)

    async def release(self, exchange):
        """Does nothing."""


@pytest.fixture
def item():
    """An item that has not begun."""
    body = {'model': 'm', 'messages': [{'role': 'user', 'content': 'bale'}]}
    chunk = SimpleNamespace(name='b1/0', batch=SimpleNamespace(account='gin'))
    request = Line(
        custom_id='item-0',
        url='/v1/chat/completions',
        body=json.dumps(body),
    )
    return BatchItem(chunk=chunk, line=0, request=request)


def run_until_done(item, answers):
    """Makes attempts until the item has a result.

    :returns: its text.
    """
    node = _Node(answers)
    endpoint = Endpoint(
        name='e1',
        service='m',
        data_centre='east',
        address='e1:1',
        slots=4,
        fenced=False,
        role='',
        leaving=False,
        write_id='w',
    )
    profile = Profile(
        name='p',
        lane='batch',
        deadline_s=10.0,
        queue_limit=10,
        idempotent=True,
        max_attempts=3,
        batch_share=1.0,
        write_id='w',
    )
    for _ in answers:
        outcome = curio.run(run_item, node, item, endpoint, profile, 'model')
        if outcome.record is not None:
            assert outcome.record.state == DONE
            choice = json.loads(outcome.record.body)['choices'][0]
            return choice['message']['content']
    raise AssertionError(item.text)


def make_text(version):
    """Returns the whole text of an engine of a version."""
    return ''.join(f'{version}-{word}' for word in WORDS)


def test_item_of_the_first_interface_goes_on_at_another_version(item):
    """It begins anew there, since it is owed."""
    answers = [
        _Exchange(version=OLD, words=2),
        _Exchange(version=NEW, words=None),
        _Exchange(version=NEW, words=None),
    ]
    assert run_until_done(item, answers) == make_text(NEW)


def test_item_of_the_first_interface_begins_anew_at_its_version(item):
    """Its events are kept, and it goes on after them."""
    answers = [
        _Exchange(version=OLD, words=2),
        _Exchange(version=OLD, words=None),
    ]
    assert run_until_done(item, answers) == make_text(OLD)


class _LongExchange(_Exchange):
    """An answer that is longer than the store can take."""

    def __init__(self):
        """Answers at the old version."""
        super().__init__(version=OLD, words=None)

    async def iter_events(self):
        """Yields far more than any sound answer has."""
        for _ in range(LONG_PIECES):
            yield _Event('x' * PIECE_CHARS)


def test_text_without_end_is_the_result_of_an_item(item):
    """It is dropped, and another engine begins anew.

    Guards against a text that grows until its host has no memory left.
    """
    answers = [_LongExchange(), _Exchange(version=NEW, words=None)]
    assert run_until_done(item, answers) == make_text(NEW)
