"""Detects crashed endpoints, and shares the suspects with other hosts."""

import curio
from jacinthmount.crash_breaker import BlockedParts, BlockedRequest
from jacinthmount.crash_strikes import CrashStrike, Suspect
from jacinthmount.errors import (
    EndpointFailed,
    JacinthmountError,
    PromptBlocked,
    RequestBlocked,
)
from jacinthmount.placement import EndpointUse
from jacinthmount.records import Record

from jacinthmount_node.logs import log_event
from jacinthmount_node.net.client_pool import ClientPool
from jacinthmount_node.relay.blocked_records import (
    log_blocked,
    remove_record,
    remove_refuted,
)
from jacinthmount_node.relay.host_news import HostNews
from jacinthmount_node.relay.reach_checks import ReachChecks
from jacinthmount_node.relay.state import RelayState

__all__ = ('CrashEvidence', 'CrashNews', 'find_blocked_error')

CONNECT_TIMEOUT_S = 0.1
CONNECT_PAUSES_S = (0.05, 0.2, 0.5)
# An endpoint may restart at once, which its registration tells a little later.
REGISTRATION_PAUSES_S = (1.0, 1.5)
# Repairs what hosts missed while they were cut off or restarted.
EXCHANGE_INTERVAL_S = 2.0
# An answer went on with its second event; the first may be all that an
# endpoint sends before it crashes.
MIN_EVENTS = 2
# A request that was in flight at so many crashes is not repeated.
MAX_CRASHES_TO_REPEAT = 2


class CrashNews(Record):
    """Strikes that a host knows.

    ``asks`` requests those of the recipient as well.
    """

    __slots__ = ('strikes', 'asks')

    strikes: list[CrashStrike]
    asks: bool


class _Loss:
    """A request whose connection was lost while it was in flight."""

    __slots__ = ('events', 'request_id', 'suspect', 'use')

    def __init__(
        self,
        *,
        use: EndpointUse,
        request_id: str,
        suspect: Suspect,
        events: int,
    ) -> None:
        self.use = use
        self.request_id = request_id
        self.suspect = suspect
        self.events = events

    @property
    def lifetime(self) -> str:
        """Identifies the process of the endpoint."""
        entry = self.use.entry
        return f'{entry.endpoint_id}/{entry.started_at_ms}'


