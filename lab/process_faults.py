"""Faults of the product's processes."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING, Final

from lab.deployment import listens
from lab.promises import Promise, Promises
from lab.spans import span_s

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from lab.deployment import Deployment
    from lab.processes import ProductProcess

#: Within the grace of eight seconds, and a little for the machine.
_STOP_S: Final = 12
#: How long a process takes to end by a signal that it does not handle.
_END_S: Final = 0.2


class ProcessFaults:
    """Signals processes and starts them again."""

    def __init__(
        self,
        deployment: Deployment,
        promises: Promises,
        rng: random.Random,
    ) -> None:
        self._deployment = deployment
        self._promises = promises
        self._rng = rng
        #: Processes that are stopped, paused or being started.
        self._away: set[str] = set()

    async def kill(self) -> None:
        """Kill a process and start it again."""
        await self._restart(signal.SIGKILL)

    async def stop(self) -> None:
        """Stop a process as planned and start it again."""
        await self._restart(signal.SIGTERM)

    async def pause(self) -> None:
        """Pause a process."""
        process = self._pick()
        if process is None:
            return
        process.send(signal.SIGSTOP)
        await asyncio.sleep(span_s(self._rng))
        process.send(signal.SIGCONT)
        self.give_back(process)

    async def reload(self) -> None:
        """Have a process read its settings again.

        One that has not run its first line yet ends by the system's default;
        the platform starts it once more.
        """
        process = self._rng.choice(self._deployment.processes)
        process.send(signal.SIGHUP)
        await asyncio.sleep(_END_S)
        if process.ended_by is signal.SIGHUP and self.take(process):
            await self._start_taken(process)

    async def stop_first(self, processes: Iterable[ProductProcess]) -> None:
        """Stop the first that no fault has as planned, and start it again."""
        process = next((one for one in processes if self.take(one)), None)
        if process is not None:
            await self._restart_taken(process, signal.SIGTERM)

    def take(self, process: ProductProcess) -> bool:
        """Keep other faults from a process; False if one has it."""
        if process.name in self._away:
            return False
        self._away.add(process.name)
        return True

    def give_back(self, process: ProductProcess) -> None:
        """Leave a process to other faults."""
        self._away.discard(process.name)

    async def _restart(self, number: signal.Signals) -> None:
        process = self._pick()
        if process is not None:
            await self._restart_taken(process, number)

    async def _restart_taken(
        self, process: ProductProcess, number: signal.Signals
    ) -> None:
        process.send(number)
        await self._ended(process, number)
        await asyncio.sleep(span_s(self._rng))
        await self._start_taken(process)

    async def _start_taken(self, process: ProductProcess) -> None:
        await process.start()
        if process.command == 'gateway':
            await listens(process)
        self.give_back(process)

    def _pick(self) -> ProductProcess | None:
        process = self._rng.choice(self._deployment.processes)
        return process if self.take(process) else None

    async def _ended(
        self, process: ProductProcess, number: signal.Signals
    ) -> None:
        try:
            async with asyncio.timeout(_STOP_S):
                code = await process.wait()
        except TimeoutError:
            code = -1
            await process.kill()
        if number is signal.SIGTERM:
            self._promises.check(
                Promise.STOP, code == 0, f'{process.name} ended with {code}'
            )
