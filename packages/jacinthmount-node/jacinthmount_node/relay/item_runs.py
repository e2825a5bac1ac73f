"""Runs batch items at endpoints and collects their events."""

import enum
from http import HTTPStatus
from sys import getsizeof

from jacinthmount.batch_order import ItemRun
from jacinthmount.crash_strikes import Suspect
from jacinthmount.errors import EndlessAnswer, EndpointFailed, GarbageKind
from jacinthmount.event_stream import EventChecker
from jacinthmount.placement import EndpointUse
from jacinthmount.records import count_json_bytes
from jacinthmount.request_digest import digest_item

from jacinthmount_node.logs import log_event
from jacinthmount_node.net.client_pool import ClientPool
from jacinthmount_node.net.http_client import ATTEMPT_ERRORS, Exchange
from jacinthmount_node.net.sockets import with_timeout
from jacinthmount_node.relay.blocked_records import begin_trial
from jacinthmount_node.relay.endpoint_notices import EndpointNotices
from jacinthmount_node.relay.endpoint_responses import (
    count_endless,
    idle_limit,
    iter_events,
    read_response_head,
)
from jacinthmount_node.relay.protocols import (
    EndpointProtocol,
    EndpointRequest,
    EndpointResponse,
)
from jacinthmount_node.relay.state import RelayState
from jacinthmount_node.relay.stream_registry import make_origin

__all__ = ('ItemRunner', 'RunEnd')

CONNECT_TIMEOUT_S = 0.4
HEAD_TIMEOUT_S = 3.0
# Items that wait because endpoints crashed and whose wait was logged.
MAX_LOGGED_WAITS = 4096
# Size limit of one value of the object API, less the enclosing field names.
MAX_RESULT_BYTES = 1_000_000
# Limits that whole events, one after the other, can exceed.
EVENT_KINDS = frozenset((GarbageKind.RESULT, GarbageKind.MEMORY))


class RunEnd(enum.Enum):
    """Outcome of a run.

    ``IMPOSSIBLE`` means that the item is invalid, ``FAILED`` counts against
    its attempts, ``REFUSED`` and ``LOST`` don't.
    """

    COMPLETED = 'completed'
    FAILED = 'failed'
    IMPOSSIBLE = 'impossible'
    REFUSED = 'refused'
    LOST = 'lost'


