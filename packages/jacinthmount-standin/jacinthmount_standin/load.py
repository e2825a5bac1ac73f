"""Open-loop load; latency is measured from the scheduled send time."""

import json
import random
import time
from http import HTTPStatus

import curio
from hdrh.histogram import HdrHistogram
from jacinthmount.ports import Backend, BackendCall, BackendExchange
from jacinthmount_node.engines.engine import EngineExchange, HttpEngine
from jacinthmount_node.net.client_pool import ClientPool
from jacinthmount_node.net.http_client import ATTEMPT_ERRORS

__all__ = ('LoadPlan', 'LoadReport', 'run_load')

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_S = 1_000_000
CHAT_PATH = '/v1/chat/completions'


class LoadPlan:
    """Parameters of a load run: Poisson arrivals of streamed chats."""

    __slots__ = (
        'addresses',
        'follow',
        'keys',
        'model',
        'rate_per_s',
        'seconds',
        'seed',
        'tokens',
    )

    def __init__(
        self,
        *,
        addresses: list[str],
        keys: list[str],
        model: str,
        rate_per_s: float,
        seconds: float,
        tokens: int,
        seed: int,
        follow: bool = False,
    ) -> None:
        """Initialises the plan.

        :param addresses: IP:port of hosts, used in rotation.
        :param keys: keys, used in rotation; an empty one sends no key.
        :param rate_per_s: mean requests per second.
        :param seconds: duration of the arrivals, in seconds.
        :param tokens: tokens per answer.
        :param seed: seed of the arrival times.
        :param follow: retry a refused request once after its Retry-After.
        """
        self.follow = follow
        self.addresses = addresses
        self.keys = keys
        self.model = model
        self.rate_per_s = rate_per_s
        self.seconds = seconds
        self.tokens = tokens
        self.seed = seed


class LoadReport:
    """Latencies in microseconds, and the number of answers by status."""

    __slots__ = (
        'first_token_us',
        'last_error_at',
        'refused_us',
        'retry_after_s',
        'seconds',
        'statuses',
        'token_gap_us',
        'whole_us',
    )

    def __init__(self) -> None:
        self.first_token_us = _histogram()
        self.token_gap_us = _histogram()
        self.whole_us = _histogram()
        self.refused_us = _histogram()
        self.retry_after_s: list[float] = []
        self.statuses: dict[str, int] = {}
        self.last_error_at = 0.0
        self.seconds = 0.0

    def count(self, status: str, now: float) -> None:
        """Counts a request that has ended.

        :param status: HTTP status, or ``lost`` if there was no answer.
        :param now: monotonic time in seconds.
        """
        self.statuses[status] = self.statuses.get(status, 0) + 1
        if not status.startswith(str(HTTPStatus.OK.value)):
            self.last_error_at = now

    def summary(self) -> dict[str, float | int]:
        """Returns percentiles in milliseconds and the counts by status.

        ``seconds`` is the time from the start until the last request ended.
        """
        figures: dict[str, float | int] = {'seconds': self.seconds}
        for name, histogram in (
            ('first_token', self.first_token_us),
            ('token_gap', self.token_gap_us),
            ('whole', self.whole_us),
            ('refused', self.refused_us),
        ):
            for percentile in (50, 99, 99.9):
                latency_us = histogram.get_value_at_percentile(percentile)
                figures[f'{name}_p{percentile:g}_ms'] = latency_us / 1000
        figures['requests'] = sum(self.statuses.values())
        if self.retry_after_s:
            figures['retry_after_max_s'] = max(self.retry_after_s)
        figures.update({
            f'status_{status}': count
            for status, count in sorted(self.statuses.items())
        })
        return figures

    def histograms(self) -> dict[str, HdrHistogram]:
        """Returns the histograms by title, in microseconds."""
        return {
            'first token': self.first_token_us,
            'between tokens': self.token_gap_us,
            'whole answer': self.whole_us,
        }


def run_load(plan: LoadPlan) -> LoadReport:
    """Runs a plan until every request has ended."""
    return curio.run(_run, plan)


class _CallerExchange(EngineExchange):
    """Accepts any request id, as a host assigns its own to each request."""

    __slots__ = ()

    async def send(self, call: BackendCall) -> None:
        await self.send_and_read_head(
            call,
            [('content-type', 'application/json'), *call.headers],
        )


class _CallerBackend(HttpEngine):
    __slots__ = ()

    exchange_type = _CallerExchange


async def _run(plan: LoadPlan) -> LoadReport:
    report = LoadReport()
    backend = _CallerBackend(pool=ClientPool())
    rng = random.Random(plan.seed)
    started = time.monotonic()
    due = started
    number = 0
    async with curio.TaskGroup(wait=all) as group:
        while due - started < plan.seconds:
            await curio.sleep(max(0.0, due - time.monotonic()))
            await group.spawn(_send, plan, report, backend, number, due)
            number += 1
            due += rng.expovariate(plan.rate_per_s)
    report.seconds = time.monotonic() - started
    return report


async def _send(
    plan: LoadPlan,
    report: LoadReport,
    backend: Backend,
    number: int,
    due: float,
) -> None:
    status, pause_s = await _send_once(plan, report, backend, number, due)
    if pause_s and plan.follow:
        await curio.sleep(pause_s)
        retried_at = time.monotonic()
        status, _ = await _send_once(plan, report, backend, number, retried_at)
        status = f'{status}_after_retry'
    report.count(status, time.monotonic())


async def _send_once(
    plan: LoadPlan,
    report: LoadReport,
    backend: Backend,
    number: int,
    due: float,
) -> tuple[str, float]:
    address = plan.addresses[number % len(plan.addresses)]
    try:
        exchange = await backend.open(address, no_reuse=False)
        await _exchange(plan, report, exchange, number, due)
        await backend.release(exchange)
    except ATTEMPT_ERRORS:
        return 'lost', 0
    pause_s = float(exchange.headers.get('retry-after', 0))
    if pause_s:
        report.retry_after_s.append(pause_s)
        _record(report.refused_us, time.monotonic() - due)
    return str(exchange.status), pause_s


async def _exchange(
    plan: LoadPlan,
    report: LoadReport,
    exchange: BackendExchange,
    number: int,
    due: float,
) -> None:
    body = json.dumps({
        'model': plan.model,
        'stream': True,
        'max_tokens': plan.tokens,
        'messages': [{'role': 'user', 'content': f'question {number}'}],
    }).encode()
    headers = []
    key = plan.keys[number % len(plan.keys)]
    if key:
        headers.append(('authorization', f'Bearer {key}'))
    await exchange.send(
        BackendCall(
            method='POST',
            target=CHAT_PATH,
            headers=headers,
            body=body,
            request_id=f'load-{number}',
            account='',
            offset=0,
        ),
    )
    if exchange.status != HTTPStatus.OK:
        await exchange.read_body()
        return
    last = 0.0
    async for event in exchange.iter_events():
        now = time.monotonic()
        if last:
            _record(report.token_gap_us, now - last)
        else:
            _record(report.first_token_us, now - due)
        last = now
        if event.finished:
            _record(report.whole_us, now - due)


def _histogram() -> HdrHistogram:
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def _record(histogram: HdrHistogram, seconds: float) -> None:
    histogram.record_value(
        max(MIN_LATENCY_US, int(seconds * MICROSECONDS_PER_S))
    )
