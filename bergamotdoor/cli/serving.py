"""Runs a daemon until a signal stops it."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import signal
from typing import TYPE_CHECKING, Final, Protocol

from bergamotdoor.cli.codes import ExitCode
from bergamotdoor.observe import logs

if TYPE_CHECKING:
    import datetime as dt
    from collections.abc import Callable

    from bergamotdoor.settings.process import LogSettings

_STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)
#: By convention the exit code after a signal is 128 plus its number.
_SIGNAL_EXIT_BASE: Final = 128

_log = logging.getLogger('bergamotdoor.cli')


class Daemon(Protocol):
    """Process that can be started and stopped."""

    async def start(self) -> object:
        """Start the daemon; return when it is ready."""

    async def stop(self) -> None:
        """Finish the work in progress within a bounded time, and stop."""


class StopSignals:
    """Handler of the signals that stop the process.

    The first signal requests a graceful stop. A SIGINT after it ends the
    process at once, since a person doesn't want to wait any longer for the
    graceful stop.

    Failure: the platform repeats SIGTERM during a graceful stop. Symptom: all
    requests in progress are cut off. A repeated SIGTERM changes nothing; the
    platform ends a process that takes too long by SIGKILL.

    Parameters
    ----------
    end_now
        The function that ends the process with an exit code, and does not
        return.
    """

    def __init__(self, end_now: Callable[[int], object]) -> None:
        self._stop_requested = asyncio.Event()
        self._end_now = end_now

    def install(self) -> None:
        """Handle SIGTERM and SIGINT in the running event loop."""
        loop = asyncio.get_running_loop()
        for number in _STOP_SIGNALS:
            loop.add_signal_handler(number, self.receive, number)

    def receive(self, number: signal.Signals) -> None:
        """Handle one signal."""
        if self._stop_requested.is_set():
            if number is signal.SIGINT:
                self._end_now(_SIGNAL_EXIT_BASE + number)
            return
        _log.info('cli: %s received, stopping gracefully', number.name)
        self._stop_requested.set()

    async def wait(self) -> None:
        """Wait until the first signal is received."""
        await self._stop_requested.wait()


def run_daemon(
    build: Callable[[], Daemon],
    log: LogSettings,
    process_name: str,
    stop_timeout: dt.timedelta,
) -> int:
    """Run a daemon in this process until it stops; return the exit code.

    Parameters
    ----------
    build
        The function that creates the daemon; called in the event loop.
    log
        The settings of the log.
    process_name
        The name of the process in each line of the log.
    stop_timeout
        The maximum time of a graceful stop.
    """
    output = logs.configure(log, process_name)
    try:
        return asyncio.run(_build_and_serve(build, stop_timeout))
    finally:
        output.stop()


async def _build_and_serve(
    build: Callable[[], Daemon], stop_timeout: dt.timedelta
) -> ExitCode:
    signals = StopSignals(os._exit)  # noqa: SLF001 -- no cleanup is wanted
    signals.install()
    return await serve(build(), signals, stop_timeout)


async def serve(
    daemon: Daemon, signals: StopSignals, stop_timeout: dt.timedelta
) -> ExitCode:
    """Start a daemon, wait for a signal to stop, and stop the daemon.

    A signal during the start cancels the start, which may hang, such as
    while the platform is down.

    Parameters
    ----------
    daemon
        The daemon to run.
    signals
        The handler of the signals to stop.
    stop_timeout
        The maximum time of the stop. It exceeds the daemon's own limit for
        requests in progress, so that only a stop that hangs is cancelled.
    """
    starting = asyncio.create_task(_start(daemon))
    stop_requested = asyncio.create_task(signals.wait())
    await asyncio.wait(
        (starting, stop_requested), return_when=asyncio.FIRST_COMPLETED
    )
    failed = starting.done() and not starting.result()
    if not failed:
        await stop_requested
    for task in (starting, stop_requested):
        await _cancel(task)
    stopped = await _stop(daemon, stop_timeout)
    return ExitCode.REFUSED if failed or not stopped else ExitCode.OK


async def _start(daemon: Daemon) -> bool:
    try:
        await daemon.start()
    except OSError as error:
        # The usual cause is a port that another process uses.
        _log.error('cli: the start failed: %s', error)
        return False
    return True


async def _stop(daemon: Daemon, timeout: dt.timedelta) -> bool:
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            await daemon.stop()
    except TimeoutError:
        _log.error(
            'cli: the stop took longer than %s and was cancelled', timeout
        )
        return False
    return True


async def _cancel(task: asyncio.Task[object]) -> None:
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
