"""Circuit breaker for prompt parts that crash the endpoints.

Answers a load in which requests that share a part of their prompts arrive at
any host, and crash each endpoint that begins to answer one of them.

A crash ends all requests in flight at the endpoint, and one of them is the
cause. The parts of those whose answers had not gone on are suspects, and each
gets a strike. The cause is found by elimination, as in group testing: a part
is cleared of its strikes once an answer to a request with it goes on. A part
that keeps strikes of several crashes is blocked, together with the parts that
were suspects in all these crashes, since they can't be told apart yet: only
requests whose prompts have all of them are refused.

Hosts merge their strikes in any order, so a strike is never removed before it
expires, only cleared.
"""

from jacinthmount.records import Record

__all__ = ('BlockedParts', 'PartStrike', 'PromptBreaker')

# Endpoints that may crash on a part before it is blocked.
MIN_CRASHES = 3
# A part on which an answer went on this recently is no suspect, so that many
# endpoints that fail together do not block the parts of their requests.
PROGRESS_VALID_S = 5.0
STRIKE_VALID_S = 600.0
MAX_STRIKES = 1024
MAX_PARTS_PER_REQUEST = 32
MAX_PARTS_IN_USE = 8192

PartKey = tuple[str, str]


class PartStrike(Record):
    """A prompt part was a suspect when an endpoint of a service crashed.

    ``crash`` identifies the lifetime of the endpoint. ``age_s`` is how many
    seconds ago the crash was observed.
    """

    __slots__ = ('service', 'part', 'crash', 'cleared', 'age_s')

    service: str
    part: str
    crash: str
    cleared: bool
    age_s: float


class BlockedParts(Record):
    """Parts that crash endpoints of a service if a prompt has all of them.

    ``crashes`` are the lifetimes of endpoints that ended under them.
    """

    __slots__ = ('service', 'parts', 'crashes')

    service: str
    parts: list[str]
    crashes: list[str]


class _Strike:
    __slots__ = ('cleared', 'observed_at')

    def __init__(self, *, observed_at: float) -> None:
        self.observed_at = observed_at
        self.cleared = False


