"""Jobs of which no process knows whether they are in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from bergamotdoor.peers.messages import JobUnclear

if TYPE_CHECKING:
    import datetime as dt

    from bergamotdoor.clock import Clock
    from bergamotdoor.types import JobId

#: The most jobs that are remembered; each takes some 200 bytes.
_MAX_JOBS: Final = 1024


class UnclearJobs:
    """Memory of submissions whose last write got no usable answer.

    The store may have carried out that write, or may do so seconds later, so
    no entry may promise that nothing of such a job runs.

    Parameters
    ----------
    clock
        Clock of the process.
    retention
        How long a job is remembered: as long as clients may ask for it.
    """

    message_type = JobUnclear

    def __init__(self, clock: Clock, retention: dt.timedelta) -> None:
        self._clock = clock
        self._retention = retention
        #: When jobs were last added, the oldest first.
        self._added_at: dict[JobId, dt.timedelta] = {}

    def __contains__(self, job: object) -> bool:
        """Return whether a job may be in the store without a known record."""
        self._forget_old()
        return job in self._added_at

    def __len__(self) -> int:
        """Return the number of remembered jobs."""
        return len(self._added_at)

    def add(self, job: JobId) -> None:
        """Remember a job, and forget the oldest ones."""
        self._forget_old()
        self.discard(job)
        self._added_at[job] = self._clock.elapsed()
        if len(self._added_at) > _MAX_JOBS:
            self.discard(next(iter(self._added_at)))

    def take(self, message: JobUnclear) -> None:
        """Remember a job that another entry has left unclear."""
        self.add(message.job)

    def discard(self, job: JobId) -> None:
        """Forget a job whose state in the store is known."""
        self._added_at.pop(job, None)

    def _forget_old(self) -> None:
        oldest = self._clock.elapsed() - self._retention
        for job, added_at in tuple(self._added_at.items()):
            if added_at >= oldest:
                return
            self.discard(job)
