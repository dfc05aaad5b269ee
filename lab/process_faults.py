"""Faults of the product's processes: signals and restarts."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING, Final

from lab.deployment import listens
from lab.promises import Promise, Promises
from lab.spans import span_s

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Sequence

    from lab.processes import ProductProcess

#: The grace period of eight seconds and a margin for a busy machine.
_STOP_TIMEOUT_S: Final = 12
#: How long a process takes to end by a signal that it does not handle.
_UNHANDLED_SIGNAL_S: Final = 0.2


class ProcessFaults:
    """Faults that signal processes and start them again.

    Parameters
    ----------
    processes
        The processes from which one is drawn for each fault.
    promises
        The collector of checks of graceful stops.
    rng
        The random source for processes and durations.
    """

    def __init__(
        self,
        processes: Sequence[ProductProcess],
        promises: Promises,
        rng: random.Random,
    ) -> None:
        self._processes = processes
        self._promises = promises
        self._rng = rng
        #: Names of processes that a fault has stopped or paused, or starts.
        self._reserved_names: set[str] = set()

    async def kill(self) -> None:
        """Kill a process and start it again."""
        await self._restart_random(signal.SIGKILL)

    async def stop(self) -> None:
        """Stop a process gracefully and start it again."""
        await self._restart_random(signal.SIGTERM)

    async def pause(self) -> None:
        """Pause a process for a while."""
        process = self._reserve_random()
        if process is None:
            return
        process.send(signal.SIGSTOP)
        await asyncio.sleep(span_s(self._rng))
        process.send(signal.SIGCONT)
        self.give_back(process)

    async def reload(self) -> None:
        """Have a process read its settings again.

        A process that has not run its first line yet is ended by the signal's
        default action. It is started again, as the platform would do.
        """
        process = self._rng.choice(self._processes)
        process.send(signal.SIGHUP)
        await asyncio.sleep(_UNHANDLED_SIGNAL_S)
        if process.ended_by is signal.SIGHUP and self.take(process):
            await self._start_reserved(process)

    async def stop_first(self, processes: Iterable[ProductProcess]) -> None:
        """Stop the first process that no fault has reserved; restart it."""
        process = next(
            (process for process in processes if self.take(process)), None
        )
        if process is not None:
            await self._restart_reserved(process, signal.SIGTERM)

    def take(self, process: ProductProcess) -> bool:
        """Reserve a process for a fault; return whether it was free."""
        if process.name in self._reserved_names:
            return False
        self._reserved_names.add(process.name)
        return True

    def give_back(self, process: ProductProcess) -> None:
        """Release a process for other faults."""
        self._reserved_names.discard(process.name)

    async def _restart_random(self, signal_number: signal.Signals) -> None:
        process = self._reserve_random()
        if process is not None:
            await self._restart_reserved(process, signal_number)

    async def _restart_reserved(
        self, process: ProductProcess, signal_number: signal.Signals
    ) -> None:
        process.send(signal_number)
        await self._wait_for_end(process, signal_number)
        await asyncio.sleep(span_s(self._rng))
        await self._start_reserved(process)

    async def _start_reserved(self, process: ProductProcess) -> None:
        await process.start()
        if process.command == 'gateway':
            await listens(process)
        self.give_back(process)

    def _reserve_random(self) -> ProductProcess | None:
        process = self._rng.choice(self._processes)
        return process if self.take(process) else None

    async def _wait_for_end(
        self, process: ProductProcess, signal_number: signal.Signals
    ) -> None:
        try:
            async with asyncio.timeout(_STOP_TIMEOUT_S):
                exit_code = await process.wait()
        except TimeoutError:
            exit_code = -1
            await process.kill()
        if signal_number is signal.SIGTERM:
            self._promises.check(
                Promise.STOP,
                exit_code == 0,
                f'{process.name} ended with {exit_code}',
            )
