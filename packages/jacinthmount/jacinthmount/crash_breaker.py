"""Circuit breaker for requests and prompt parts that crash the endpoints.

Answers two loads: a request that comes again and again, at any host, and
crashes each endpoint that runs it; and requests that differ but share a part of
their prompts on which each endpoint crashes that begins to answer.

A crash ends all requests in flight at the endpoint, and one of them is the
cause. Each gets a strike, which also names the shared parts of its prompt if
its answer had not gone on. The cause is found by elimination, as in group
testing: a complete answer clears the strikes of its request, and an answer that
goes on clears the parts of its prompt.

A request that keeps the strikes of several crashes is blocked. Parts are
blocked if they were suspects in several crashes that no few requests explain,
so that the parts of one request that comes again are not blamed for it. Parts
that were suspects in all these crashes can't be told apart yet: only requests
whose prompts have all of them are refused.
"""

from collections.abc import Iterable, Iterator

import xxhash

from jacinthmount.crash_strikes import (
    CrashStrike,
    PartKey,
    StrikeTable,
    Suspect,
)
from jacinthmount.records import Record

__all__ = (
    'PARTS_MARK',
    'BlockedParts',
    'BlockedRequest',
    'CrashBreaker',
    'RecordedRequest',
    'digest_parts',
)

# Endpoints that may crash on a request, or on a part, before it is blocked.
MIN_CRASHES = 3
# Crashes that so many requests explain are not blamed on a part.
MAX_EXPLAINING_REQUESTS = 2
# Crashes that are searched for requests that explain them.
MAX_EXPLAINED_CRASHES = 6
# Times that a blocked request may be sent to an endpoint again, over all hosts
# and for as long as its record exists.
MAX_TRIALS = 2
TRIAL_PAUSE_S = 30.0
# Shorter, as sound requests of many callers may have the parts.
PARTS_TRIAL_PAUSE_S = 8.0
PARTS_MARK = 'parts-'
# Pause before work that is still owed runs again, doubled with each crash.
RERUN_PAUSE_S = 1.0
MAX_RERUN_PAUSE_S = 8.0


class BlockedParts(Record):
    """Parts that crash endpoints of a service if a prompt has all of them.

    ``crashes`` are the lifetimes of endpoints that ended under them.
    """

    __slots__ = ('service', 'parts', 'crashes')

    service: str
    parts: list[str]
    crashes: list[str]


class BlockedRequest(Record):
    """A request that crashes endpoints, by its digest.

    ``crashes`` are the lifetimes of endpoints that ended under it. ``trials``
    counts how often it was sent again since it is blocked. Such a record also
    counts the trials of blocked parts, by their digest.
    """

    __slots__ = ('request', 'crashes', 'trials')

    request: str
    crashes: list[str]
    trials: int


class RecordedRequest:
    """A blocked request as it is recorded in the store.

    :param version: version of the record.
    :param seen_at: when this host saw this version, in monotonic seconds.
    """

    __slots__ = ('blocked', 'seen_at', 'version')

    def __init__(
        self, *, blocked: BlockedRequest, version: int, seen_at: float
    ) -> None:
        self.blocked = blocked
        self.version = version
        self.seen_at = seen_at

    @property
    def counts_parts(self) -> bool:
        """Whether it counts the trials of blocked parts."""
        return self.blocked.request.startswith(PARTS_MARK)

    def may_try(self, now: float) -> bool:
        """Returns whether the request may be sent to an endpoint once more."""
        has_trials = self.blocked.trials < MAX_TRIALS
        pause_s = PARTS_TRIAL_PAUSE_S if self.counts_parts else TRIAL_PAUSE_S
        return has_trials and now - self.seen_at >= pause_s


class _RecordedParts:
    """Parts that are blocked by a record, and those that were answered."""

    __slots__ = ('_answered', 'blocked')

    def __init__(self) -> None:
        self.blocked: list[BlockedParts] = []
        # Recorded parts of which an answer went on at this host.
        self._answered: set[PartKey] = set()

    def keys(self) -> set[tuple[str, ...]]:
        """Returns the service and the parts of each record."""
        return {(one.service, *one.parts) for one in self.blocked}

    def replace(self, blocked: list[BlockedParts]) -> list[BlockedParts]:
        """Replaces the records, and returns those that are gone."""
        before = self.blocked
        self.blocked = blocked
        self._answered &= self._part_keys()
        kept = self.keys()
        return [one for one in before if (one.service, *one.parts) not in kept]

    def note_answered(self, service: str, parts: Iterable[str]) -> None:
        """Records that an answer to a prompt with some parts went on."""
        if self.blocked:
            answered = {(service, part) for part in parts}
            self._answered |= answered & self._part_keys()

    def refuted(self) -> list[BlockedParts]:
        """Lists the records of which each part was answered."""
        return [
            one
            for one in self.blocked
            if self._answered.issuperset(_list_keys(one))
        ]

    def _part_keys(self) -> set[PartKey]:
        return {key for one in self.blocked for key in _list_keys(one)}


