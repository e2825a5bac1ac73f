"""Parts of a rate: what hosts hold never sums to more than may be held.

Two hosts report their demand; answers are lost, late or out of order, and one
host that allocates is replaced by another that knows nothing. The allocation is
the project's own code.
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
DIGITS = 6
ROUNDING = 1e-4


class TrustsReports(ShareAllocation):
    """Broken variant: a part on its way does not count as held."""

    __slots__ = ()

    def parts_of(self, host, report, bursts):
        """Forgets what was sent."""
        found = super().parts_of(host, report, bursts)
        for shares in self._accounts.values():
            shares.send(host, 0.0)
        return found


class AllocatesUnheard(ShareAllocation):
    """Broken variant: hosts that were not heard yet hold nothing."""

    __slots__ = ()

    def keep_hosts(self, hosts):
        """Knows only hosts that reported."""
        super().keep_hosts(hosts & set(self._reporters))


class Rules:
    """What a broken variant changes."""

    __slots__ = ('allocation', 'apply_any')

    def __init__(
        self,
        *,
        allocation: type[ShareAllocation] = ShareAllocation,
        apply_any: bool = False,
    ) -> None:
        """Keeps every rule by default."""
        self.allocation = allocation
        self.apply_any = apply_any


def build(rules: Rules) -> Protocol:
    """Builds the specification."""
    first = HELD_PART / len(HOSTS)
    return Protocol(
        name='parts of a rate',
        candidate=False,
        # ``asked`` holds reports and ``told`` answers on their way.
        fields=(
            'parts',
            'numbers',
            'asked',
            'told',
            'allocation',
            'replaced',
        ),
        initial=(
            (first, first),
            (0, 0),
            (),
            (),
            freeze(rules.allocation()),
            False,
        ),
        transitions=lambda fields: _transitions(fields, rules),
        invariants={'sum_holds': _sum_holds},
    )


def _sum_holds(fields: dict) -> bool:
    return sum(fields['parts']) <= HELD_PART + ROUNDING


def _transitions(fields: tuple, rules: Rules) -> list[tuple[str, tuple]]:
    found = []
    for host, _ in enumerate(HOSTS):
        found.extend(_report_steps(fields, host))
    for place, _ in enumerate(fields[2]):
        found.append(_allocate_step(fields, place))
    for waiting, _ in enumerate(fields[3]):
        found.extend(_answer_steps(fields, waiting, rules))
    if not fields[5]:
        fresh = freeze(rules.allocation())
        found.append(('replaced', (*fields[:4], fresh, True)))
    return found


def _report_steps(fields: tuple, host: int) -> list[tuple[str, tuple]]:
    parts, numbers, asked, told, allocation, replaced = fields
    if numbers[host] >= MAX_REPORTS or len(asked) >= MAX_IN_FLIGHT:
        return []
    number = numbers[host] + 1
    return [
        (
            f'h{host} reports {demand}',
            (
                parts,
                _changed(numbers, host, number),
                (*asked, (host, number, parts[host], demand)),
                told,
                allocation,
                replaced,
            ),
        )
        for demand in DEMANDS
    ]


def _allocate_step(fields: tuple, place: int) -> tuple[str, tuple]:
    parts, numbers, asked, told, frozen, replaced = fields
    host, number, part, demand = asked[place]
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
        told = (*told, (host, number, round(allocated, DIGITS)))
    return (
        f'report {number} of h{host} arrives',
        (
            parts,
            numbers,
            _without(asked, place),
            told,
            freeze(allocation),
            replaced,
        ),
    )


def _answer_steps(
    fields: tuple,
    place: int,
    rules: Rules,
) -> list[tuple[str, tuple]]:
    parts, numbers, asked, told, allocation, replaced = fields
    host, number, part = told[place]
    left = _without(told, place)
    lost = (parts, numbers, asked, left, allocation, replaced)
    found = [(f'answer {number} of h{host} is lost', lost)]
    if number == numbers[host] or rules.apply_any:
        found.append((
            f'h{host} applies {number}',
            (
                _changed(parts, host, part),
                numbers,
                asked,
                left,
                allocation,
                replaced,
            ),
        ))
    return found


def _changed(fields: tuple, place: int, changed) -> tuple:
    return (*fields[:place], changed, *fields[place + 1 :])


def _without(fields: tuple, place: int) -> tuple:
    return (*fields[:place], *fields[place + 1 :])
