"""Further readers of open steps, from any position and at every entry."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from lab.deployment import Deployment
    from lab.processes import ProductProcess
    from lab.trainer import Trainer

_READ_PAUSE_S: Final = 0.05
#: Readers begin fewer than this many positions before the first unread one.
_LOOKBACK_POSITIONS: Final = 5


class Readers:
    """Readers that poll results and bodies of open steps at every entry.

    Parameters
    ----------
    deployment
        The deployment with the entries and the listed items.
    trainer
        The trainer whose open steps are read, with the reader that checks
        them.
    rng
        The random source for positions and items.
    """

    def __init__(
        self,
        deployment: Deployment,
        trainer: Trainer,
        rng: random.Random,
    ) -> None:
        self._deployment = deployment
        self._trainer = trainer
        self._rng = rng

    async def run(self) -> None:
        """Read until cancelled."""
        async with asyncio.TaskGroup() as group:
            for entry in self._deployment.entries:
                for read in (self._read_results, self._read_bodies):
                    group.create_task(self._read_repeatedly(entry, read))

    async def _read_repeatedly(
        self,
        entry: ProductProcess,
        read: Callable[[ProductProcess], Awaitable[None]],
    ) -> None:
        while True:
            await read(entry)
            await asyncio.sleep(_READ_PAUSE_S)

    async def _read_results(self, entry: ProductProcess) -> None:
        for step in self._trainer.open_steps():
            known = len(step.positions)
            after = max(known - self._rng.randrange(_LOOKBACK_POSITIONS), 0)
            await self._trainer.reader.read(step, entry.front, after)

    async def _read_bodies(self, entry: ProductProcess) -> None:
        for step in self._trainer.open_steps():
            item = self._rng.choice(tuple(step.lengths))
            if item not in self._deployment.steps.listed(step.job):
                await self._trainer.reader.read_body(step, entry.front, item)
