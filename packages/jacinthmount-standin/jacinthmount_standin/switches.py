"""Fault injection switches of a stand-in."""

from http import HTTPStatus
from typing import Any

import curio
from jacinthmount_node.net.http_messages import HttpRequest, Responder

__all__ = ('Switches',)

LOST_S = 600.0


class Switches:
    """Named values that tests set over HTTP at ``/switch``."""

    __slots__ = ('_settings',)

    def __init__(self, **defaults: Any) -> None:
        """Initialises the switches with their defaults."""
        self._settings = defaults

    def read(self, name: str) -> Any:
        """Returns the value of a switch."""
        return self._settings[name]

    def count_down(self, name: str) -> bool:
        """Decrements a switch that counts failures to inject.

        :returns: whether a failure is to be injected now.
        """
        if self._settings[name] <= 0:
            return False
        self._settings[name] -= 1
        return True

    async def handle(self, request: HttpRequest, responder: Responder) -> bool:
        """Handles a request to ``/switch``; ignores other requests.

        :returns: whether the request was handled.
        """
        if request.path != '/switch':
            return False
        changes = await request.read_json()
        unknown = sorted(set(changes) - set(self._settings))
        if unknown:
            await responder.send_json(
                HTTPStatus.BAD_REQUEST, {'unknown': unknown}
            )
            return True
        self._settings.update(changes)
        await responder.send_json(HTTPStatus.OK, self._settings)
        return True

    async def lose_call(self) -> None:
        """Gives a call no answer for longer than any test takes."""
        await curio.sleep(LOST_S)

    async def pause(self, name: str) -> None:
        """Sleeps for the number of seconds that a switch is set to."""
        if self._settings[name] > 0:
            await curio.sleep(self._settings[name])
