"""Shared parts of the specifications."""

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
        """Keeps what was found."""
        self.refuted = refuted
        self.states = states
        self.trace = trace


def freeze(state: Any) -> bytes:
    """Makes an object of the project part of a state.

    Without a memo, equal objects give equal bytes, whichever parts they share.
    """
    packed = io.BytesIO()
    pickler = pickle.Pickler(packed, pickle.HIGHEST_PROTOCOL)
    pickler.fast = True
    pickler.dump(state)
    return packed.getvalue()


def thaw(frozen: bytes) -> Any:
    """Makes a fresh copy of a frozen object."""
    return pickle.loads(frozen)


def run_check(protocol: Protocol) -> Check:
    """Explores every reachable state.

    :raises RuntimeError: the search was not exhaustive and found nothing.
    """
    report = check_safety(_stops_when_refuted(protocol), MAX_STATES)
    refuted = []
    trace: list[str] = []
    for name, found in report['properties'].items():
        if found['holds'] is None:
            raise RuntimeError(f'{protocol.name}: {name} is undetermined')
        if not found['holds']:
            refuted.append(name)
            trace = [str(step['label']) for step in found['counterexample']]
    return Check(
        refuted=refuted, states=report['reachable_states'], trace=trace
    )


def _stops_when_refuted(protocol: Protocol) -> Protocol:
    # One counterexample is enough; broken variants may have endless states.
    violations: list[str] = []

    def transitions(fields: tuple) -> list[tuple[str, tuple]]:
        named = protocol.d(fields)
        violations.extend(
            name
            for name, holds in protocol.invariants.items()
            if not holds(named)
        )
        return [] if violations else protocol.transitions(fields)

    return dataclasses.replace(protocol, transitions=transitions)
