"""Exhaustive search and state serialisation for the specifications."""

import dataclasses
import io
import pickle
from typing import Any

from minicheck import Protocol, check_safety

__all__ = ('Check', 'freeze', 'run_check', 'thaw')

MAX_STATES = 1_500_000


class Check:
    """Outcome of an exhaustive search."""

    __slots__ = ('refuted', 'states', 'trace')

    def __init__(
        self,
        *,
        refuted: list[str],
        states: int,
        trace: list[str],
    ) -> None:
        """Stores the outcome.

        :param refuted: names of the invariants that a state violates
        :param states: number of reachable states
        :param trace: labels of the steps that lead to the violation
        """
        self.refuted = refuted
        self.states = states
        self.trace = trace


def freeze(state: Any) -> bytes:
    """Serialises an object, to make it a hashable part of a state.

    The pickle memo is off: with it, the bytes of equal objects would differ
    by which of their parts are the same object.
    """
    packed = io.BytesIO()
    pickler = pickle.Pickler(packed, pickle.HIGHEST_PROTOCOL)
    pickler.fast = True
    pickler.dump(state)
    return packed.getvalue()


def thaw(frozen: bytes) -> Any:
    """Returns a new copy of a frozen object."""
    return pickle.loads(frozen)


def run_check(protocol: Protocol) -> Check:
    """Explores every reachable state.

    :raises RuntimeError: the search was not exhaustive and found no violation.
    """
    report = check_safety(_stop_at_violation(protocol), MAX_STATES)
    refuted = []
    trace: list[str] = []
    for name, result in report['properties'].items():
        if result['holds'] is None:
            raise RuntimeError(f'{protocol.name}: {name} is undetermined')
        if not result['holds']:
            refuted.append(name)
            trace = [str(step['label']) for step in result['counterexample']]
    return Check(
        refuted=refuted, states=report['reachable_states'], trace=trace
    )


def _stop_at_violation(protocol: Protocol) -> Protocol:
    # One counterexample is enough, and the state space of a broken variant
    # may be unbounded.
    violations: list[str] = []

    def transitions(fields: tuple) -> list[tuple[str, tuple]]:
        state = protocol.d(fields)
        violations.extend(
            name
            for name, holds in protocol.invariants.items()
            if not holds(state)
        )
        return [] if violations else protocol.transitions(fields)

    return dataclasses.replace(protocol, transitions=transitions)
