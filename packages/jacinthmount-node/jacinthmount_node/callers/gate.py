"""Queue for engine slots, fair between accounts, with early refusal."""

import curio
from jacinthmount.crash_strikes import Suspect
from jacinthmount.declarations import Profile
from jacinthmount.errors import DeadlineUnreachable, JacinthmountError
from jacinthmount.fairness import FairQueue
from jacinthmount.request_digest import digest_request
from jacinthmount.routing import EndpointState, Router

from jacinthmount_node.engines.crash_watch import refuse_blocked
from jacinthmount_node.engines.engine_capacity import EngineCapacity
from jacinthmount_node.logs import log_event
from jacinthmount_node.net.sockets import with_timeout
from jacinthmount_node.node import Node

__all__ = ('Gate', 'OnlineCall')

MIN_RETRY_AFTER_S = 1.0
MIN_WAIT_S = 0.01


class OnlineCall:
    """An admitted online request."""

    __slots__ = (
        'account',
        'arrived_at',
        'body',
        'deadline',
        'is_trial',
        'key_id',
        'path',
        'prefix',
        'request_id',
        'runs',
        'service',
        'stream',
        'suspect',
        'tokens',
        'weight',
    )

    def __init__(
        self,
        *,
        account: str,
        key_id: str,
        service: str,
        path: str,
        body: bytes,
        stream: bool,
        prefix: str,
        request_id: str,
        tokens: float,
        weight: float,
        arrived_at: float,
        deadline: float,
    ) -> None:
        """Initialises the call; times are monotonic seconds.

        :param prefix: prompt prefix key, by which an endpoint is chosen.
        :param tokens: estimated size of prompt and output, for fair queueing.
        :param weight: weight of the account in the queue.
        """
        self.account = account
        self.key_id = key_id
        self.service = service
        self.path = path
        self.body = body
        self.stream = stream
        self.prefix = prefix
        self.request_id = request_id
        self.tokens = tokens
        self.weight = weight
        self.arrived_at = arrived_at
        self.deadline = deadline
        self.suspect = Suspect(
            request=digest_request(account, service, 'POST', path, body),
            parts=[],
        )
        # Whether it is sent although it is blocked.
        self.is_trial = False
        # Number of endpoints that may have run it.
        self.runs = 0


class _Waiter:
    __slots__ = ('granted', 'ready')

    def __init__(self) -> None:
        self.ready = curio.Event()
        self.granted = False


class Gate:
    """Admits online requests of one service to engine slots.

    Requests without a free slot wait in a fair queue on this host.
    """

    __slots__ = (
        '_capacity',
        '_node',
        '_queue',
        '_router',
        '_service',
    )

    def __init__(
        self,
        *,
        node: Node,
        rooms: EngineCapacity,
        service: str,
    ) -> None:
        self._node = node
        self._capacity = rooms
        self._service = service
        self._router: Router = node.router(service)
        self._queue: FairQueue[_Waiter] = FairQueue()

    async def acquire(
        self,
        call: OnlineCall,
        profile: Profile,
        tried: set[str],
    ) -> EndpointState:
        """Waits for a slot and takes it.

        :param tried: names of endpoints that failed this request.
        :raises DeadlineUnreachable: the deadline can't be met; raised at once
            if the estimated wait is too long.
        :raises JacinthmountError: endpoints crashed on the request meanwhile.
        """
        now = self._node.now()
        if len(self._queue) or not self._router.capacity_left(now):
            self._refuse_late(call, profile, now)
            await self._wait(call)
        self.check(call)
        state = self._router.choose(call.prefix, tried, self._node.now())
        if state is None:
            raise DeadlineUnreachable(
                detail='no endpoint is available',
                retry_after_s=MIN_RETRY_AFTER_S,
            )
        await self._take(call, state)
        return state

    def check(self, call: OnlineCall) -> None:
        """Checks that a request may still be sent to an endpoint.

        :raises JacinthmountError: its key was withdrawn, or endpoints crashed
            on it meanwhile.
        """
        self._node.keyring.recheck(call.key_id)
        if not call.is_trial:
            refuse_blocked(self._node.breaker, call.suspect, call.runs)

    async def take_free(
        self, call: OnlineCall, avoided: set[str]
    ) -> EndpointState | None:
        """Takes a slot that is free now at an endpoint that can be used.

        :param avoided: names of endpoints that are not to be used.
        :returns: None if there is no such slot, or the request may not be sent.
        """
        try:
            self.check(call)
        except JacinthmountError as exc:
            log_event('not_moved', request=call.request_id, detail=exc.detail)
            return None
        now = self._node.now()
        free = [
            state
            for state in self._router.states()
            if state.endpoint.name not in avoided
            and state.available(now)
            and state.free_slots() > 0
        ]
        if not free:
            return None
        state = min(free, key=lambda one: one.load(now))
        await self._take(call, state)
        return state

    async def release(self, call: OnlineCall, state: EndpointState) -> None:
        """Frees a slot and grants it to the next waiting request."""
        state.online -= 1
        self._queue.end(call.account)
        await self._capacity.update_online(state)
        await self.grant_free_slots()

    async def grant_free_slots(self) -> None:
        """Grants free slots to waiting requests."""
        usable = self._router.usable(self._node.now())
        free = sum(max(0, state.free_slots()) for state in usable)
        while free > 0 and len(self._queue):
            free -= 1
            waiter = self._queue.pop()
            if waiter is None:
                return
            waiter.granted = True
            await self._update_queue()
            await waiter.ready.set()

    def waiting(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._queue)

    async def _take(self, call: OnlineCall, state: EndpointState) -> None:
        state.online += 1
        self._queue.begin(call.account)
        try:
            await self._capacity.update_online(state)
        except BaseException:
            state.online -= 1
            self._queue.end(call.account)
            raise

    def _refuse_late(
        self,
        call: OnlineCall,
        profile: Profile,
        now: float,
    ) -> None:
        waiting = len(self._queue)
        # With fair queueing, each other account has at most as many requests
        # ahead as this account.
        own = self._queue.waiting(call.account)
        ahead = min(waiting, (own + 1) * (self._queue.accounts() + 1))
        estimate = self._router.wait_estimate_s(ahead + 1, now)
        is_late = now + estimate * 2 >= call.deadline
        if waiting >= profile.queue_limit or is_late:
            raise DeadlineUnreachable(
                detail='the queue is too long for the deadline',
                retry_after_s=max(MIN_RETRY_AFTER_S, estimate),
            )

    async def _wait(self, call: OnlineCall) -> None:
        waiter = _Waiter()
        self._queue.push(call.account, call.weight, call.tokens, waiter)
        await self._update_queue()
        remaining_s = call.deadline - self._node.now()
        try:
            await with_timeout(max(MIN_WAIT_S, remaining_s), waiter.ready.wait)
        except TimeoutError:
            raise DeadlineUnreachable(
                detail='no slot became free before the deadline',
                retry_after_s=MIN_RETRY_AFTER_S,
            ) from None
        finally:
            if not waiter.granted:
                self._queue.remove(call.account, waiter)
                await self._update_queue()

    async def _update_queue(self) -> None:
        self._node.metrics.queued.labels(self._service).set(len(self._queue))
        await self._capacity.update_waiting(self._service, len(self._queue))
