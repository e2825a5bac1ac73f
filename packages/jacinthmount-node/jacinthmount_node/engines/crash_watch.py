"""Requests in flight at crashes of endpoints, on the first interface."""

import time

import curio
from jacinthmount.crash_breaker import CrashBreaker
from jacinthmount.crash_strikes import CrashStrike, Suspect
from jacinthmount.declarations import Endpoint
from jacinthmount.errors import (
    EndpointFailed,
    PeerUnavailable,
    RequestBlocked,
)
from jacinthmount.members import HostRecord

from jacinthmount_node.blocked_store import Blocked, log_blocked
from jacinthmount_node.logs import log_event
from jacinthmount_node.members.config_sync import ConfigSync
from jacinthmount_node.messages import Strikes
from jacinthmount_node.net.client_pool import ClientPool
from jacinthmount_node.net.peers import PeerLinks
from jacinthmount_node.node import Node
from jacinthmount_node.parts import PartGroup

__all__ = ('CrashWatch', 'InFlight', 'refuse_blocked')

CONNECT_TIMEOUT_S = 0.1
CONNECT_PAUSES_S = (0.05, 0.2, 0.5)
NEWS_TIMEOUT_S = 0.3
# Repairs what hosts missed while they were cut off or restarted.
EXCHANGE_INTERVAL_S = 2.0
# An endpoint crashes once in this time at most.
CRASH_WINDOW_S = 1.0
WRITE_INTERVAL_S = 0.5
# A request that was in flight at so many crashes is not repeated.
MAX_CRASHES_TO_REPEAT = 2


class InFlight:
    """A request that is in flight at an endpoint.

    :param sent_at: when it was sent, in monotonic seconds.
    """

    __slots__ = ('endpoint', 'request_id', 'sent_at', 'suspect')

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        request_id: str,
        suspect: Suspect,
        sent_at: float,
    ) -> None:
        self.endpoint = endpoint
        self.request_id = request_id
        self.suspect = suspect
        self.sent_at = sent_at


class _Crash:
    __slots__ = ('crash_id', 'observed_at')

    def __init__(self, *, crash_id: str, observed_at: float) -> None:
        self.crash_id = crash_id
        self.observed_at = observed_at


