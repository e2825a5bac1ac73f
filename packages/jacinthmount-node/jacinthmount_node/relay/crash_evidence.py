"""Detects crashed endpoints, and shares the suspects with other hosts."""

import curio
from jacinthmount.errors import (
    EndpointFailed,
    JacinthmountError,
    PromptBlocked,
)
from jacinthmount.placement import EndpointUse
from jacinthmount.prompt_breaker import BlockedParts, PartStrike
from jacinthmount.records import Record

from jacinthmount_node.logs import log_event
from jacinthmount_node.net.http_client import ClientPool
from jacinthmount_node.relay.host_news import HostNews
from jacinthmount_node.relay.state import RelayState

__all__ = ('CrashEvidence', 'StrikeNews', 'find_prompt_error', 'log_blocked')

CONNECT_TIMEOUT_S = 0.1
CHECK_PAUSES_S = (0.05, 0.2, 0.5)
# Repairs what hosts missed while they were cut off or restarted.
EXCHANGE_INTERVAL_S = 2.0
# An answer went on with its second event; the first may be all that an
# endpoint sends before it crashes.
MIN_EVENTS = 2
# A request that was in flight at so many crashes is not repeated.
MAX_CRASHES_TO_REPEAT = 2


class StrikeNews(Record):
    """Strikes against prompt parts that a host knows.

    ``asks`` requests those of the recipient as well.
    """

    __slots__ = ('strikes', 'asks')

    strikes: list[PartStrike]
    asks: bool


class CrashEvidence:
    """Strikes against the prompt parts of requests that crashed endpoints.

    An endpoint has crashed if it loses a connection with a request in flight
    and refuses new ones. Connections that are reset, answers that are broken
    off, and silent endpoints are no evidence.

    :param pool: connects to endpoints that may have crashed.
    """

    __slots__ = ('_blocked', '_news', '_pool', '_state')

    def __init__(
        self,
        *,
        state: RelayState,
        news: HostNews,
        pool: ClientPool,
    ) -> None:
        self._state = state
        self._news = news
        self._pool = pool
        self._blocked: list[BlockedParts] = []

    async def run(self) -> None:
        """Exchanges strikes with one other host at a time until cancelled."""
        while True:
            await curio.sleep(EXCHANGE_INTERVAL_S)
            if self._state.breaker.has_suspects():
                await self._exchange()

    async def on_events(
        self, service: str, parts: list[str], events: int
    ) -> bool:
        """Records that an answer has brought so many events.

        :param parts: shared parts of the prompt of the request.
        :returns: whether the answer has gone on.
        """
        if events < MIN_EVENTS:
            return False
        breaker = self._state.breaker
        cleared = breaker.note_progress(service, parts, self._state.now())
        if cleared:
            await self._publish(cleared)
        return True

    async def on_answer(self, service: str, parts: list[str]) -> None:
        """Records a complete answer."""
        await self.on_events(service, parts, MIN_EVENTS)

    async def on_lost(
        self,
        use: EndpointUse,
        request_id: str,
        parts: list[str],
        events: int,
    ) -> None:
        """Records that the connection of a request in flight was lost.

        :param parts: shared parts of the prompt of the request.
        :param events: number of events that this attempt brought.
        """
        if not parts or events >= MIN_EVENTS:
            return
        if await self._is_down(use):
            await self._record_crash(use, request_id, parts)
        else:
            await curio.spawn(
                self._check_again, use, request_id, parts, daemon=True
            )

    def may_repeat(self, service: str, parts: list[str]) -> bool:
        """Returns whether a request may be sent to another endpoint."""
        breaker = self._state.breaker
        crashes = breaker.count_crashes(service, parts)
        return crashes < MAX_CRASHES_TO_REPEAT

    async def on_news(self, news: StrikeNews) -> StrikeNews:
        """Merges the strikes of another host.

        :returns: the strikes known here, if the host asks for them.
        """
        now = self._state.now()
        cleared = self._state.breaker.merge(news.strikes, now)
        self.log_changes()
        if cleared:
            await self._publish(cleared)
        strikes = self._state.breaker.strikes(now) if news.asks else []
        return StrikeNews(strikes=strikes, asks=False)

    def log_changes(self) -> None:
        """Logs the parts that are newly blocked, or no longer."""
        before, after = self._blocked, self._state.breaker.blocked_by_strikes()
        for blocked in after:
            if blocked not in before:
                log_blocked('parts_blocked', blocked)
        for blocked in before:
            if blocked not in after:
                log_blocked('parts_unblocked', blocked)
        self._blocked = after

    async def _check_again(
        self, use: EndpointUse, request_id: str, parts: list[str]
    ) -> None:
        # A process that ends closes its connections before its listener.
        for pause_s in CHECK_PAUSES_S:
            await curio.sleep(pause_s)
            if await self._is_down(use):
                await self._record_crash(use, request_id, parts)
                return

    async def _record_crash(
        self, use: EndpointUse, request_id: str, parts: list[str]
    ) -> None:
        entry = use.entry
        strikes = self._state.breaker.note_crash(
            entry.service,
            parts,
            f'{entry.endpoint_id}/{entry.started_at_ms}',
            self._state.now(),
        )
        log_event(
            'endpoint_crashed',
            endpoint=entry.endpoint_id,
            request=request_id,
            parts=','.join(parts),
            suspects=','.join(strike.part for strike in strikes),
        )
        self._state.metrics.crash_suspects.inc(len(strikes))
        if strikes:
            await self._publish(self._state.breaker.strikes(self._state.now()))

    async def _is_down(self, use: EndpointUse) -> bool:
        try:
            exchange = await self._pool.open(
                use.entry.address,
                no_reuse=True,
                timeout_s=CONNECT_TIMEOUT_S,
            )
        except ConnectionError:
            return True
        except OSError as exc:
            log_event(
                'endpoint_silent',
                endpoint=use.entry.endpoint_id,
                error=f'{type(exc).__name__}: {exc}',
            )
            return False
        await exchange.close()
        return False

    async def _publish(self, strikes: list[PartStrike]) -> None:
        self.log_changes()
        await self._news.publish(StrikeNews(strikes=strikes, asks=False))

    async def _exchange(self) -> None:
        strikes = self._state.breaker.strikes(self._state.now())
        reply = await self._news.exchange(
            StrikeNews(strikes=strikes, asks=True)
        )
        if isinstance(reply, StrikeNews):
            await self.on_news(reply)


def find_prompt_error(
    state: RelayState, service: str, parts: list[str], attempts: int
) -> JacinthmountError | None:
    """Makes the error of a request whose prompt has blocked parts.

    :param attempts: number of endpoints to which the request was sent.
    :returns: None if the request may be sent.
    """
    blocked = state.breaker.find_blocked(service, parts)
    if blocked is None:
        return None
    detail = (
        f'{len(blocked.crashes)} endpoints crashed on prompts '
        f'with {",".join(blocked.parts)}'
    )
    if attempts:
        return EndpointFailed(detail=detail)
    return PromptBlocked(detail=detail)


def log_blocked(event: str, blocked: BlockedParts) -> None:
    """Logs parts that are blocked, with the crashes that they caused."""
    log_event(
        event,
        service=blocked.service,
        parts=','.join(blocked.parts),
        crashes=','.join(blocked.crashes),
    )