class CrashEvidence:
    """Strikes against the requests in flight at endpoints that crashed.

    An endpoint has crashed if it loses a connection with a request in flight
    and refuses new ones, or is registered as a new process soon after.
    Connections that are reset, answers that are broken off, and silent
    endpoints are no evidence, nor is the planned end of an endpoint. A host
    that reaches no other endpoint has no evidence at all.

    :param pool: connects to endpoints that may have crashed.
    """

    __slots__ = (
        '_blocked',
        '_answered',
        '_checks',
        '_news',
        '_pool',
        '_reach',
        '_state',
        '_undecided',
    )

    def __init__(
        self,
        *,
        state: RelayState,
        news: HostNews,
        pool: ClientPool,
        reach: ReachChecks,
    ) -> None:
        self._state = state
        self._news = news
        self._pool = pool
        self._reach = reach
        self._blocked: list[BlockedParts | BlockedRequest] = []
        # Losses that wait for evidence, by lifetime of the endpoint.
        self._checks: dict[str, list[_Loss]] = {}
        # Digests of recorded requests that were answered completely.
        self._answered: set[str] = set()
        # Digests of requests whose endpoint may refuse connections soon.
        self._undecided: set[str] = set()

    async def run(self) -> None:
        """Exchanges strikes with one other host at a time until cancelled."""
        while True:
            await curio.sleep(EXCHANGE_INTERVAL_S)
            if self._state.breaker.has_suspects():
                await self._exchange()
            await remove_refuted(self._state)
            for request in list(self._answered):
                # Repeated until the change of the store is known here.
                await remove_record(self._state, request)
                if self._state.breaker.find_recorded(request) is None:
                    self._answered.discard(request)

    async def on_events(
        self, service: str, suspect: Suspect, events: int
    ) -> bool:
        """Records that an answer has brought so many events.

        :returns: whether the answer has gone on.
        """
        if events < MIN_EVENTS:
            return False
        breaker = self._state.breaker
        cleared = breaker.note_progress(service, suspect, self._state.now())
        if cleared:
            await self._publish(cleared)
        return True

    async def on_answer(self, service: str, suspect: Suspect) -> None:
        """Records that one endpoint answered a request completely."""
        await self.on_events(service, suspect, MIN_EVENTS)
        cleared = self._state.breaker.note_answer(suspect, self._state.now())
        if cleared:
            await self._publish(cleared)
        if self._state.breaker.find_recorded(suspect.request) is not None:
            self._answered.add(suspect.request)

    async def on_lost(
        self,
        use: EndpointUse,
        request_id: str,
        suspect: Suspect,
        events: int,
    ) -> None:
        """Records that the connection of a request in flight was lost.

        :param events: number of events that this attempt brought.
        """
        if self._is_planned_end(use):
            return
        loss = _Loss(
            use=use, request_id=request_id, suspect=suspect, events=events
        )
        # The caller may go, which cancels only the wait.
        check = await curio.spawn(self._check, loss, daemon=True)
        await check.wait()

    def may_repeat(self, service: str, suspect: Suspect) -> bool:
        """Returns whether a request may be sent to another endpoint."""
        crashes = self._state.breaker.count_crashes(service, suspect)
        return crashes < MAX_CRASHES_TO_REPEAT

    def is_undecided(self, suspect: Suspect) -> bool:
        """Returns whether a request may just have crashed an endpoint."""
        return suspect.request in self._undecided

    async def on_news(self, news: CrashNews) -> CrashNews:
        """Merges the strikes of another host.

        :returns: the strikes known here, if the host asks for them.
        """
        now = self._state.now()
        changed = self._state.breaker.merge(news.strikes, now)
        self.log_changes()
        if changed:
            await self._publish(changed)
        strikes = self._state.breaker.strikes(now) if news.asks else []
        return CrashNews(strikes=strikes, asks=False)

    def log_changes(self) -> None:
        """Logs what is newly blocked, or no longer."""
        before, after = self._blocked, self._state.breaker.blocked_by_strikes()
        for blocked in after:
            if blocked not in before:
                log_blocked('suspects_blocked', blocked)
        for blocked in before:
            if blocked not in after:
                log_blocked('suspects_unblocked', blocked)
        self._blocked = after

    async def _check(self, loss: _Loss) -> None:
        if await self._is_down(loss.use):
            await self._record_crash(loss)
            return
        losses = self._checks.setdefault(loss.lifetime, [])
        losses.append(loss)
        self._undecided.add(loss.suspect.request)
        if len(losses) == 1:
            await curio.spawn(
                self._check_again, loss.use, loss.lifetime, daemon=True
            )

    async def _check_again(self, use: EndpointUse, lifetime: str) -> None:
        losses = self._checks[lifetime]
        is_crash = False
        try:
            is_crash = await self._refuses_soon(use)
            if not is_crash:
                self._decide(losses)
                is_crash = await self._is_replaced_soon(use)
        finally:
            self._checks.pop(lifetime)
            if not is_crash:
                self._decide(losses)
        if is_crash:
            for loss in losses:
                await self._record_crash(loss)
            self._decide(losses)

    def _decide(self, losses: list[_Loss]) -> None:
        self._undecided.difference_update(
            loss.suspect.request for loss in losses
        )

    async def _refuses_soon(self, use: EndpointUse) -> bool:
        # A process that ends closes its connections before its listener.
        for pause_s in CONNECT_PAUSES_S:
            await curio.sleep(pause_s)
            if self._was_replaced(use) or await self._is_down(use):
                return True
        return False

    async def _is_replaced_soon(self, use: EndpointUse) -> bool:
        for pause_s in REGISTRATION_PAUSES_S:
            await curio.sleep(pause_s)
            if self._was_replaced(use):
                return True
        return False

    async def _record_crash(self, loss: _Loss) -> None:
        entry = loss.use.entry
        strikes = self._state.breaker.note_crash(
            entry.service,
            loss.suspect,
            loss.lifetime,
            self._state.now(),
            has_progressed=loss.events >= MIN_EVENTS,
        )
        log_event(
            'endpoint_crashed',
            endpoint=entry.endpoint_id,
            request=loss.request_id,
            digest=loss.suspect.request,
            events=loss.events,
            parts=','.join(loss.suspect.parts),
            suspects=','.join(
                part for strike in strikes for part in strike.parts
            ),
        )
        self._state.metrics.crash_suspects.inc(len(strikes))
        if strikes:
            await self._publish(strikes)

    def _is_planned_end(self, use: EndpointUse) -> bool:
        found = self._state.endpoints.find(use.entry.endpoint_id)
        return found is None or found.leaving

    def _was_replaced(self, use: EndpointUse) -> bool:
        """Returns whether another process now has the address."""
        entry = use.entry
        return any(
            other.address == entry.address
            and (other.endpoint_id, other.started_at_ms)
            != (entry.endpoint_id, entry.started_at_ms)
            for other in self._state.endpoints.entries()
        )

    async def _is_down(self, use: EndpointUse) -> bool:
        try:
            exchange = await self._pool.open(
                use.entry.address,
                no_reuse=True,
                timeout_s=CONNECT_TIMEOUT_S,
            )
        except ConnectionError:
            return await self._reach.reaches_another(use.entry)
        except OSError as exc:
            log_event(
                'endpoint_silent',
                endpoint=use.entry.endpoint_id,
                error=f'{type(exc).__name__}: {exc}',
            )
            return False
        await exchange.close()
        return False

    async def _publish(self, strikes: list[CrashStrike]) -> None:
        self.log_changes()
        await self._news.publish(CrashNews(strikes=strikes, asks=False))

    async def _exchange(self) -> None:
        strikes = self._state.breaker.strikes(self._state.now())
        reply = await self._news.exchange(CrashNews(strikes=strikes, asks=True))
        if isinstance(reply, CrashNews):
            await self.on_news(reply)


def find_blocked_error(
    state: RelayState, service: str, suspect: Suspect, attempts: int
) -> JacinthmountError | None:
    """Makes the error of a request that is blocked, or its prompt.

    :param attempts: number of endpoints to which the request was sent.
    :returns: None if the request may be sent.
    """
    breaker = state.breaker
    if breaker.is_closed:
        return None
    request = breaker.find_blocked_request(suspect.request)
    if request is not None:
        return _make_error(
            RequestBlocked,
            f'{len(request.crashes)} endpoints crashed on this request '
            f'({request.request})',
            attempts,
        )
    parts = breaker.find_blocked_parts(service, suspect.parts)
    if parts is not None:
        return _make_error(
            PromptBlocked,
            f'{len(parts.crashes)} endpoints crashed on prompts '
            f'with {",".join(parts.parts)}',
            attempts,
        )
    return None


def _make_error(
    error_type: type[JacinthmountError], detail: str, attempts: int
) -> JacinthmountError:
    if attempts:
        # An earlier attempt ran, so the error must not promise the opposite.
        return EndpointFailed(detail=detail)
    return error_type(detail=detail)
