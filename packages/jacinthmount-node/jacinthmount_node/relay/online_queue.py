"""Queue of online requests for endpoint slots, fair across accounts."""

import curio
from jacinthmount.errors import EndpointsFull
from jacinthmount.fairness import FairQueue
from jacinthmount.overload import OverloadGuard
from jacinthmount.placement import EndpointUse, Placement

from jacinthmount_node.net.sockets import with_timeout
from jacinthmount_node.relay.running_attempts import RunningAttempts
from jacinthmount_node.relay.state import RelayState

__all__ = ('OnlineQueue',)

ACCOUNT_WEIGHT = 1.0
TOKENS_PER_REQUEST = 1.0
# Another host may send to a limited endpoint earlier than this one.
MAX_RETURN_S = 1.0


class _Waiter:
    __slots__ = ('ready', 'tried', 'use', 'version')

    def __init__(self, *, tried: set[str], version: str | None) -> None:
        self.ready = curio.Event()
        self.tried = tried
        self.version = version
        self.use: EndpointUse | None = None


class OnlineQueue:
    """Requests of one service that wait for a slot, on this host.

    Streams that go on wait for the endpoints of one version. They come first,
    then requests at silent endpoints, then new requests, which may begin at any
    endpoint.
    """

    __slots__ = (
        '_attempts',
        '_guard',
        '_placement',
        '_queue',
        '_queued',
        '_resuming',
        '_service',
        '_state',
    )

    def __init__(
        self, *, state: RelayState, service: str, attempts: RunningAttempts
    ) -> None:
        self._state = state
        self._service = service
        self._attempts = attempts
        self._placement: Placement = state.placement(service)
        self._queue: FairQueue[_Waiter] = FairQueue()
        self._resuming: list[_Waiter] = []
        self._queued = state.metrics.queued.labels(service)
        self._guard = OverloadGuard()

    async def acquire(
        self,
        account: str,
        tried: set[str],
        wait_limit_s: float,
        assigned_id: str = '',
        version: str | None = None,
    ) -> EndpointUse:
        """Takes a slot on an endpoint, and waits for one if needed.

        :param tried: ids of the endpoints that failed this request.
        :param wait_limit_s: seconds that the request may wait at most.
        :param assigned_id: id of the endpoint that the active runner chose, or
            an empty string.
        :param version: the only version that may run the request, or None.
        :raises EndpointsFull: no slot in time; raised at once if the expected
            wait exceeds the limit.
        """
        now = self._state.now()
        waiter = _Waiter(tried=tried, version=version)
        use = None
        if version is None:
            use = self._placement.find_available(assigned_id, now)
        if use is None and not self._must_queue(waiter):
            use = self._placement.choose(tried, now, version)
        if use is None:
            self._refuse_if_too_slow(account, waiter, wait_limit_s, now)
            use = await self._wait(account, waiter, wait_limit_s)
        else:
            use.begin(now)
        self._queue.begin(account)
        return use

    def enter(self, account: str) -> None:
        """Counts a request that has a slot already."""
        self._queue.begin(account)

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
        use.end()
        self._queue.end(account)
        self._guard.on_release(took_s)

    async def pump(self) -> None:
        """Assigns free slots to waiting requests."""
        for resuming in list(self._resuming):
            is_assigned = await self._assign(resuming)
            if not is_assigned and self._is_stranded(resuming):
                await resuming.ready.set()
        self._attempts.move_silent(self._service)
        while len(self._queue):
            now = self._state.now()
            if self._placement.choose(set(), now) is None:
                return
            waiter = self._queue.pop()
            if waiter is None:
                return
            self._update_metric()
            if not await self._assign(waiter):
                await waiter.ready.set()

    async def _assign(self, waiter: _Waiter) -> bool:
        """Gives a waiting request a slot.

        :returns: false if no endpoint has one for it.
        """
        if waiter.use is not None:
            return False
        now = self._state.now()
        use = self._placement.choose(waiter.tried, now, waiter.version)
        if use is None:
            return False
        use.begin(now)
        waiter.use = use
        await waiter.ready.set()
        return True

    def _is_stranded(self, waiter: _Waiter) -> bool:
        version = waiter.version
        return version is not None and not self._placement.has_version(version)

    def _must_queue(self, waiter: _Waiter) -> bool:
        """Returns whether others that wait come before a request."""
        if waiter.version is None:
            return bool(len(self._queue))
        return any(one.version == waiter.version for one in self._resuming)

    def _refuse_if_too_slow(
        self,
        account: str,
        waiter: _Waiter,
        wait_limit_s: float,
        now: float,
    ) -> None:
        ahead = self._guard.ahead(
            waiting=len(self._queue),
            own=self._queue.waiting(account),
            accounts=self._queue.accounts(),
        )
        uses = self._placement.startable(
            waiter.tried, wait_limit_s, now, waiter.version
        )
        wait_s = self._guard.estimate_wait_s(
            ahead,
            sum(use.online for use in uses),
        )
        if not uses:
            self._refuse_for_limits(waiter, now)
        if waiter.version is None and wait_s > wait_limit_s:
            raise EndpointsFull(
                detail=f'{ahead} wait, expected wait {wait_s:.2f} s',
                retry_after_s=self._guard.retry_after_s(
                    wait_s, self._state.rng
                ),
            )

    def _refuse_for_limits(self, waiter: _Waiter, now: float) -> None:
        next_start_s = self._placement.next_start_s(
            waiter.tried, now, waiter.version
        )
        raise EndpointsFull(
            detail=f'no endpoint takes a request within {next_start_s:.2f} s',
            retry_after_s=self._guard.retry_after_s(
                min(next_start_s, MAX_RETURN_S), self._state.rng
            ),
        )

    async def _wait(
        self,
        account: str,
        waiter: _Waiter,
        wait_limit_s: float,
    ) -> EndpointUse:
        if waiter.version is None:
            self._queue.push(
                account, ACCOUNT_WEIGHT, TOKENS_PER_REQUEST, waiter
            )
        else:
            self._resuming.append(waiter)
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
                waiter.use.end()
            raise
        finally:
            self._remove(account, waiter)
            self._update_metric()
        if waiter.use is None:
            raise EndpointsFull(
                detail='no endpoint is left to try',
                retry_after_s=self._guard.retry_after_s(0, self._state.rng),
            )
        return waiter.use

    def _remove(self, account: str, waiter: _Waiter) -> None:
        if waiter.version is None:
            self._queue.remove(account, waiter)
        else:
            self._resuming.remove(waiter)

    def _update_metric(self) -> None:
        self._queued.set(len(self._queue) + len(self._resuming))