class PromptBreaker:
    """Strikes against prompt parts, and the parts that are blocked.

    Parts are blocked by the strikes known here, or by a record in the store,
    which outlives the hosts and which operators can remove.
    """

    __slots__ = ('_by_strikes', '_in_use', '_recorded', '_strikes')

    def __init__(self) -> None:
        # A dict used as an ordered set: the part used last comes last.
        self._in_use: dict[PartKey, float] = {}
        self._strikes: dict[PartKey, dict[str, _Strike]] = {}
        self._by_strikes: list[BlockedParts] = []
        self._recorded: list[BlockedParts] = []

    @property
    def is_closed(self) -> bool:
        """Whether no part is blocked."""
        return not (self._by_strikes or self._recorded)

    def note_progress(
        self, service: str, parts: list[str], now: float
    ) -> list[PartStrike]:
        """Records that an answer to a request went on.

        :returns: the strikes that this clears.
        """
        cleared = []
        for part in parts:
            key = (service, part)
            self._in_use.pop(key, None)
            self._in_use[key] = now
            cleared.extend(self._clear(key, now))
        while len(self._in_use) > MAX_PARTS_IN_USE:
            self._in_use.pop(next(iter(self._in_use)))
        return cleared

    def note_crash(
        self,
        service: str,
        parts: list[str],
        crash: str,
        now: float,
    ) -> list[PartStrike]:
        """Records that an endpoint crashed before an answer went on.

        :param parts: the shared parts of the prompt.
        :returns: the strikes that are new.
        """
        suspects = [
            (service, part)
            for part in dict.fromkeys(parts)
            if not self._is_in_use((service, part), now)
        ]
        # Parts with strikes come first if there are too many.
        suspects.sort(key=lambda key: key not in self._strikes)
        added = [
            _pack(key, crash, self._strikes[key][crash], now)
            for key in suspects[:MAX_PARTS_PER_REQUEST]
            if self._add(key, crash, now)
        ]
        self._update()
        return added

    def merge(self, strikes: list[PartStrike], now: float) -> list[PartStrike]:
        """Merges strikes that another host knows.

        :returns: the strikes that are cleared by what this host knows.
        """
        cleared = []
        for strike in strikes:
            if strike.age_s > STRIKE_VALID_S:
                continue
            key = (strike.service, strike.part)
            self._add(key, strike.crash, now - strike.age_s)
            known = self._strikes[key][strike.crash]
            known.cleared = known.cleared or strike.cleared
            if not known.cleared and self._is_in_use(key, now):
                known.cleared = True
                cleared.append(_pack(key, strike.crash, known, now))
        self._update()
        return cleared

    def count_crashes(self, service: str, parts: list[str]) -> int:
        """Returns the most crashes in which one of some parts is a suspect."""
        return max(
            (len(self._open_crashes((service, part))) for part in parts),
            default=0,
        )

    def find_blocked(
        self, service: str, parts: list[str]
    ) -> BlockedParts | None:
        """Finds the blocked parts that a prompt has, or None."""
        if self.is_closed:
            return None
        given = set(parts)
        for blocked in (*self._by_strikes, *self._recorded):
            if blocked.service == service and given.issuperset(blocked.parts):
                return blocked
        return None

    def blocked_by_strikes(self) -> list[BlockedParts]:
        """Lists the parts that are blocked by the strikes known here."""
        return self._by_strikes

    def unrecorded(self) -> list[BlockedParts]:
        """Lists the parts that are blocked by strikes, but not by a record."""
        recorded = {(one.service, *one.parts) for one in self._recorded}
        return [
            blocked
            for blocked in self._by_strikes
            if (blocked.service, *blocked.parts) not in recorded
        ]

    def apply_recorded(self, recorded: list[BlockedParts], now: float) -> None:
        """Replaces the parts that are blocked by a record.

        The strikes against parts whose record was removed are cleared.
        """
        kept = {(one.service, *one.parts) for one in recorded}
        for blocked in self._recorded:
            if (blocked.service, *blocked.parts) not in kept:
                for part in blocked.parts:
                    self._clear((blocked.service, part), now)
        self._recorded = recorded

    def strikes(self, now: float) -> list[PartStrike]:
        """Lists the strikes known here, without those that have expired."""
        self._drop_expired(now)
        return [
            _pack(key, crash, strike, now)
            for key, by_crash in self._strikes.items()
            for crash, strike in by_crash.items()
        ]

    def has_suspects(self) -> bool:
        """Returns whether a part has strikes that are not cleared."""
        return any(self._open_crashes(key) for key in self._strikes)

    def _is_in_use(self, key: PartKey, now: float) -> bool:
        used_at = self._in_use.get(key)
        return used_at is not None and now - used_at < PROGRESS_VALID_S

    def _add(self, key: PartKey, crash: str, observed_at: float) -> bool:
        by_crash = self._strikes.pop(key, {})
        self._strikes[key] = by_crash
        if crash in by_crash:
            return False
        by_crash[crash] = _Strike(observed_at=observed_at)
        self._drop_oldest()
        return True

    def _drop_oldest(self) -> None:
        count = sum(map(len, self._strikes.values()))
        while count > MAX_STRIKES and len(self._strikes) > 1:
            count -= len(self._strikes.pop(next(iter(self._strikes))))

    def _clear(self, key: PartKey, now: float) -> list[PartStrike]:
        crashes = self._open_crashes(key)
        cleared = []
        for crash in crashes:
            strike = self._strikes[key][crash]
            strike.cleared = True
            cleared.append(_pack(key, crash, strike, now))
        if cleared:
            self._update()
        return cleared

    def _open_crashes(self, key: PartKey) -> frozenset[str]:
        return frozenset(
            crash
            for crash, strike in self._strikes.get(key, {}).items()
            if not strike.cleared
        )

    def _update(self) -> None:
        suspects = {key: self._open_crashes(key) for key in self._strikes}
        self._by_strikes = [
            BlockedParts(
                service=service,
                parts=_same_suspects(suspects, service, crashes),
                crashes=sorted(crashes),
            )
            for (service, _), crashes in suspects.items()
            if len(crashes) >= MIN_CRASHES
        ]

    def _drop_expired(self, now: float) -> None:
        for key, by_crash in list(self._strikes.items()):
            expired = [
                crash
                for crash, strike in by_crash.items()
                if now - strike.observed_at > STRIKE_VALID_S
            ]
            for crash in expired:
                by_crash.pop(crash)
            if not by_crash:
                self._strikes.pop(key)
        self._update()


def _same_suspects(
    suspects: dict[PartKey, frozenset[str]],
    service: str,
    crashes: frozenset[str],
) -> list[str]:
    """Lists the parts that were suspects in all of some crashes."""
    return sorted(
        part
        for (other, part), others in suspects.items()
        if other == service and others >= crashes
    )


def _pack(key: PartKey, crash: str, strike: _Strike, now: float) -> PartStrike:
    service, part = key
    return PartStrike(
        service=service,
        part=part,
        crash=crash,
        cleared=strike.cleared,
        age_s=now - strike.observed_at,
    )
