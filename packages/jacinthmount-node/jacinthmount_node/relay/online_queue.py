"""Queue of online requests for endpoint slots, fair across accounts."""

import curio
from jacinthmount.errors import EndpointsFull
from jacinthmount.fairness import FairQueue
from jacinthmount.overload import OverloadGuard
from jacinthmount.placement import EndpointUse, Placement

from jacinthmount_node.net.sockets import with_timeout
from jacinthmount_node.relay.state import RelayState

__all__ = ('OnlineQueue',)

ACCOUNT_WEIGHT = 1.0
TOKENS_PER_REQUEST = 1.0
# Another host may send to a limited endpoint earlier than this one.
MAX_RETURN_S = 1.0


class _Waiter:
    __slots__ = ('ready', 'tried', 'use')

    def __init__(self, *, tried: set[str]) -> None:
        self.ready = curio.Event()
        self.tried = tried
        self.use: EndpointUse | None = None


class OnlineQueue:
    """Requests of one service that wait for a slot, on this host."""

    __slots__ = ('_guard', '_placement', '_queue', '_queued', '_state')

    def __init__(self, *, state: RelayState, service: str) -> None:
        self._state = state
        self._placement: Placement = state.placement(service)
        self._queue: FairQueue[_Waiter] = FairQueue()
        self._queued = state.metrics.queued.labels(service)
        self._guard = OverloadGuard()

    async def acquire(
        self,
        account: str,
        tried: set[str],
        wait_limit_s: float,
        assigned_id: str = '',
    ) -> EndpointUse:
        """Takes a slot on an endpoint, and waits for one if needed.

        :param tried: ids of the endpoints that failed this request.
        :param wait_limit_s: seconds that the request may wait at most.
        :param assigned_id: id of the endpoint that the active runner chose, or
            an empty string.
        :raises EndpointsFull: no slot in time; raised at once if the expected
            wait exceeds the limit.
        """
        now = self._state.now()
        use = self._placement.find_available(assigned_id, now)
        if use is None and not len(self._queue):
            use = self._placement.choose(tried, now)
        if use is None:
            self._refuse_if_too_slow(account, tried, wait_limit_s, now)
            use = await self._wait(account, tried, wait_limit_s)
        else:
            use.begin(now)
        self._queue.begin(account)
        return use

    def is_limited(self, tried: set[str]) -> bool:
        """Returns whether a request would have to wait for a limited endpoint.

        :param tried: ids of the endpoints that failed the request.
        """
        if not self._placement.has_limits(tried):
            return False
        return self._placement.choose(tried, self._state.now()) is None

    def release(self, account: str, use: EndpointUse, took_s: float) -> None:
        """Releases a slot.

        :param took_s: seconds for which it was held.
        """
        use.online -= 1
        if not use.online:
            use.on_idle()
        self._queue.end(account)
        self._guard.on_release(took_s)

    async def pump(self) -> None:
        """Assigns free slots to waiting requests."""
        while len(self._queue):
            now = self._state.now()
            if self._placement.choose(set(), now) is None:
                return
            waiter = self._queue.pop()
            if waiter is None:
                return
            self._update_metric()
            use = self._placement.choose(waiter.tried, now)
            if use is not None:
                use.begin(now)
                waiter.use = use
            await waiter.ready.set()

    def _refuse_if_too_slow(
        self,
        account: str,
        tried: set[str],
        wait_limit_s: float,
        now: float,
    ) -> None:
        ahead = self._guard.ahead(
            waiting=len(self._queue),
            own=self._queue.waiting(account),
            accounts=self._queue.accounts(),
        )
        uses = self._placement.startable(tried, wait_limit_s, now)
        wait_s = self._guard.estimate_wait_s(
            ahead,
            sum(use.online for use in uses),
        )
        if not uses:
            self._refuse_for_limits(tried, now)
        if wait_s > wait_limit_s:
            raise EndpointsFull(
                detail=f'{ahead} wait, expected wait {wait_s:.2f} s',
                retry_after_s=self._guard.retry_after_s(
                    wait_s, self._state.rng
                ),
            )

    def _refuse_for_limits(self, tried: set[str], now: float) -> None:
        next_start_s = self._placement.next_start_s(tried, now)
        raise EndpointsFull(
            detail=f'no endpoint takes a request within {next_start_s:.2f} s',
            retry_after_s=self._guard.retry_after_s(
                min(next_start_s, MAX_RETURN_S), self._state.rng
            ),
        )

    async def _wait(
        self,
        account: str,
        tried: set[str],
        wait_limit_s: float,
    ) -> EndpointUse:
        waiter = _Waiter(tried=tried)
        self._queue.push(account, ACCOUNT_WEIGHT, TOKENS_PER_REQUEST, waiter)
        self._update_metric()
        try:
            await with_timeout(wait_limit_s, waiter.ready.wait)
        except TimeoutError:
            if waiter.use is not None:
                return waiter.use
            raise EndpointsFull(
                detail=f'waited {wait_limit_s:.2f} s',
                retry_after_s=self._guard.retry_after_s(
                    wait_limit_s, self._state.rng
                ),
            ) from None
        except BaseException:
            if waiter.use is not None:
                waiter.use.online -= 1
            raise
        finally:
            self._queue.remove(account, waiter)
            self._update_metric()
        if waiter.use is None:
            raise EndpointsFull(
                detail='no endpoint is left to try',
                retry_after_s=self._guard.retry_after_s(0, self._state.rng),
            )
        return waiter.use

    def _update_metric(self) -> None:
        self._queued.set(len(self._queue))
