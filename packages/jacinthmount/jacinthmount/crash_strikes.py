"""Strikes against the requests that were in flight at crashes of endpoints.

A crash ends all requests in flight at the endpoint, and one of them is the
cause. Each gets a strike, which also names the shared parts of its prompt if
its answer had not gone on. A complete answer clears the strikes of its request,
and an answer that goes on removes the parts of its prompt from all strikes.

Hosts merge their strikes in any order, so a strike is never removed before it
expires; it only loses parts, or is cleared.
"""

from collections.abc import Hashable, Iterator

from jacinthmount.records import Record

__all__ = ('CrashStrike', 'PartKey', 'StrikeTable', 'Suspect')

# What was answered this recently is no suspect, so that many endpoints that
# fail together do not block it.
ANSWER_VALID_S = 5.0
STRIKE_VALID_S = 600.0
# Other hosts have merged an older strike already, unless it is one of several.
SHARED_STRIKE_AGE_S = 60.0
MAX_STRIKES = 1024
MAX_PARTS_PER_REQUEST = 32
MAX_RECENT = 8192

# A service and the id of a prompt part.
PartKey = tuple[str, str]


class Suspect:
    """What tells a request from others when an endpoint crashes.

    :param request: its digest.
    :param parts: the shared parts of its prompt.
    :param is_owed: it runs again whatever happens, so it is never blocked.
    """

    __slots__ = ('is_owed', 'parts', 'request')

    def __init__(
        self, *, request: str, parts: list[str], is_owed: bool = False
    ) -> None:
        self.request = request
        self.parts = parts
        self.is_owed = is_owed


class CrashStrike(Record):
    """A request was in flight when an endpoint of a service crashed.

    ``request`` is its digest. ``parts`` are the prompt parts that are suspects
    as well. ``is_owed`` means that the request is never blocked. ``crash``
    identifies the lifetime of the endpoint. ``is_cleared`` means that another
    one answered the request completely. ``age_s`` is how many seconds ago the
    crash was observed.
    """

    __slots__ = (
        'service',
        'request',
        'parts',
        'is_owed',
        'crash',
        'is_cleared',
        'age_s',
    )

    service: str
    request: str
    parts: list[str]
    is_owed: bool
    crash: str
    is_cleared: bool
    age_s: float


class _Strike:
    __slots__ = ('is_cleared', 'is_owed', 'observed_at', 'parts', 'service')

    def __init__(
        self,
        *,
        service: str,
        observed_at: float,
        parts: frozenset[str],
        is_owed: bool,
        is_cleared: bool,
    ) -> None:
        self.service = service
        self.observed_at = observed_at
        self.parts = parts
        self.is_owed = is_owed
        self.is_cleared = is_cleared


class _RecentAnswers:
    """When suspects were last answered; the oldest are dropped first."""

    __slots__ = ('_answered_at',)

    def __init__(self) -> None:
        self._answered_at: dict[Hashable, float] = {}

    def note(self, key: Hashable, now: float) -> None:
        self._answered_at.pop(key, None)
        self._answered_at[key] = now
        if len(self._answered_at) > MAX_RECENT:
            self._answered_at.pop(next(iter(self._answered_at)))

    def has(self, key: Hashable, now: float) -> bool:
        answered_at = self._answered_at.get(key)
        return answered_at is not None and now - answered_at < ANSWER_VALID_S


