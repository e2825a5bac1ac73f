"""Switches that make a stand-in fail in chosen ways."""

from http import HTTPStatus
from typing import Any

import curio
from jacinthmount_node.net.http_server import HttpRequest, Responder

__all__ = ('Switches',)


class Switches:
    """Named values that tests set over HTTP at ``/switch``."""

    __slots__ = ('_settings',)

    def __init__(self, **defaults: Any) -> None:
        """Takes the switches with their defaults."""
        self._settings = defaults

    def read(self, name: str) -> Any:
        """Reads a switch."""
        return self._settings[name]

    def count_down(self, name: str) -> bool:
        """Uses up one of a number of failures.

        :returns: whether there was one left.
        """
        if self._settings[name] <= 0:
            return False
        self._settings[name] -= 1
        return True

    async def handle(self, request: HttpRequest, responder: Responder) -> bool:
        """Answers a request to ``/switch``.

        :returns: whether the request was one.
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

    async def pause(self, name: str) -> None:
        """Waits for the seconds that a switch holds."""
        if self._settings[name] > 0:
            await curio.sleep(self._settings[name])
