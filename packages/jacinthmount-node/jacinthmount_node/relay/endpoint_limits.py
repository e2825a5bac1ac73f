"""Learns the limits that endpoints name, from answers and other hosts."""

import curio
from jacinthmount.endpoint_limit import EndpointLimit
from jacinthmount.placement import EndpointUse
from jacinthmount.records import Record

from jacinthmount_node.logs import log_event
from jacinthmount_node.relay.host_news import HostNews
from jacinthmount_node.relay.state import RelayState

__all__ = ('EndpointLimits', 'LimitNews')

EXCHANGE_INTERVAL_S = 2.0
# The end of a limit is repeated for this long to hosts that missed it.
END_VALID_S = 10.0


class LimitNews(Record):
    """Limits that a host knows; ``asks`` requests those of the recipient."""

    __slots__ = ('limits', 'asks')

    limits: list[EndpointLimit]
    asks: bool


class EndpointLimits:
    """Keeps the limits of endpoints current on all hosts."""

    __slots__ = ('_news', '_state')

    def __init__(self, *, state: RelayState, news: HostNews) -> None:
        self._state = state
        self._news = news

    async def run(self) -> None:
        """Exchanges limits with one other host at a time until cancelled."""
        while True:
            await curio.sleep(EXCHANGE_INTERVAL_S)
            known = self._known()
            if known:
                reply = await self._news.exchange(
                    LimitNews(limits=known, asks=True)
                )
                if isinstance(reply, LimitNews):
                    self.on_news(reply)

    async def on_answer(self, use: EndpointUse, per_s: float) -> None:
        """Records the limit that an answer named.

        :param per_s: requests per second from all hosts, 0 for no limit.
        """
        if not per_s and not use.limit.is_named:
            return
        now = self._state.now()
        if self._apply(use, per_s, now):
            news = LimitNews(limits=[_pack(use, now)], asks=False)
            await self._news.publish(news)

    def on_news(self, news: LimitNews) -> LimitNews:
        """Applies the limits that another host knows.

        :returns: those known here, if the host asks for them.
        """
        now = self._state.now()
        for limit in news.limits:
            use = self._state.find_endpoint_use(limit.endpoint_id)
            if use and use.entry.started_at_ms == limit.started_at_ms:
                self._apply(use, limit.per_s, now - limit.age_s)
        known = self._known() if news.asks else []
        return LimitNews(limits=known, asks=False)

    def _apply(self, use: EndpointUse, per_s: float, named_at: float) -> bool:
        state = self._state
        changed = use.limit.on_named(per_s, named_at, state.rng, state.now())
        if changed:
            log_event(
                'endpoint_limit',
                endpoint=use.entry.endpoint_id,
                per_s=per_s,
                age_s=round(state.now() - named_at, 3),
            )
        return changed

    def _known(self) -> list[EndpointLimit]:
        now = self._state.now()
        return [
            _pack(use, now)
            for placement in self._state.placements.values()
            for use in placement.uses()
            if use.limit.is_named or now - use.limit.named_at < END_VALID_S
        ]


def _pack(use: EndpointUse, now: float) -> EndpointLimit:
    return EndpointLimit(
        endpoint_id=use.entry.endpoint_id,
        started_at_ms=use.entry.started_at_ms,
        per_s=use.limit.per_s,
        age_s=now - use.limit.named_at,
    )