class StrikeTable:
    """Strikes by request and crash, and the crashes of prompt parts."""

    __slots__ = (
        '_answered_parts',
        '_answered_requests',
        '_strikes',
        'causes',
        'part_crashes',
    )

    def __init__(self) -> None:
        self._answered_parts = _RecentAnswers()
        self._answered_requests = _RecentAnswers()
        # The request with the newest strike comes last.
        self._strikes: dict[str, dict[str, _Strike]] = {}
        # What follows from the strikes: the crashes in which a part is a
        # suspect, and the requests that may be the cause of a crash.
        self.part_crashes: dict[PartKey, set[str]] = {}
        self.causes: dict[str, set[str]] = {}

    @property
    def has_strikes(self) -> bool:
        """Whether there are strikes, also cleared ones."""
        return bool(self._strikes)

    def note_progress(
        self, service: str, suspect: Suspect, now: float
    ) -> list[CrashStrike]:
        """Records that an answer to a request went on.

        :returns: the strikes that lose parts by this.
        """
        for part in suspect.parts:
            self._answered_parts.note((service, part), now)
        return self.remove_parts(service, frozenset(suspect.parts), now)

    def note_answer(self, suspect: Suspect, now: float) -> list[CrashStrike]:
        """Records that one endpoint answered a request completely.

        :returns: the strikes that this clears.
        """
        self._answered_requests.note(suspect.request, now)
        return self.clear(suspect.request, now)

    def note_crash(
        self,
        service: str,
        suspect: Suspect,
        crash: str,
        now: float,
        *,
        has_progressed: bool = False,
    ) -> list[CrashStrike]:
        """Records that an endpoint crashed with a request in flight.

        :param has_progressed: its answer had gone on, so that the parts of its
            prompt are no suspects.
        :returns: the strike if it is new.
        """
        request = suspect.request
        parts = [] if has_progressed else self._suspected(service, suspect)
        unanswered = frozenset(
            part
            for part in parts
            if not self._answered_parts.has((service, part), now)
        )
        is_cleared = self._answered_requests.has(request, now)
        is_known = crash in self._strikes.get(request, {})
        if is_known or (is_cleared and not unanswered):
            return []
        strike = _Strike(
            service=service,
            observed_at=now,
            parts=unanswered,
            is_owed=suspect.is_owed,
            is_cleared=is_cleared,
        )
        self._add(request, crash, strike)
        self._update()
        return [_pack(request, crash, strike, now)]

    def merge(
        self, strikes: list[CrashStrike], now: float
    ) -> list[CrashStrike]:
        """Merges strikes that another host knows.

        :returns: the strikes that answers seen here change.
        """
        changed = []
        for news in strikes:
            if news.age_s <= STRIKE_VALID_S:
                changed.extend(self._merge_one(news, now))
        self._update()
        return changed

    def find_answered_parts(
        self, service: str, parts: list[str], now: float
    ) -> set[str]:
        """Finds the parts of which an answer went on a short time ago."""
        return {
            part
            for part in parts
            if self._answered_parts.has((service, part), now)
        }

    def crashes(self, request: str) -> frozenset[str]:
        """Returns the crashes in which a request is a suspect."""
        return frozenset(
            crash
            for crash, strike in self._strikes.get(request, {}).items()
            if not strike.is_cleared
        )

    def last_crash_at(self, request: str) -> float:
        """Returns when the last crash with a request was observed."""
        return max(
            strike.observed_at for strike in self._strikes[request].values()
        )

    def iter_requests(self) -> Iterator[str]:
        """Yields the requests that have strikes and may be blocked."""
        for request, by_crash in self._strikes.items():
            if not any(strike.is_owed for strike in by_crash.values()):
                yield request

    def strikes(self, now: float) -> list[CrashStrike]:
        """Lists the strikes that other hosts may not have merged yet.

        Strikes that have expired are dropped.
        """
        self._drop_expired(now)
        return [
            _pack(request, crash, strike, now)
            for request, by_crash in self._strikes.items()
            for crash, strike in by_crash.items()
            if now - strike.observed_at < SHARED_STRIKE_AGE_S
            or self._is_repeated(request, strike)
        ]

    def has_suspects(self) -> bool:
        """Returns whether there is a strike that is not cleared."""
        return any(
            strike.parts or not strike.is_cleared
            for by_crash in self._strikes.values()
            for strike in by_crash.values()
        )

    def clear(self, request: str, now: float) -> list[CrashStrike]:
        """Clears the strikes of a request, and returns them."""
        cleared = []
        for crash in sorted(self.crashes(request)):
            strike = self._strikes[request][crash]
            strike.is_cleared = True
            cleared.append(_pack(request, crash, strike, now))
        if cleared:
            self._update()
        return cleared

    def remove_parts(
        self, service: str, parts: frozenset[str], now: float
    ) -> list[CrashStrike]:
        """Removes parts from all strikes, and returns those that change."""
        if not any((service, part) in self.part_crashes for part in parts):
            return []
        changed = []
        for request, by_crash in self._strikes.items():
            for crash, strike in by_crash.items():
                if strike.service == service and parts & strike.parts:
                    strike.parts -= parts
                    changed.append(_pack(request, crash, strike, now))
        self._update()
        return changed

    def _suspected(self, service: str, suspect: Suspect) -> list[str]:
        # Parts with strikes come first if there are too many.
        parts = sorted(
            dict.fromkeys(suspect.parts),
            key=lambda part: (service, part) not in self.part_crashes,
        )
        return parts[:MAX_PARTS_PER_REQUEST]

    def _is_repeated(self, request: str, strike: _Strike) -> bool:
        return len(self.crashes(request)) > 1 or any(
            len(self.part_crashes.get((strike.service, part), ())) > 1
            for part in strike.parts
        )

    def _add(self, request: str, crash: str, strike: _Strike) -> None:
        by_crash = self._strikes.pop(request, {})
        by_crash[crash] = strike
        self._strikes[request] = by_crash
        count = sum(map(len, self._strikes.values()))
        while count > MAX_STRIKES and len(self._strikes) > 1:
            count -= len(self._strikes.pop(next(iter(self._strikes))))

    def _merge_one(self, news: CrashStrike, now: float) -> list[CrashStrike]:
        """Merges a strike; returns it if answers seen here change it."""
        given = frozenset(news.parts[:MAX_PARTS_PER_REQUEST])
        known = self._strikes.get(news.request, {}).get(news.crash)
        if known is None:
            known = _Strike(
                service=news.service,
                observed_at=now - news.age_s,
                parts=given,
                is_owed=news.is_owed,
                is_cleared=news.is_cleared,
            )
            self._add(news.request, news.crash, known)
        known.parts &= given
        known.is_cleared = known.is_cleared or news.is_cleared
        answered = {
            part
            for part in known.parts
            if self._answered_parts.has((news.service, part), now)
        }
        is_answered = not known.is_cleared and self._answered_requests.has(
            news.request, now
        )
        if not answered and not is_answered:
            return []
        known.parts -= answered
        known.is_cleared = known.is_cleared or is_answered
        return [_pack(news.request, news.crash, known, now)]

    def _drop_expired(self, now: float) -> None:
        for request, by_crash in list(self._strikes.items()):
            expired = [
                crash
                for crash, strike in by_crash.items()
                if now - strike.observed_at > STRIKE_VALID_S
            ]
            for crash in expired:
                by_crash.pop(crash)
            if not by_crash:
                self._strikes.pop(request)
        self._update()

    def _update(self) -> None:
        self.part_crashes = {}
        self.causes = {}
        for request, by_crash in self._strikes.items():
            for crash, strike in by_crash.items():
                if not strike.is_cleared:
                    self.causes.setdefault(crash, set()).add(request)
                for part in strike.parts:
                    key = (strike.service, part)
                    self.part_crashes.setdefault(key, set()).add(crash)


def _pack(request: str, crash: str, strike: _Strike, now: float) -> CrashStrike:
    return CrashStrike(
        service=strike.service,
        request=request,
        parts=sorted(strike.parts),
        is_owed=strike.is_owed,
        crash=crash,
        is_cleared=strike.is_cleared,
        age_s=now - strike.observed_at,
    )
