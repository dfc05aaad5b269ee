"""Faults aimed at the owner of a job just after it has listed results.

Failure: two entries run one job, and each acts as its owner. Symptom: a
position has another result at another entry, or an item has no body. This
needs an owner that is alive, is taken over as if it had ended, and then
continues where it was.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
from typing import TYPE_CHECKING, Final

from lab.contact import STORE
from lab.proxy import Link
from lab.store import ANSWER_S

if TYPE_CHECKING:
    import random

    from lab.deployment import Deployment
    from lab.process_faults import ProcessFaults
    from lab.processes import ProductProcess

_POLL_INTERVAL_S: Final = 0.01
#: How long to wait for listed results, and for those of the next owner.
_RESULT_TIMEOUT_S: Final = 2
_TAKEOVER_TIMEOUT_S: Final = 6
#: How long two entries act as owner of a job, and the range of the time that
#: a listing of all jobs takes meanwhile.
_TWO_OWNERS_S: Final = 2
_LISTING_DELAY_RANGE_S: Final = (1, 4)
_MAX_DELAYED_WRITES: Final = 2
#: Range of the pauses between graceful stops, and range of the time that each
#: call of the store takes meanwhile.
_STOP_PAUSE_RANGE_S: Final = (0.05, 0.4)
_RESPONSE_DELAY_RANGE_S: Final = (0.2, 0.6)
_STORE_CUT_PROBABILITY: Final = 0.3
_LINK_FAULTS: Final = (Link.SILENT, Link.ONE_WAY, Link.CUT)


class AimedFaults:
    """Faults that take an owner away from a job and let it return.

    Parameters
    ----------
    deployment
        The deployment to which the faults are applied.
    processes
        Faults of processes, which reserve a process for one fault at a time.
    rng
        The random source for manners and durations.
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
        """Pause a job's owner until after the takeover, then resume it."""
        job = await self._wait_for_active_job()
        owner = self._find_running_owner(job)
        if owner is None or not self._processes.take(owner):
            return
        self._delay_writes()
        self._slow_listings()
        owner.send(signal.SIGSTOP)
        await self._wait_for_takeover(job, owner)
        owner.send(signal.SIGCONT)
        await self._run_both_owners()
        self._processes.give_back(owner)

    async def cut_owner(self) -> None:
        """Cut a job's owner off from other entries until the takeover."""
        job = await self._wait_for_active_job()
        owner = self._find_running_owner(job)
        if owner is None:
            return
        entries = [entry.name for entry in self._deployment.entries]
        to_owner = self._deployment.ways_between(entries, {owner.name})
        from_owner = self._deployment.ways_between({owner.name}, entries)
        proxies = to_owner + self._rng.choice(([], from_owner))
        if self._rng.random() < _STORE_CUT_PROBABILITY:
            proxies.append(self._deployment.ways[owner.name, STORE])
        self._delay_writes()
        self._slow_listings()
        link = self._rng.choice(_LINK_FAULTS)
        for proxy in proxies:
            proxy.use(link)
        await self._wait_for_takeover(job, owner)
        for proxy in proxies:
            proxy.use(Link.OPEN)
        await self._run_both_owners()

    async def stop_series(self) -> None:
        """Stop the owners of a job gracefully, one shortly after another."""
        job = await self._wait_for_active_job()
        self._store.answer_s = self._rng.uniform(*_RESPONSE_DELAY_RANGE_S)
        async with asyncio.TaskGroup() as group:
            for _ in self._deployment.entries[1:]:
                group.create_task(
                    self._processes.stop_first(self._entries_owner_first(job))
                )
                await asyncio.sleep(self._rng.uniform(*_STOP_PAUSE_RANGE_S))
        self._store.answer_s = ANSWER_S

    def _entries_owner_first(self, job: str) -> list[ProductProcess]:
        """Return the entries in random order, but a job's owner first."""
        entries = self._rng.sample(
            self._deployment.entries, len(self._deployment.entries)
        )
        owner = self._find_running_owner(job)
        return sorted(entries, key=lambda entry: entry is not owner)

    def _find_running_owner(self, job: str) -> ProductProcess | None:
        """Return the owner that the store names, if it is running."""
        name = self._steps.owner(job) if job else ''
        named = (
            entry for entry in self._deployment.entries if entry.name == name
        )
        entry = next(named, None)
        return entry if entry is not None and entry.running else None

    async def _wait_for_active_job(self) -> str:
        """Return an open job once new results of it are listed.

        If none are listed within `_RESULT_TIMEOUT_S`, return any open job,
        or an empty string if no job is open.
        """
        steps = self._steps
        before = {job: len(steps.listed(job)) for job in steps.open_jobs()}
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_RESULT_TIMEOUT_S):
                while not steps.grown_job(before):
                    await asyncio.sleep(_POLL_INTERVAL_S)
        return steps.grown_job(before) or next(iter(steps.open_jobs()), '')

    async def _wait_for_takeover(self, job: str, owner: ProductProcess) -> None:
        """Wait until another entry owns the job and lists results of it."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_TAKEOVER_TIMEOUT_S):
                while self._steps.owner(job) == owner.name:
                    await asyncio.sleep(_POLL_INTERVAL_S)
                before = self._steps.listed(job)
                while self._steps.listed(job) == before:
                    await asyncio.sleep(_POLL_INTERVAL_S)

    async def _run_both_owners(self) -> None:
        self._delay_writes()
        await asyncio.sleep(_TWO_OWNERS_S)
        self._store.kind_s.clear()

    def _slow_listings(self) -> None:
        # An entry learns from a listing of all jobs that it has lost one.
        self._store.kind_s['jobs'] = self._rng.uniform(*_LISTING_DELAY_RANGE_S)

    def _delay_writes(self) -> None:
        self._store.write_faults.delayed += self._rng.randint(
            0, _MAX_DELAYED_WRITES
        )