class CrashWatch:
    """Finds crashed endpoints, and shares the suspects with other hosts.

    An endpoint has crashed if it loses a request in flight and refuses new
    connections, at once or soon after. Resets, broken answers and silent
    endpoints are no evidence, nor is the end of an endpoint that is leaving.

    :param pool: connects to endpoints that may have crashed.
    """

    __slots__ = ('_blocked', '_crashes', '_links', '_node', '_pool', '_sync')

    def __init__(
        self,
        *,
        node: Node,
        links: PeerLinks,
        sync: ConfigSync,
        pool: ClientPool,
    ) -> None:
        self._node = node
        self._links = links
        self._sync = sync
        self._pool = pool
        self._blocked: list[Blocked] = []
        # The last crash of each endpoint, by its name.
        self._crashes: dict[str, _Crash] = {}

    async def run(self) -> None:
        """Exchanges strikes and writes records until cancelled."""
        async with PartGroup() as group:
            await group.spawn(self._run_exchange)
            await group.spawn(self._run_records)

    def admit(self, suspect: Suspect) -> bool:
        """Refuses a request that crashes endpoints, unless it may be tried.

        :returns: whether it is blocked, but may be sent as a trial.
        :raises RequestBlocked: it is blocked.
        """
        breaker = self._node.breaker
        if breaker.may_try(suspect.request, self._node.now()):
            return True
        refuse_blocked(breaker, suspect, 0)
        return False

    async def begin_trial(self, suspect: Suspect) -> None:
        """Counts a trial that is about to be sent.

        :raises RequestBlocked: another host has begun one.
        """
        node = self._node
        if not await node.blocked_store.begin_trial(
            node.breaker, suspect.request, node.now()
        ):
            refuse_blocked(node.breaker, suspect, 0)

    def may_repeat(self, suspect: Suspect) -> bool:
        """Returns whether a request may be sent to another endpoint."""
        crashes = self._node.breaker.count_crashes('', suspect)
        return crashes < MAX_CRASHES_TO_REPEAT

    async def on_answer(self, suspect: Suspect) -> None:
        """Records that one endpoint answered a request from its start."""
        breaker = self._node.breaker
        cleared = breaker.note_answer(suspect, self._node.now())
        if cleared:
            await self._publish(cleared)
        if breaker.find_recorded(suspect.request) is not None:
            await self._node.blocked_store.remove_request(suspect.request)

    async def on_lost(self, lost: InFlight) -> None:
        """Records that a request in flight got no complete answer."""
        if self._is_planned_end(lost.endpoint):
            return
        lost_at = self._node.now()
        if await self._is_down(lost.endpoint):
            await self._record_crash(lost, lost_at)
        else:
            await curio.spawn(self._check_again, lost, lost_at, daemon=True)

    async def has_crashed(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint that was lost has crashed."""
        if self._is_planned_end(endpoint):
            return False
        return await self._is_down(endpoint) or await self._is_down_soon(
            endpoint
        )

    async def on_strikes(self, news: Strikes) -> Strikes:
        """Merges the strikes of another host.

        :returns: the strikes known here, if the host asks for them.
        """
        now = self._node.now()
        for strike in news.strikes:
            name = strike.crash.rpartition('/')[0]
            self._note_crash(name, strike.crash, now - strike.age_s)
        changed = self._node.breaker.merge(news.strikes, now)
        self._log_changes()
        if changed:
            await self._publish(changed)
        strikes = self._node.breaker.strikes(now) if news.asks else []
        return Strikes(strikes=strikes, asks=False)

    async def _check_again(self, lost: InFlight, lost_at: float) -> None:
        if await self._is_down_soon(lost.endpoint):
            await self._record_crash(lost, lost_at)

    async def _is_down_soon(self, endpoint: Endpoint) -> bool:
        # A process that ends may close its connections before its listener.
        for pause_s in CONNECT_PAUSES_S:
            await curio.sleep(pause_s)
            if await self._is_down(endpoint):
                return True
        return False

    async def _record_crash(self, lost: InFlight, lost_at: float) -> None:
        name = lost.endpoint.name
        known = self._crashes.get(name)
        # What was sent before a crash was observed was in flight at it.
        if known is None or lost.sent_at > known.observed_at:
            crash_id = _make_crash_id(name)
            self._note_crash(name, crash_id, lost_at)
        strikes = self._node.breaker.note_crash(
            lost.endpoint.service,
            lost.suspect,
            self._crashes[name].crash_id,
            lost_at,
        )
        log_event(
            'endpoint_crashed',
            endpoint=name,
            request=lost.request_id,
            digest=lost.suspect.request,
        )
        self._node.metrics.crash_suspects.inc(len(strikes))
        if strikes:
            await self._publish(strikes)

    def _note_crash(self, name: str, crash_id: str, observed_at: float) -> None:
        known = self._crashes.get(name)
        if known is None or observed_at > known.observed_at:
            self._crashes[name] = _Crash(
                crash_id=crash_id, observed_at=observed_at
            )

    def _is_planned_end(self, endpoint: Endpoint) -> bool:
        found = self._node.catalogue.find(Endpoint, endpoint.name)
        return found is None or found.leaving

    async def _is_down(self, endpoint: Endpoint) -> bool:
        try:
            exchange = await self._pool.open(
                endpoint.address,
                no_reuse=True,
                timeout_s=CONNECT_TIMEOUT_S,
            )
        except ConnectionRefusedError:
            return True
        except OSError as exc:
            log_event(
                'endpoint_silent',
                endpoint=endpoint.name,
                error=f'{type(exc).__name__}: {exc}',
            )
            return False
        await exchange.close()
        return False

    def _log_changes(self) -> None:
        before = self._blocked
        after = self._node.breaker.blocked_by_strikes()
        for blocked in after:
            if blocked not in before:
                log_blocked('suspects_blocked', blocked)
        for blocked in before:
            if blocked not in after:
                log_blocked('suspects_unblocked', blocked)
        self._blocked = after

    async def _publish(self, strikes: list[CrashStrike]) -> None:
        self._log_changes()
        news = Strikes(strikes=strikes, asks=False)
        for record in self._others():
            await curio.spawn(self._send, record, news, daemon=True)

    async def _run_exchange(self) -> None:
        while True:
            await curio.sleep(EXCHANGE_INTERVAL_S)
            others = self._others()
            breaker = self._node.breaker
            if not others or not breaker.has_suspects():
                continue
            strikes = breaker.strikes(self._node.now())
            reply = await self._send(
                self._node.rng.choice(others),
                Strikes(strikes=strikes, asks=True),
            )
            if reply is not None:
                await self.on_strikes(reply)

    async def _run_records(self) -> None:
        # A record is written at the second check in a row that finds it
        # missing, which leaves other hosts the time to clear the suspects.
        waiting: set[str] = set()
        records = self._node.blocked_store
        while True:
            await curio.sleep(WRITE_INTERVAL_S)
            found = {
                records.make_name(blocked): blocked
                for blocked in self._node.breaker.unrecorded()
            }
            if self._node.loaded and self._sync.is_watcher():
                for name in waiting.intersection(found):
                    await self._write(found[name])
            waiting = set(found)

    async def _write(self, blocked: Blocked) -> None:
        written = await self._node.blocked_store.write(blocked)
        if written is not None:
            await self._sync.apply_objects([written], push=True)

    def _others(self) -> list[HostRecord]:
        return [
            record
            for record in self._node.members.values()
            if record.host != self._node.host
        ]

    async def _send(self, record: HostRecord, news: Strikes) -> Strikes | None:
        try:
            reply = await self._links.request(record, news, NEWS_TIMEOUT_S)
        except PeerUnavailable as exc:
            # A later exchange repeats what was missed.
            log_event(
                'news_not_delivered',
                peer=record.host,
                news=type(news).__name__,
                detail=exc.detail,
            )
            return None
        return reply if isinstance(reply, Strikes) else None


def _make_crash_id(name: str) -> str:
    # The same at all hosts that see the crash before they hear of it.
    return f'{name}/{int(time.time() // CRASH_WINDOW_S)}'


def refuse_blocked(
    breaker: CrashBreaker, suspect: Suspect, attempts: int
) -> None:
    """Refuses a request that crashes endpoints.

    :param attempts: number of endpoints to which it was sent.
    :raises RequestBlocked: it is blocked, and was not sent.
    :raises EndpointFailed: it is blocked, but may have run.
    """
    blocked = breaker.find_blocked_request(suspect.request)
    if blocked is None:
        return
    detail = (
        f'{len(blocked.crashes)} endpoints crashed on this request '
        f'({blocked.request})'
    )
    if attempts:
        raise EndpointFailed(detail=detail)
    raise RequestBlocked(detail=detail)
