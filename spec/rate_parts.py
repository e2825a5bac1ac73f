"""Parts of a rate: their sum never exceeds ``HELD_PART``.

Two hosts report their demand; answers are lost, late or out of order, and the
allocating host is replaced once by another that starts without state. The
allocation is the production code.
"""

from jacinthmount.rate_shares import (
    HELD_PART,
    AccountDemand,
    ShareAllocation,
    ShareReport,
)
from minicheck import Protocol

from spec.checking import freeze, thaw

__all__ = ('Rules', 'build')

ACCOUNT = 'a'
BURSTS = {ACCOUNT: 100.0}
HOSTS = ('h0', 'h1')
DEMANDS = (0.0, 30.0)
MAX_REPORTS = 3
MAX_IN_FLIGHT = 1
PART_DIGITS = 6
ROUNDING_TOLERANCE = 1e-4


class IgnoresPartsInFlight(ShareAllocation):
    """Broken variant: a part in flight does not count as held."""

    __slots__ = ()

    def parts_of(self, host, report, bursts):
        """Allocates parts and discards the record of those sent."""
        parts = super().parts_of(host, report, bursts)
        for shares in self._accounts.values():
            shares.send(host, 0.0)
        return parts


class IgnoresUnreportedHosts(ShareAllocation):
    """Broken variant: hosts that have not reported yet hold nothing."""

    __slots__ = ()

    def keep_hosts(self, hosts):
        """Keeps only the hosts that have reported."""
        super().keep_hosts(hosts & set(self._reporters))


class Rules:
    """Rules that a broken variant replaces."""

    __slots__ = ('allocation', 'apply_stale')

    def __init__(
        self,
        *,
        allocation: type[ShareAllocation] = ShareAllocation,
        apply_stale: bool = False,
    ) -> None:
        """Follows every rule by default.

        :param apply_stale: hosts also apply answers to outdated reports
        """
        self.allocation = allocation
        self.apply_stale = apply_stale


def build(rules: Rules) -> Protocol:
    """Builds the specification."""
    initial_part = HELD_PART / len(HOSTS)
    return Protocol(
        name='parts of a rate',
        candidate=False,
        # ``numbers`` are those of the last report of each host; ``reports``
        # and ``answers`` hold the messages in flight.
        fields=(
            'parts',
            'numbers',
            'reports',
            'answers',
            'allocation',
            'replaced',
        ),
        initial=(
            (initial_part, initial_part),
            (0, 0),
            (),
            (),
            freeze(rules.allocation()),
            False,
        ),
        transitions=lambda fields: _transitions(fields, rules),
        invariants={'sum_within_limit': _sum_within_limit},
    )


def _sum_within_limit(fields: dict) -> bool:
    return sum(fields['parts']) <= HELD_PART + ROUNDING_TOLERANCE


def _transitions(fields: tuple, rules: Rules) -> list[tuple[str, tuple]]:
    successors = []
    for host, _ in enumerate(HOSTS):
        successors.extend(_report_steps(fields, host))
    for report_index, _ in enumerate(fields[2]):
        successors.append(_allocate_step(fields, report_index))
    for waiting, _ in enumerate(fields[3]):
        successors.extend(_answer_steps(fields, waiting, rules))
    if not fields[5]:
        empty = freeze(rules.allocation())
        successors.append(('replaced', (*fields[:4], empty, True)))
    return successors


def _report_steps(fields: tuple, host: int) -> list[tuple[str, tuple]]:
    parts, numbers, reports, answers, allocation, replaced = fields
    if numbers[host] >= MAX_REPORTS or len(reports) >= MAX_IN_FLIGHT:
        return []
    number = numbers[host] + 1
    return [
        (
            f'h{host} reports {demand}',
            (
                parts,
                _with_value(numbers, host, number),
                (*reports, (host, number, parts[host], demand)),
                answers,
                allocation,
                replaced,
            ),
        )
        for demand in DEMANDS
    ]


def _allocate_step(fields: tuple, index: int) -> tuple[str, tuple]:
    parts, numbers, reports, answers, frozen, replaced = fields
    host, number, part, demand = reports[index]
    allocation = thaw(frozen)
    report = ShareReport(
        incarnation='i',
        number=number,
        demands=[
            AccountDemand(account=ACCOUNT, demand_per_s=demand, part=part),
        ],
    )
    allocation.keep_hosts(set(HOSTS))
    if allocation.on_report(HOSTS[host], report):
        allocated = allocation.parts_of(HOSTS[host], report, BURSTS)[0].part
        answers = (*answers, (host, number, round(allocated, PART_DIGITS)))
    return (
        f'report {number} of h{host} arrives',
        (
            parts,
            numbers,
            _without(reports, index),
            answers,
            freeze(allocation),
            replaced,
        ),
    )


def _answer_steps(
    fields: tuple,
    index: int,
    rules: Rules,
) -> list[tuple[str, tuple]]:
    parts, numbers, reports, answers, allocation, replaced = fields
    host, number, part = answers[index]
    remaining = _without(answers, index)
    lost = (parts, numbers, reports, remaining, allocation, replaced)
    successors = [(f'answer {number} of h{host} is lost', lost)]
    if number == numbers[host] or rules.apply_stale:
        successors.append((
            f'h{host} applies {number}',
            (
                _with_value(parts, host, part),
                numbers,
                reports,
                remaining,
                allocation,
                replaced,
            ),
        ))
    return successors


def _with_value(fields: tuple, index: int, new_item) -> tuple:
    return (*fields[:index], new_item, *fields[index + 1 :])


def _without(fields: tuple, index: int) -> tuple:
    return (*fields[:index], *fields[index + 1 :])
