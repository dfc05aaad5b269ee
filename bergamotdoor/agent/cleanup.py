"""Removes what nobody can ask for any more from the store.

Nothing of ours expires by itself: without this every job would stay in the
store for good. A job is removed some time after it was first seen as ended,
by this process's steady clock, so a clock that jumps removes nothing early.
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

#: A stale list costs a tenth of a call, and a job may stay a little longer.
_EVERY_S: Final = 30
EVERY: Final = dt.timedelta(seconds=_EVERY_S)
#: Beyond the time in which a job can be asked for: owners that have not
#: heard of its end list nothing more by then.
_MARGIN_S: Final = 60
MARGIN: Final = dt.timedelta(seconds=_MARGIN_S)

_log = logging.getLogger('bergamotdoor.agent')


class CleanupAgent:
    """Removes jobs that ended long ago.

    Parameters
    ----------
    store
        Where jobs are kept.
    retention
        How long a job can be asked for.
    clock
        Tells how long a job has been seen as ended.
    """

    def __init__(
        self, store: JobStore, retention: dt.timedelta, clock: Clock
    ) -> None:
        self._store = store
        self._keep = retention + MARGIN
        self._clock = clock
        self._ended_at: dict[JobId, dt.timedelta] = {}

    async def run(self) -> None:
        """Look for jobs to remove until cancelled."""
        while True:
            await self._clock.sleep(EVERY)
            await self._look()

    async def _look(self) -> None:
        jobs = await self._store.all_jobs(stale=True)
        if isinstance(jobs, Outcome):
            return
        now = self._clock.elapsed()
        seen = self._ended_at
        self._ended_at = {
            found.job: seen.get(found.job, now)
            for found in jobs
            if found.status.ended
        }
        for job, ended_at in tuple(self._ended_at.items()):
            if now - ended_at > self._keep:
                removed = await self._store.remove(job)
                _log.info(
                    'agent: job %s ended long ago: %s',
                    job,
                    'removed' if removed else 'not removed yet',
                )
