"""A running fleet and its clients, for tests of whole processes."""

import json
import threading
import time
from collections import Counter
from collections.abc import Callable
from http.client import HTTPException
from pathlib import Path
from typing import Any

import curio
from jacinthmount.errors import StoreUnavailable
from jacinthmount_ctl import porcelain
from jacinthmount_ctl.caller import Caller
from jacinthmount_node.net.object_api import HttpStore
from jacinthmount_standin.callers import call_http
from jacinthmount_standin.declare import Declared
from jacinthmount_standin.fleet import ADMIN_TOKEN, Fleet
from jacinthmount_standin.operator import apply_declared, open_store

__all__ = (
    'Answer',
    'Load',
    'Site',
    'check_windows',
    'eventually',
    'make_lines',
)

POLL_S = 0.05
# A bucket begins empty when the first share table lists its host.
FIRST_TOKENS_S = 0.1
MODEL = 'provenance-llm'


class Answer:
    """An HTTP response, with the times of its request and its receipt.

    Both times are read from the monotonic clock, in seconds.
    """

    __slots__ = ('asked_at', 'body', 'read_at', 'status')

    def __init__(
        self,
        *,
        status: int,
        body: bytes,
        asked_at: float,
        read_at: float,
    ) -> None:
        """Stores the response.

        :param status: HTTP status, or 0 if the connection was lost.
        """
        self.status = status
        self.body = body
        self.asked_at = asked_at
        self.read_at = read_at

    @property
    def error(self) -> dict[str, Any]:
        """The ``error`` object of the body."""
        return json.loads(self.body)['error']


class Site:
    """A fleet of stand-ins and nodes, with its declarations applied."""

    __slots__ = ('declared', 'fleet', 'folder')

    def __init__(
        self,
        *,
        folder: Path,
        data_centres: dict[str, int],
        engines: dict[str, str],
        accounts: dict[str, tuple[float, float]],
        slots: int = 8,
        token_s: float = 0.005,
        relayed: bool = False,
        memory_mb: int = 0,
    ) -> None:
        """Starts all processes and applies the declarations.

        :param engines: data centre by engine.
        :param accounts: rate per second and burst by account.
        :param token_s: time of one step of an idle engine, in seconds.
        :param relayed: connect the processes through a relay whose routes
            a test can cut.
        :param memory_mb: memory that a host may use; 0 for the machine's.
        """
        self.folder = folder
        self.fleet = Fleet(
            folder=folder,
            data_centres=data_centres,
            relayed=relayed,
            memory_mb=memory_mb,
        )
        try:
            self._start(engines, accounts, slots, token_s)
        except BaseException:
            self.fleet.stop()
            raise

    @property
    def hosts(self) -> list[str]:
        """Names of the hosts."""
        return list(self.fleet.hosts)

    def store(self) -> HttpStore:
        """Opens a client of the platform's object API."""
        return open_store(self.fleet)

    def apply(self) -> int:
        """Applies the declarations and returns the version written."""
        return apply_declared(self.fleet, self.declared)

    def grant(self, account: str) -> tuple[str, str]:
        """Grants a key and waits until every host accepts it."""
        key_id, key = curio.run(porcelain.grant_key, self.store(), account)
        for host in self.hosts:
            eventually(lambda: self.get(host, '/v1/models', key).status == 200)
        return key_id, key

    def withdraw(self, key_id: str, *hosts: str) -> None:
        """Withdraws a key, at the given hosts first, then in the platform.

        The platform may be unavailable only if hosts are given.
        """
        addresses = [
            f'127.0.0.1:{self.fleet.hosts[host].admin}' for host in hosts
        ]
        try:
            curio.run(
                porcelain.withdraw_key,
                self.store(),
                key_id,
                addresses,
                ADMIN_TOKEN,
            )
        except StoreUnavailable:
            assert addresses

    def call(
        self,
        host: str,
        method: str,
        path: str,
        body: Any,
        key: str,
        **headers: str,
    ) -> Answer:
        """Sends one request to a host; a lost connection gives status 0."""
        sent = {name.replace('_', '-'): text for name, text in headers.items()}
        if key:
            sent['authorization'] = f'Bearer {key}'
        asked_at = time.monotonic()
        try:
            status, answer = call_http(
                self.fleet.hosts[host].front,
                method,
                path,
                body,
                sent,
            )
        except (OSError, HTTPException):
            status, answer = 0, b''
        return Answer(
            status=status,
            body=answer,
            asked_at=asked_at,
            read_at=time.monotonic(),
        )

    def get(self, host: str, path: str, key: str) -> Answer:
        """Sends a GET request to a host."""
        return self.call(host, 'GET', path, None, key)

    def chat(
        self,
        host: str,
        key: str,
        prompt: str,
        **fields: Any,
    ) -> Answer:
        """Sends a chat completion request to a host."""
        body = {
            'model': MODEL,
            'max_tokens': 8,
            'messages': [{'role': 'user', 'content': prompt}],
            **fields,
        }
        return self.call(host, 'POST', '/v1/chat/completions', body, key)

    def caller(self, host: str, key: str) -> Caller:
        """Creates a batch client that is connected to a host."""
        return Caller(
            front=f'127.0.0.1:{self.fleet.hosts[host].front}',
            key=key,
        )

    def wait_batch(
        self,
        host: str,
        key: str,
        batch_id: str,
        timeout_s: float = 60,
    ) -> dict[str, Any]:
        """Waits until a batch has ended and returns its description."""

        def ended() -> bool:
            answer = self.get(host, f'/v1/batches/{batch_id}', key)
            return answer.status == 200 and (
                json.loads(answer.body)['status'] != 'in_progress'
            )

        eventually(ended, timeout_s)
        return json.loads(self.get(host, f'/v1/batches/{batch_id}', key).body)

    def results(self, host: str, key: str, batch_id: str) -> list[dict]:
        """Downloads all results of a batch through a host."""
        caller = self.caller(host, key)
        packed = b''.join(caller.iter_results(batch_id))
        return [json.loads(line) for line in packed.splitlines()]

    def stats(self, port: int) -> dict[str, Any]:
        """Reads the statistics of the stand-in on a port."""
        return json.loads(call_http(port, 'GET', '/stats')[1])

    def engine_runs(self, *engines: str) -> Counter[str]:
        """Counts the requests that the engines received, by request id."""
        counted: Counter[str] = Counter()
        for engine in engines:
            counted.update(
                self.stats(self.fleet.engine_port(engine))['counts'],
            )
        return counted

    def _start(
        self,
        engines: dict[str, str],
        accounts: dict[str, tuple[float, float]],
        slots: int,
        token_s: float,
    ) -> None:
        fleet = self.fleet
        fleet.start_platform()
        fleet.start_plain()
        data_centres = {ports.data_centre for ports in fleet.hosts.values()}
        share = 1 / len(data_centres)
        self.declared = Declared(
            shares={name: share for name in sorted(data_centres)},
            engines={
                name: (
                    data_centre,
                    fleet.start_engine(name, slots=slots, token_s=token_s),
                    slots,
                )
                for name, data_centre in engines.items()
            },
            plain_port=fleet.plain_port,
            accounts=accounts,
        )
        fleet.start_hosts()
        version = self.apply()
        for host in self.hosts:
            eventually(
                lambda: self.fleet.status(host)['revision'] >= version,
            )
            eventually(lambda: self.fleet.status(host)['shares_confirmed'])
        time.sleep(FIRST_TOKENS_S)


