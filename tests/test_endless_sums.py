"""Many endless answers at once, whose sum a host has to bound."""

import json
import threading
import time

import pytest
from jacinthmount_platform_standin.site import MEMORY_MB, PlatformSite

from tests.process_watch import read_resident_mb
from tests.test_platform_site import eventually, make_items, submit

ENGINES = 6
SLOTS = 24
ITEMS = 160
EVENTS = 5
SAMPLE_S = 0.05
WAIT_S = 60.0


@pytest.fixture
def site(tmp_path):
    """A site of two fronts, a runner and engines with many slots."""
    found = PlatformSite(folder=tmp_path, fronts=2, runners=1)
    try:
        found.start(engines=ENGINES, slots=SLOTS)
        yield found
    finally:
        found.stop()


def read_texts(site):
    """Reads the texts of the results by item; front-2 sends some at a time."""
    texts = {}
    while True:
        status, answer = site.call(
            'front-2', 'GET', f'/api/lots/b1?after={len(texts)}'
        )
        assert status == 200
        found = json.loads(answer)['results']
        texts.update((one['id'], one['text']) for one in found)
        if not found:
            return texts


def watch_memory(site, stop, peaks):
    """Records the highest memory of each host."""
    while not stop.is_set():
        for name in site.controls:
            used_mb = read_resident_mb(site.processes[name].pid)
            peaks[name] = max(peaks.get(name, 0), used_mb)
        time.sleep(SAMPLE_S)


@pytest.mark.parametrize('kind', ['event', 'numbered'])
def test_sum_of_endless_answers_outgrows_the_memory(site, kind):
    """Half of the engines send events, or one event, without end.

    Guards against hosts that run out of memory, with the requests of others,
    and against results that hold the text of such an answer.
    """
    for port in list(site.engines.values())[: ENGINES // 2]:
        site.switch(port, endless=kind)
    stop, peaks = threading.Event(), {}
    watch = threading.Thread(target=watch_memory, args=(site, stop, peaks))
    watch.start()
    try:
        assert submit(site, make_items(ITEMS, events=EVENTS)) == 202
        eventually(lambda: len(read_texts(site)) == ITEMS, WAIT_S)
    finally:
        stop.set()
        watch.join()
    assert max(peaks.values()) < MEMORY_MB
    assert read_texts(site) == {
        f'item-{item}': '\n'.join(
            f'item-{item} {number}' for number in range(1, EVENTS + 1)
        )
        for item in range(ITEMS)
    }