class CrashBreaker:
    """What is blocked because endpoints crashed on it.

    It is blocked by the strikes known here, or by a record in the store, which
    outlives the hosts. A record is removed by a host that has seen it refuted,
    or by an operator.
    """

    __slots__ = (
        '_parts_by_strikes',
        '_recorded_parts',
        '_recorded_requests',
        '_requests_by_strikes',
        '_table',
    )

    def __init__(self) -> None:
        self._table = StrikeTable()
        self._parts_by_strikes: list[BlockedParts] = []
        self._requests_by_strikes: dict[str, BlockedRequest] = {}
        self._recorded_parts = _RecordedParts()
        self._recorded_requests: dict[str, RecordedRequest] = {}

    @property
    def is_closed(self) -> bool:
        """Whether nothing is blocked."""
        return not (
            self._parts_by_strikes
            or self._requests_by_strikes
            or self._recorded_parts.blocked
            or self._recorded_requests
        )

    @property
    def is_idle(self) -> bool:
        """Whether nothing is blocked and there are no strikes."""
        return self.is_closed and not self._table.has_strikes

    def note_progress(
        self, service: str, suspect: Suspect, now: float
    ) -> list[CrashStrike]:
        """Records that an answer to a request went on.

        :returns: the strikes that lose parts by this.
        """
        self._recorded_parts.note_answered(service, suspect.parts)
        return self._updated(self._table.note_progress(service, suspect, now))

    def note_answer(self, suspect: Suspect, now: float) -> list[CrashStrike]:
        """Records that one endpoint answered a request completely.

        :returns: the strikes that this clears.
        """
        return self._updated(self._table.note_answer(suspect, now))

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
        return self._updated(
            self._table.note_crash(
                service, suspect, crash, now, has_progressed=has_progressed
            )
        )

    def merge(
        self, strikes: list[CrashStrike], now: float
    ) -> list[CrashStrike]:
        """Merges strikes that another host knows.

        :returns: the strikes that answers seen here change.
        """
        changed = self._table.merge(strikes, now)
        self._update()
        return changed

    def count_crashes(self, service: str, suspect: Suspect) -> int:
        """Returns in how many crashes a request, or a part, is a suspect."""
        counts = [len(self._table.crashes(suspect.request))]
        counts.extend(
            len(self._table.part_crashes.get((service, part), ()))
            for part in suspect.parts
        )
        return max(counts)

    def rerun_wait_s(self, request: str, now: float) -> float:
        """Returns the seconds until work that is still owed may run again.

        The pause grows with the crashes in which it is a suspect.
        """
        crashes = len(self._table.crashes(request))
        if crashes < MIN_CRASHES - 1:
            return 0.0
        doublings = crashes - MIN_CRASHES + 1
        pause_s = min(MAX_RERUN_PAUSE_S, RERUN_PAUSE_S * 2**doublings)
        return max(0.0, self._table.last_crash_at(request) + pause_s - now)

    def find_blocked_parts(
        self, service: str, parts: list[str]
    ) -> BlockedParts | None:
        """Finds the blocked parts that a prompt has, or None."""
        return next(self._iter_blocked_parts(service, parts), None)

    def find_trial(self, service: str, suspect: Suspect, now: float) -> str:
        """Finds what a trial of a blocked request would be counted for.

        :returns: the digest of the request, or of its blocked parts; an empty
            string if it may not be sent, or if several reasons block it.
        """
        blocked = self._iter_blocked_parts(service, suspect.parts)
        digests = set(map(digest_parts, blocked))
        if self.find_blocked_request(suspect.request) is not None:
            digests.add(suspect.request)
        digest = digests.pop() if len(digests) == 1 else ''
        return digest if self.may_try(digest, now) else ''

    def find_blocked_request(self, request: str) -> BlockedRequest | None:
        """Finds the block of a request, or None."""
        recorded = self._recorded_requests.get(request)
        if recorded is not None:
            return recorded.blocked
        return self._requests_by_strikes.get(request)

    def may_try(self, request: str, now: float) -> bool:
        """Returns whether a blocked request may be sent once more."""
        recorded = self._recorded_requests.get(request)
        return recorded is not None and recorded.may_try(now)

    def find_recorded(self, request: str) -> RecordedRequest | None:
        """Finds the record of a blocked request, or None."""
        return self._recorded_requests.get(request)

    def blocked_by_strikes(self) -> list[BlockedParts | BlockedRequest]:
        """Lists what is blocked by the strikes known here."""
        return [*self._parts_by_strikes, *self._requests_by_strikes.values()]

    def refuted_parts(self) -> list[BlockedParts]:
        """Lists the recorded parts that crash no endpoints.

        An answer to a prompt with each of them went on at this host.
        """
        return self._recorded_parts.refuted()

    def unrecorded(self) -> list[BlockedParts | BlockedRequest]:
        """Lists what is blocked by strikes, but not by a record."""
        recorded = self._recorded_parts.keys()
        found: list[BlockedParts | BlockedRequest] = [
            blocked
            for blocked in self._parts_by_strikes
            if (blocked.service, *blocked.parts) not in recorded
        ]
        requests = {**self._requests_by_strikes}
        for parts in self._recorded_parts.blocked:
            digest = digest_parts(parts)
            requests[digest] = BlockedRequest(
                request=digest, crashes=parts.crashes, trials=0
            )
        found.extend(
            blocked
            for request, blocked in requests.items()
            if request not in self._recorded_requests
        )
        return found

    def apply_recorded(
        self,
        parts: list[BlockedParts],
        requests: list[RecordedRequest],
        now: float,
    ) -> None:
        """Replaces what is blocked by a record.

        The strikes against what is no longer recorded are cleared.
        """
        for blocked in self._recorded_parts.replace(parts):
            self._table.remove_parts(
                blocked.service, frozenset(blocked.parts), now
            )
        for blocked in parts:
            # An answer may have gone on shortly before the record came.
            answered = self._table.find_answered_parts(
                blocked.service, blocked.parts, now
            )
            self._recorded_parts.note_answered(blocked.service, answered)
        known = self._recorded_requests
        self._recorded_requests = {
            recorded.blocked.request: recorded for recorded in requests
        }
        for request, recorded in known.items():
            found = self._recorded_requests.get(request)
            if found is None:
                self._table.clear(request, now)
            elif found.version == recorded.version:
                found.seen_at = recorded.seen_at
        self._update()

    def strikes(self, now: float) -> list[CrashStrike]:
        """Lists the strikes that other hosts may not have merged yet.

        Strikes that have expired are dropped.
        """
        found = self._table.strikes(now)
        self._update()
        return found

    def has_suspects(self) -> bool:
        """Returns whether there is a strike that is not cleared."""
        return self._table.has_suspects()

    def _updated(self, strikes: list[CrashStrike]) -> list[CrashStrike]:
        if strikes:
            self._update()
        return strikes

    def _iter_blocked_parts(
        self, service: str, parts: list[str]
    ) -> Iterator[BlockedParts]:
        given = set(parts)
        recorded = self._recorded_parts.blocked
        for blocked in (*self._parts_by_strikes, *recorded):
            if blocked.service == service and given.issuperset(blocked.parts):
                yield blocked

    def _update(self) -> None:
        self._requests_by_strikes = {
            request: BlockedRequest(
                request=request,
                crashes=sorted(self._table.crashes(request)),
                trials=0,
            )
            for request in self._table.iter_requests()
            if len(self._table.crashes(request)) >= MIN_CRASHES
        }
        part_crashes = self._table.part_crashes
        blamed: dict[frozenset[str], bool] = {}
        for group in map(frozenset, part_crashes.values()):
            if group not in blamed:
                blamed[group] = self._are_blamed(group)
        self._parts_by_strikes = [
            BlockedParts(
                service=service,
                parts=_same_suspects(part_crashes, service, crashes),
                crashes=sorted(crashes),
            )
            for (service, _), crashes in part_crashes.items()
            if blamed[frozenset(crashes)]
        ]

    def _are_blamed(self, crashes: frozenset[str]) -> bool:
        """Returns whether crashes are blamed on a part that was in all."""
        if len(crashes) < MIN_CRASHES:
            return False
        causes = [
            self._table.causes.get(crash, set())
            for crash in sorted(crashes)[:MAX_EXPLAINED_CRASHES]
        ]
        return not _are_explained(causes, MAX_EXPLAINING_REQUESTS)


def digest_parts(blocked: BlockedParts) -> str:
    """Returns the digest by which the trials of blocked parts are counted."""
    key = '\n'.join([blocked.service, *blocked.parts])
    return f'{PARTS_MARK}{xxhash.xxh3_64_hexdigest(key.encode())}'


def _list_keys(blocked: BlockedParts) -> list[PartKey]:
    return [(blocked.service, part) for part in blocked.parts]


def _are_explained(crashes: list[set[str]], count: int) -> bool:
    """Returns whether some few requests were in flight at all of some crashes.

    :param crashes: for each of them, the requests that may be its cause.
    :param count: how many requests may explain them.
    """
    if not crashes:
        return True
    if not count:
        return False
    return any(
        _are_explained(
            [others for others in crashes if request not in others], count - 1
        )
        for request in crashes[0]
    )


def _same_suspects(
    suspects: dict[PartKey, set[str]],
    service: str,
    crashes: set[str],
) -> list[str]:
    """Lists the parts that were suspects in all of some crashes."""
    return sorted(
        part
        for (other, part), others in suspects.items()
        if other == service and others >= crashes
    )
