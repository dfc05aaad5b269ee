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
#: How long a record is waited for, and one by the next owner.
_RECORD_S: Final = 2
_TAKEOVER_S: Final = 6
#: How long two entries have a job, and a listing of all jobs takes then.
_BOTH_S: Final = 2
_LISTING_S: Final = (1, 4)
_MOST_LATE: Final = 2
#: Pauses between planned stops, and how long the store's calls take.
_STOPS_S: Final = (0.05, 0.4)
_SLOW_S: Final = (0.2, 0.6)
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
        self._slow_listings()
        owner.send(signal.SIGSTOP)
        await self._taken_over(job, owner)
        owner.send(signal.SIGCONT)
        await self._both_at_work()
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
        ways = to_owner + self._rng.choice(([], of_owner))
        if self._rng.random() < _STORE_CUT_SHARE:
            ways.append(self._deployment.ways[owner.name, STORE])
        self._delay_writes()
        self._slow_listings()
        link = self._rng.choice(_LINKS)
        for way in ways:
            way.use(link)
        await self._taken_over(job, owner)
        for way in ways:
            way.use(Link.OPEN)
        await self._both_at_work()

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
        before = {job: len(steps.listed(job)) for job in steps.open_jobs()}
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_RECORD_S):
                while not steps.grown_job(before):
                    await asyncio.sleep(_LOOK_S)
        return steps.grown_job(before) or next(iter(steps.open_jobs()), '')

    async def _taken_over(self, job: str, owner: ProductProcess) -> None:
        """Wait until another one has the job and lists results of it."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_TAKEOVER_S):
                while self._steps.owner(job) == owner.name:
                    await asyncio.sleep(_LOOK_S)
                before = self._steps.listed(job)
                while self._steps.listed(job) == before:
                    await asyncio.sleep(_LOOK_S)

    async def _both_at_work(self) -> None:
        self._delay_writes()
        await asyncio.sleep(_BOTH_S)
        self._store.kind_s.clear()

    def _slow_listings(self) -> None:
        # An owner sees in a listing of all jobs what it has lost.
        self._store.kind_s['jobs'] = self._rng.uniform(*_LISTING_S)

    def _delay_writes(self) -> None:
        self._store.delay_writes += self._rng.randint(0, _MOST_LATE)
