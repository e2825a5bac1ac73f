"""Concurrent components of a process, run until a stop signal."""

import signal
from collections.abc import Awaitable, Callable
from types import TracebackType

import curio

from jacinthmount_node.logs import log_event, log_failure

__all__ = ('Part', 'PartGroup', 'ignore_reloads', 'run_parts', 'run_process')

Part = Callable[[], Awaitable[None]]

# Tasks that are started while others end are ended in a further round.
MAX_SHUTDOWN_ROUNDS = 8


class _StopSignal:
    """Signal handler that records the request to stop."""

    __slots__ = ('received',)

    def __init__(self) -> None:
        self.received = False

    def __call__(self, number: int, frame: object) -> None:
        self.received = True


def ignore_reloads() -> None:
    """Keeps SIGHUP from ending the process; all changes are declared."""
    signal.signal(signal.SIGHUP, _on_reload)


def _on_reload(number: int, frame: object) -> None:
    log_event('reload_ignored')


class PartGroup(curio.TaskGroup):
    """Tasks of one component.

    The first one that fails ends the others, and its error leaves the group, so
    that the component is restarted; a plain task group would only end.
    """

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Waits for the tasks, or cancels them after an error.

        :raises BaseException: that of the first task that failed.
        """
        await super().__aexit__(kind, exc, trace)
        if exc is None and self.exception is not None:
            raise self.exception


async def run_parts(
    parts: dict[str, Part],
    leave: Part,
    *,
    restart_pause_s: float,
    poll_s: float,
) -> None:
    """Runs components until SIGTERM or SIGINT, then shuts down gracefully.

    :param parts: components by name; one that fails is restarted.
    :param leave: shutdown, awaited while the components still run.
    :param restart_pause_s: seconds before a failed component is restarted.
    :param poll_s: seconds between two checks for a signal.
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


def run_process(main: Part) -> None:
    """Runs the main task of a process, then ends all tasks that are left.

    :raises BaseException: that of the main task.
    """
    kernel = curio.Kernel()
    try:
        kernel.run(main)
    finally:
        _end_tasks(kernel)


def _end_tasks(kernel: curio.Kernel) -> None:
    for ended_rounds in range(1, MAX_SHUTDOWN_ROUNDS + 1):
        try:
            kernel.run(shutdown=True)
        except AssertionError:
            # The kernel found tasks that had started meanwhile.
            if ended_rounds == MAX_SHUTDOWN_ROUNDS:
                raise
            log_event('tasks_left', rounds=ended_rounds)
        else:
            return


async def _keep_running(name: str, part: Part, pause_s: float) -> None:
    while True:
        try:
            await part()
            return
        except (Exception, curio.TaskTimeout) as exc:
            log_failure(name, exc)
            await curio.sleep(pause_s)
