"""Faults aimed at a step's owner just after it has listed results.

Failure: two entries run one step, both believing it theirs. Symptom: a
position reads otherwise at another entry, or an item has no body. It takes
an owner that lives, is taken for gone and goes on where it was.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
from typing import TYPE_CHECKING, Final

from lab.deployment import STORE
from lab.proxy import Link
from lab.store import ANSWER_S

if TYPE_CHECKING:
    import random

    from lab.deployment import Deployment
    from lab.process_faults import ProcessFaults
    from lab.processes import ProductProcess

_LOOK_S: Final = 0.01
#: How long a record, and a takeover, are waited for.
_RECORD_S: Final = 4
_TAKEOVER_S: Final = 4
#: How long the owner stays away beyond its takeover, at most.
_BEYOND_S: Final = 1.5
_MOST_LATE: Final = 2
#: Pauses between planned stops, and how long the store's calls take.
_STOPS_S: Final = (0.05, 0.4)
_SLOW_S: Final = (0.05, 0.3)
_STORE_CUT_SHARE: Final = 0.3
_LINKS: Final = (Link.SILENT, Link.ONE_WAY, Link.CUT)


class AimedFaults:
    """Takes the owner of an open step away and lets it come back.

    Parameters
    ----------
    deployment
        What is harmed.
    processes
        Knows which processes are there.
    rng
        Draws how, and how long.
    """

    def __init__(
        self,
        deployment: Deployment,
        processes: ProcessFaults,
        rng: random.Random,
    ) -> None:
        self._deployment = deployment
        self._steps = deployment.steps
        self._processes = processes
        self._store = deployment.store
        self._rng = rng

    async def pause_owner(self) -> None:
        """Pause a step's owner past its takeover, and wake it."""
        job = await self._job_at_work()
        owner = self._owner(job)
        if owner is None or not self._processes.take(owner):
            return
        self._delay_writes()
        owner.send(signal.SIGSTOP)
        await self._taken_over(job, owner)
        owner.send(signal.SIGCONT)
        self._delay_writes()
        self._processes.give_back(owner)

    async def cut_owner(self) -> None:
        """Cut a step's owner off from other entries past its takeover."""
        job = await self._job_at_work()
        owner = self._owner(job)
        if owner is None:
            return
        entries = [entry.name for entry in self._deployment.entries]
        to_owner = self._deployment.ways_between(entries, {owner.name})
        of_owner = self._deployment.ways_between({owner.name}, entries)
        both = to_owner + of_owner
        ways = list(self._rng.choice((to_owner, of_owner, both)))
        if self._rng.random() < _STORE_CUT_SHARE:
            ways.append(self._deployment.ways[owner.name, STORE])
        self._delay_writes()
        link = self._rng.choice(_LINKS)
        for way in ways:
            way.use(link)
        await self._taken_over(job, owner)
        for way in ways:
            way.use(Link.OPEN)

    async def stop_series(self) -> None:
        """Stop a step's owners as planned, one soon after the other."""
        job = await self._job_at_work()
        self._store.answer_s = self._rng.uniform(*_SLOW_S)
        async with asyncio.TaskGroup() as group:
            for _ in self._deployment.entries[1:]:
                group.create_task(self._processes.stop_first(self._order(job)))
                await asyncio.sleep(self._rng.uniform(*_STOPS_S))
        self._store.answer_s = ANSWER_S

    def _order(self, job: str) -> list[ProductProcess]:
        """Return the entries, a step's owner first."""
        entries = self._rng.sample(
            self._deployment.entries, len(self._deployment.entries)
        )
        owner = self._owner(job)
        return sorted(entries, key=lambda entry: entry is not owner)

    def _owner(self, job: str) -> ProductProcess | None:
        """Return the entry that the store names as owner, if it is there."""
        name = self._steps.owner(job) if job else ''
        named = (one for one in self._deployment.entries if one.name == name)
        entry = next(named, None)
        return entry if entry is not None and entry.running else None

    async def _job_at_work(self) -> str:
        """Wait for results of an open step, not for ever."""
        steps = self._steps
        grown = ''
        before = {job: len(steps.listed(job)) for job in steps.open_jobs()}
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_RECORD_S):
                while not grown:
                    await asyncio.sleep(_LOOK_S)
                    grown = steps.grown_job(before)
        return grown or next(iter(steps.open_jobs()), '')

    async def _taken_over(self, job: str, owner: ProductProcess) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_TAKEOVER_S):
                while self._steps.owner(job) == owner.name:
                    await asyncio.sleep(_LOOK_S)
        await asyncio.sleep(self._rng.uniform(0, _BEYOND_S))

    def _delay_writes(self) -> None:
        self._store.delay_writes += self._rng.randint(0, _MOST_LATE)
