"""Parts of a process that run side by side until it is told to stop."""

import signal
from collections.abc import Awaitable, Callable

import curio

from jacinthmount_node.logs import log_failure

__all__ = ('Part', 'run_parts')

Part = Callable[[], Awaitable[None]]


class _StopSignal:
    """Handler that remembers that the process was told to stop."""

    __slots__ = ('received',)

    def __init__(self) -> None:
        self.received = False

    def __call__(self, number: int, frame: object) -> None:
        self.received = True


async def run_parts(
    parts: dict[str, Part],
    leave: Part,
    *,
    restart_pause_s: float,
    poll_s: float,
) -> None:
    """Runs parts until SIGTERM or SIGINT, then leaves gracefully.

    :param parts: what runs, by name; a part that fails is started again.
    :param leave: awaited while the parts still run.
    :param restart_pause_s: seconds until a part that failed is started again.
    :param poll_s: seconds between two looks for a signal.
    """
    stop = _StopSignal()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, stop)
    tasks = [
        await curio.spawn(
            _keep_running, name, part, restart_pause_s, daemon=True
        )
        for name, part in parts.items()
    ]
    while not stop.received:
        await curio.sleep(poll_s)
    await leave()
    for task in tasks:
        await task.cancel(blocking=False)


async def _keep_running(name: str, part: Part, pause_s: float) -> None:
    while True:
        try:
            await part()
            return
        except Exception as exc:
            log_failure(name, exc)
            await curio.sleep(pause_s)