class ItemRunner:
    """Sends items to endpoints and collects their events.

    :param pool: connections for batch items only.
    """

    __slots__ = ('_blocked', '_notices', '_pool', '_protocol', '_state')

    def __init__(
        self,
        *,
        state: RelayState,
        pool: ClientPool,
        protocol: EndpointProtocol,
        notices: EndpointNotices,
    ) -> None:
        self._state = state
        self._pool = pool
        self._notices = notices
        self._protocol = protocol
        # Ids of the items whose wait after crashes was logged.
        self._blocked: set[str] = set()

    async def run(self, run: ItemRun, use: EndpointUse) -> RunEnd:
        """Runs an item, resuming after its last event.

        Cancelling this ends the run at the endpoint.
        """
        exchange = None
        events_before = len(run.texts)
        try:
            exchange = await self._pool.open(
                use.entry.address,
                no_reuse=False,
                timeout_s=CONNECT_TIMEOUT_S,
                request_id=run.item_id,
            )
            outcome, idle_s = await self._exchange(run, use, exchange)
        except ATTEMPT_ERRORS as exc:
            use.on_failure(self._state.now())
            count_endless(self._state.metrics, exc)
            new_events = len(run.texts) - events_before
            _note_endless(run, use, exc)
            log_event(
                'item_lost',
                item=run.item_id,
                batch=run.batch_id,
                endpoint=use.entry.endpoint_id,
                events=len(run.texts),
                new_events=new_events,
                digest=self._suspect(run).request,
                parts=','.join(self._suspect(run).parts),
                version=use.entry.version,
                error=f'{type(exc).__name__}: {exc}',
            )
            if exchange is None:
                await self._notices.reach.note_failed(use.entry)
            else:
                await exchange.close()
                await self._notices.crashes.on_lost(
                    use, run.item_id, self._suspect(run), new_events
                )
            return RunEnd.LOST
        except BaseException:
            if exchange is not None:
                await exchange.close()
            raise
        await self._pool.release(exchange, idle_s)
        return outcome

    def is_blocked(self, run: ItemRun, service: str) -> bool:
        """Returns whether an item waits because endpoints crashed under it.

        An item is owed, so it runs again, each time after a longer pause. One
        whose prompt is blocked waits until the parts are cleared, or for a
        trial.
        """
        breaker = self._state.breaker
        suspect = self._suspect(run)
        now = self._state.now()
        is_undecided = self._notices.crashes.is_undecided(suspect)
        if breaker.is_idle and not is_undecided:
            return False
        wait_s = breaker.rerun_wait_s(suspect.request, now)
        parts = breaker.find_blocked_parts(service, suspect.parts)
        if parts and breaker.find_trial(service, suspect, now):
            parts = None
        is_blocked = wait_s > 0 or is_undecided or parts is not None
        if is_blocked and run.item_id not in self._blocked:
            if len(self._blocked) >= MAX_LOGGED_WAITS:
                self._blocked.clear()
            self._blocked.add(run.item_id)
            log_event(
                'item_blocked',
                item=run.item_id,
                batch=run.batch_id,
                digest=suspect.request,
                wait_s=round(wait_s, 3),
                parts=','.join(parts.parts) if parts else '',
            )
        if not is_blocked:
            self._blocked.discard(run.item_id)
        return is_blocked

    async def _may_send(self, run: ItemRun, service: str) -> bool:
        """Returns whether no part is blocked, or a trial was begun."""
        suspect = self._suspect(run)
        blocked = self._state.breaker.find_blocked_parts(service, suspect.parts)
        return blocked is None or await begin_trial(
            self._state, service, suspect
        )

    def _suspect(self, run: ItemRun) -> Suspect:
        if run.suspect is None:
            run.suspect = Suspect(
                request=digest_item(run.account, run.batch, run.item_id),
                parts=self._protocol.parse_shared_parts(run.headers),
                is_owed=True,
            )
        return run.suspect

    async def _exchange(
        self,
        run: ItemRun,
        use: EndpointUse,
        exchange: Exchange,
    ) -> tuple[RunEnd, float]:
        if not await self._may_send(run, use.entry.service):
            return RunEnd.REFUSED, 0.0
        request = EndpointRequest(
            request_id=run.item_id,
            endpoint_id=use.entry.endpoint_id,
            account=run.account,
            host_name=run.host_name,
            headers=list(run.headers.items()),
            left_s=None,
            after_event=run.last_event,
        )
        await exchange.send(
            'POST',
            run.path,
            self._protocol.make_headers(request),
            run.body,
        )
        answer = await with_timeout(
            HEAD_TIMEOUT_S,
            read_response_head,
            self._protocol,
            run.item_id,
            exchange,
        )
        if answer.leaving:
            self._state.note_leaving(use.entry)
        if not answer.other_endpoint:
            await self._notices.limits.on_answer(use, answer.limit_per_s)
        if exchange.status >= HTTPStatus.MULTIPLE_CHOICES:
            await exchange.read_body()
            outcome = self._classify(run, use, exchange.status, answer)
            return outcome, idle_limit(answer)
        if not answer.signed:
            raise EndpointFailed(detail='response without endpoint signature')
        await self._collect(run, exchange, use)
        use.on_success()
        await self._notices.crashes.on_answer(
            use.entry.service, self._suspect(run)
        )
        return RunEnd.COMPLETED, idle_limit(answer)

    def _classify(
        self,
        run: ItemRun,
        use: EndpointUse,
        status: int,
        answer: EndpointResponse,
    ) -> RunEnd:
        log_event(
            'item_refused',
            item=run.item_id,
            batch=run.batch_id,
            endpoint=use.entry.endpoint_id,
            status=status,
            not_run=answer.not_run,
        )
        if status == HTTPStatus.UNPROCESSABLE_ENTITY:
            return RunEnd.IMPOSSIBLE
        if answer.not_run:
            use.on_failure(self._state.now())
            return RunEnd.REFUSED
        if status == HTTPStatus.INTERNAL_SERVER_ERROR:
            return RunEnd.FAILED
        use.on_failure(self._state.now())
        return RunEnd.LOST

    async def _collect(
        self, run: ItemRun, exchange: Exchange, use: EndpointUse
    ) -> None:
        checker = EventChecker(last=run.last_event)
        suspect = self._suspect(run)
        progressed = False
        events_before = len(run.texts)
        size = sum(map(count_json_bytes, run.texts))
        exchange.held_bytes = sum(map(getsizeof, run.texts))
        async for events in iter_events(exchange, checker):
            run.last_seen_at = self._state.now()
            self._state.centres.on_contact(
                use.entry.data_centre, run.last_seen_at
            )
            for event in events:
                if event.number is None:
                    continue
                if run.origin is None:
                    run.begin(
                        make_origin(use, run.last_seen_at), run.last_seen_at
                    )
                text = event.read_data()
                size += count_json_bytes(text)
                EndlessAnswer.check(GarbageKind.RESULT, size, MAX_RESULT_BYTES)
                run.texts.append(text)
                exchange.held_bytes += getsizeof(text)
                run.last_event = event.number
            if not progressed:
                progressed = await self._notices.crashes.on_events(
                    use.entry.service, suspect, len(run.texts) - events_before
                )


def _note_endless(run: ItemRun, use: EndpointUse, exc: Exception) -> None:
    if not isinstance(exc, EndlessAnswer):
        return
    run.avoided.add(use.entry.endpoint_id)
    if exc.kind in EVENT_KINDS:
        # No other answer could go on after these events.
        run.begin_anew()
