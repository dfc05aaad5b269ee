"""Removes jobs from the store that can no longer be read.

The objects of this service don't expire in the store: without this agent
every job would stay there forever. A job is removed a fixed time after this
process first saw it as ended. That time is measured with a monotonic clock,
so a jump of the wall clock doesn't remove a job too early.
"""

from __future__ import annotations

import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor.stored import Outcome

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.objects.job_store import JobStore
    from bergamotdoor.types import JobId

#: A short interval is cheap: a stale listing costs a tenth of a call. A job
#: may stay in the store up to one interval longer than necessary.
_INTERVAL_S: Final = 30
EVERY: Final = dt.timedelta(seconds=_INTERVAL_S)
#: Added to the time for which a job can be read. After it, an owner that
#: has not learned of the job's end lists no more results.
_RETENTION_MARGIN_S: Final = 60
MARGIN: Final = dt.timedelta(seconds=_RETENTION_MARGIN_S)

_log = logging.getLogger('bergamotdoor.agent')


class CleanupAgent:
    """Removes jobs that ended long ago.

    Parameters
    ----------
    store
        The store of the jobs.
    retention
        The time for which a job can be read.
    clock
        The clock that measures how long a job has been seen as ended.
    """

    def __init__(
        self, store: JobStore, retention: dt.timedelta, clock: Clock
    ) -> None:
        self._store = store
        self._removal_delay = retention + MARGIN
        self._clock = clock
        self._ended_at: dict[JobId, dt.timedelta] = {}

    async def run(self) -> None:
        """Remove old jobs, once per interval, until cancelled."""
        while True:
            await self._clock.sleep(EVERY)
            await self._remove_old_jobs()

    async def _remove_old_jobs(self) -> None:
        jobs = await self._store.all_jobs(stale=True)
        if isinstance(jobs, Outcome):
            return
        now = self._clock.elapsed()
        known = self._ended_at
        self._ended_at = {
            found.job: known.get(found.job, now)
            for found in jobs
            if found.status.ended
        }
        for job, ended_at in tuple(self._ended_at.items()):
            if now - ended_at > self._removal_delay:
                removed = await self._store.remove(job)
                _log.info(
                    'agent: job %s ended long ago: %s',
                    job,
                    'removed' if removed else 'not removed yet',
                )
