"""Faults at whose ends processes get in touch while others are impaired."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING, Final

from lab.contact import STORE
from lab.proxy import Link

if TYPE_CHECKING:
    import random

    from lab.deployment import Deployment
    from lab.leaving import Leaving
    from lab.process_faults import ProcessFaults
    from lab.processes import ProductProcess

#: How long the way of an entry to the store is cut.
_CUT_S: Final = (0.5, 5.5)
#: How long another entry is paused, from right before the way is back.
_PAUSED_S: Final = (3, 6)
_EARLIER_S: Final = 0.2
#: Time after the return of the way at which something changes.
_CHANGE_S: Final = 0.3


class ContactFaults:
    """Cuts of one entry that end as another one is paused.

    Parameters
    ----------
    deployment
        The deployment with the entries.
    entries
        The faults of the entries, which share out the processes.
    leaving
        The services that leave.
    rng
        The random source for entries, changes and times.
    """

    def __init__(
        self,
        deployment: Deployment,
        entries: ProcessFaults,
        leaving: Leaving,
        rng: random.Random,
    ) -> None:
        self._deployment = deployment
        self._entries = entries
        self._leaving = leaving
        self._rng = rng

    async def pause_relay(self) -> None:
        """Cut an entry off from the store, and pause the others as it is back.

        The owner of a step is cut, if there is one: it calls the store often,
        so that its watches are relayed.
        """
        cut, *others = self._owner_first()
        taken = [entry for entry in (cut, *others) if self._entries.take(entry)]
        try:
            if cut in taken and len(taken) > 1 and cut.running:
                await self._play(cut, taken[1:])
        finally:
            for entry in taken:
                self._entries.give_back(entry)

    def _owner_first(self) -> list[ProductProcess]:
        """Return the entries in random order, but the owner of a step first."""
        steps = self._deployment.steps
        owners = {steps.owner(job) for job in steps.open_jobs()}
        entries = self._deployment.entries
        return sorted(
            self._rng.sample(entries, len(entries)),
            key=lambda entry: entry.name not in owners,
        )

    async def _play(
        self, cut: ProductProcess, others: list[ProductProcess]
    ) -> None:
        way = self._deployment.ways[cut.name, STORE]
        way.use(Link.SILENT)
        await asyncio.sleep(self._rng.uniform(*_CUT_S))
        for other in others:
            other.send(signal.SIGSTOP)
        await asyncio.sleep(_EARLIER_S)
        way.use(Link.OPEN)
        await asyncio.sleep(_CHANGE_S)
        changing = asyncio.create_task(self._change())
        await asyncio.sleep(self._rng.uniform(*_PAUSED_S))
        for other in others:
            other.send(signal.SIGCONT)
        await changing

    async def _change(self) -> None:
        """Write a manifest, or have a service leave."""
        self._deployment.manifests.put()
        await self._leaving.leave()
