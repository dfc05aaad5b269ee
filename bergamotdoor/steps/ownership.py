"""Checks in the store whether this process still owns its batch jobs.

Failure: an owner is paused and replaced by another process. Symptom: when it
resumes, it continues to run items of a job which the trainer ends at its new
owner. Both owners are told of an end, but a message may be lost. So an owner
reads the jobs from the store at short intervals, and not from an answer that
may be seconds old. After a pause it starts nothing until it has read them.
"""

from __future__ import annotations

import asyncio
import datetime as dt
from typing import TYPE_CHECKING, Final

from bergamotdoor.steps.pauses import PauseDetector
from bergamotdoor.stored import Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from bergamotdoor.clock import Clock
    from bergamotdoor.objects.job_codec import FoundJob
    from bergamotdoor.objects.job_store import JobStore

#: Items of an ended job must not run 3 s after the end was confirmed. Half of
#: this time is left for a check that fails and for the items being sent.
_CHECK_INTERVAL_MS: Final = 1500
_CHECK_INTERVAL: Final = dt.timedelta(milliseconds=_CHECK_INTERVAL_MS)
#: Pause after a check that failed.
_RETRY_PAUSE_MS: Final = 300
_RETRY_PAUSE: Final = dt.timedelta(milliseconds=_RETRY_PAUSE_MS)
#: How long an owner that was paused waits for the first check. If the store
#: can't be reached for so long, the jobs continue without.
_MAX_SUSPENSION_S: Final = 1
_MAX_SUSPENSION: Final = dt.timedelta(seconds=_MAX_SUSPENSION_S)


class OwnershipCheck:
    """Reads the stored jobs while this process owns any that are active.

    Parameters
    ----------
    store
        Store of the jobs.
    clock
        Clock for the intervals.
    on_job
        Called with each stored job after each check.
    """

    def __init__(
        self,
        store: JobStore,
        clock: Clock,
        on_job: Callable[[FoundJob], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._on_job = on_job
        self._pauses = PauseDetector(clock, self._suspend)
        self._check_now = asyncio.Event()
        #: Monotonic time until which nothing may start; ``None`` if the jobs
        #: were read since the last pause.
        self._suspended_until: dt.timedelta | None = None

    @property
    def is_suspended(self) -> bool:
        """Whether no item may start before the next check."""
        until = self._suspended_until
        return until is not None and self._clock.elapsed() < until

    async def run(self, is_needed: Callable[[], bool]) -> None:
        """Check at an interval, and after each pause, until cancelled.

        Parameters
        ----------
        is_needed
            Returns whether any job is active.
        """
        await asyncio.gather(
            self._check_at_interval(is_needed), self._pauses.run()
        )

    async def _check_at_interval(self, is_needed: Callable[[], bool]) -> None:
        while True:
            self._check_now.clear()
            pause = _CHECK_INTERVAL
            if is_needed() or self.is_suspended:
                checked = await self._check()
                pause = _CHECK_INTERVAL if checked else _RETRY_PAUSE
            await self._wait(pause)

    def _suspend(self) -> None:
        """Start nothing until the next check, since the process was paused."""
        self._suspended_until = self._clock.elapsed() + _MAX_SUSPENSION
        self._check_now.set()

    async def _check(self) -> bool:
        """Read the jobs; return whether they are known to be current."""
        jobs = await self._store.all_jobs(stale=False)
        if isinstance(jobs, Outcome):
            return False
        # An answer to a request that was sent before a pause may be old.
        is_current = not self._check_now.is_set()
        if is_current:
            self._suspended_until = None
        for found in jobs:
            self._on_job(found)
        return is_current

    async def _wait(self, pause: dt.timedelta) -> None:
        try:
            async with asyncio.timeout(pause.total_seconds()):
                await self._check_now.wait()
        except TimeoutError:
            return
