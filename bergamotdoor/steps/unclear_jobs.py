"""Jobs of which no process knows whether they are in the store."""

from __future__ import annotations

import contextlib
from collections import Counter
from typing import TYPE_CHECKING, Final

from bergamotdoor.peers.messages import JobUnclear

if TYPE_CHECKING:
    import datetime as dt
    from collections.abc import Iterator

    from bergamotdoor.clock import Clock
    from bergamotdoor.types import JobId

#: The most jobs that are remembered. Clients choose the ids, so each may take
#: as much memory as the head of a request.
_MAX_JOBS: Final = 256


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

    #: The message for which `take` is registered.
    message_type = JobUnclear

    def __init__(self, clock: Clock, retention: dt.timedelta) -> None:
        self._clock = clock
        self._retention = retention
        #: When jobs were last added, the oldest first.
        self._added_at: dict[JobId, dt.timedelta] = {}
        #: Submissions that this process has not completed, by job.
        self._under_way: Counter[JobId] = Counter()

    def __contains__(self, job: object) -> bool:
        """Return whether a job may be in the store without a known record."""
        self._forget_old()
        return job in self._added_at or job in self._under_way

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

    @contextlib.contextmanager
    def submitting(self, job: JobId) -> Iterator[None]:
        """Remember a job for a block, in which this process submits it."""
        self._under_way[job] += 1
        try:
            yield
        finally:
            self._under_way[job] -= 1
            if not self._under_way[job]:
                self._under_way.pop(job)

    def take(self, message: JobUnclear) -> None:
        """Remember a job that another entry has left unclear."""
        self.add(message.job)

    def discard(self, job: JobId) -> None:
        """Forget a job whose state in the store is known."""
        self._added_at.pop(job, None)

    def _forget_old(self) -> None:
        kept_since = self._clock.elapsed() - self._retention
        while self._added_at:
            oldest = next(iter(self._added_at))
            if self._added_at[oldest] >= kept_since:
                return
            self.discard(oldest)