class Load:
    """Load generator that calls from several threads until stopped."""

    __slots__ = ('_call', '_stop', '_threads', 'answers')

    def __init__(
        self,
        *,
        call: Callable[[int], Answer],
        threads: int,
    ) -> None:
        """Starts the threads.

        :param call: sends one request; its argument is the thread number.
        """
        self.answers: list[Answer] = []
        self._call = call
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(
                target=self._run,
                args=(number,),
                daemon=True,
            )
            for number in range(threads)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> list[Answer]:
        """Stops the threads and returns the responses to all calls."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
        return self.answers

    def _run(self, number: int) -> None:
        while not self._stop.is_set():
            self.answers.append(self._call(number))


def check_windows(
    answers: list[Answer],
    rate_per_s: float,
    burst: float,
) -> list[Answer]:
    """Checks the rate limit in every window between two admitted requests.

    A request is admitted at an unknown time between sending it and reading
    its response. Each window runs from a sending to a reading, the longest
    that this allows, so that a correct limiter never fails the check.

    :returns: the responses to the requests that were admitted.
    :raises AssertionError: a window admitted more than the limit allows.
    """
    admitted = [answer for answer in answers if answer.status == 200]
    starts = sorted(answer.asked_at for answer in admitted)
    for start in starts:
        inside = sorted(
            answer.read_at for answer in admitted if answer.asked_at >= start
        )
        for count, end in enumerate(inside, 1):
            allowed = burst + rate_per_s * (end - start)
            assert count <= allowed, (count, end - start)
    return admitted


def eventually(
    holds: Callable[[], bool],
    timeout_s: float = 30,
) -> float:
    """Polls a condition until it holds.

    :returns: time until it held, in seconds.
    :raises AssertionError: it did not hold within the time limit.
    """
    started = time.monotonic()
    while not holds():
        assert time.monotonic() - started < timeout_s, (
            'condition not met in time'
        )
        time.sleep(POLL_S)
    return time.monotonic() - started


def make_lines(count: int, **fields: Any) -> bytes:
    """Builds a batch input file; ``fields`` change the request bodies."""
    return b''.join(
        json.dumps({
            'custom_id': f'item-{number}',
            'method': 'POST',
            'url': '/v1/chat/completions',
            'body': {
                'model': MODEL,
                'max_tokens': 8,
                'messages': [{'role': 'user', 'content': f'bale {number}'}],
                **fields,
            },
        }).encode()
        + b'\n'
        for number in range(count)
    )
