"""Model state of a stand-in engine, changed by engine orders."""

import time
from http import HTTPStatus
from typing import Any

from jacinthmount.ports import EngineOrder, EngineState
from jacinthmount.records import parse_json, replaced, serialize_json
from jacinthmount_node.net.http_messages import HttpRequest, Responder

from jacinthmount_standin.switches import Switches

__all__ = ('LoadedModel',)


class LoadedModel:
    """Executes engine orders; a newer accepted order replaces older ones."""

    __slots__ = (
        '_interrupted',
        '_loads',
        '_state',
        '_loading_until',
        'refused',
    )

    def __init__(self) -> None:
        """Initialises the state without weights."""
        self._state = EngineState(
            weights='',
            version='',
            adapters=[],
            role='',
            loading=False,
            fencing=0,
        )
        self._loading_until = 0.0
        self._interrupted = 0
        self._loads: list[dict[str, Any]] = []
        self.refused = 0

    def loading(self) -> bool:
        """Returns whether weights are being loaded."""
        return time.monotonic() < self._loading_until

    def stats(self) -> dict[str, Any]:
        """Returns loads with their times, and counts of affected requests."""
        return {
            'loads': self._loads,
            'interrupted': self._interrupted,
            'refused': self.refused,
            'version': self._state.version,
            'adapters': self._state.adapters,
            'role': self._state.role,
        }

    async def answer_state(self, responder: Responder) -> None:
        """Responds with the current engine state."""
        state = replaced(self._state, loading=self.loading())
        await responder.send(
            HTTPStatus.OK,
            serialize_json(state).encode(),
            [('content-type', 'application/json')],
        )

    async def take_order(
        self,
        request: HttpRequest,
        responder: Responder,
        switches: Switches,
        running: int,
    ) -> None:
        """Executes an order, unless its fencing number is outdated.

        :param running: number of requests in flight, which a load interrupts.
        """
        order = parse_json(EngineOrder, await request.read_body())
        await switches.pause('order_late_s')
        if switches.read('fenced') and order.fencing < self._state.fencing:
            await responder.send_json(HTTPStatus.CONFLICT, {})
            return
        loaded = (self._state.weights, self._state.version)
        if order.weights and loaded != (order.weights, order.version):
            self._load(order, switches.read('load_s'), running)
        self._state = replaced(
            self._state,
            weights=order.weights or self._state.weights,
            version=order.version or self._state.version,
            adapters=order.adapters,
            role=order.role or self._state.role,
            fencing=order.fencing,
        )
        await responder.send_json(HTTPStatus.OK, {})

    def _load(self, order: EngineOrder, load_s: float, running: int) -> None:
        now = time.monotonic()
        self._loading_until = now + load_s
        self._interrupted += running
        self._loads.append({
            'weights': order.weights,
            'version': order.version,
            'fencing': order.fencing,
            'from': now,
            'until': self._loading_until,
        })
