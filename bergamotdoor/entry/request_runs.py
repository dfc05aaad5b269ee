"""The requests that this process runs at upstreams now."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import datetime as dt

    from bergamotdoor.types import Fingerprint


class RequestRuns:
    """Runs in flight of each request, whatever ids its copies have.

    Failure: a request that crashes upstreams arrives in copies. They run at
    several upstreams when the first of these crashes, and each copy is sent on.
    Symptom: twice as many upstreams crash before the request is held back. A
    suspected request therefore runs at one upstream at a time, and all its runs
    count, those that began before the suspicion included.
    """

    def __init__(self) -> None:
        self._counts: Counter[Fingerprint] = Counter()
        self._none_left: dict[Fingerprint, asyncio.Event] = {}

    def track(self, fingerprint: Fingerprint, task: asyncio.Task[Any]) -> None:
        """Count a run until its task ends.

        Parameters
        ----------
        fingerprint
            Fingerprint of the request.
        task
            The task that runs it. It ends only after a crash is recorded.
        """
        self._counts[fingerprint] += 1
        task.add_done_callback(lambda _: self._end(fingerprint))

    def is_running(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request runs."""
        return fingerprint in self._counts

    async def wait_for_end(
        self, fingerprint: Fingerprint, timeout: dt.timedelta
    ) -> None:
        """Return once a request runs no more, or after a timeout."""
        if not self.is_running(fingerprint):
            return
        none_left = self._none_left.setdefault(fingerprint, asyncio.Event())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout.total_seconds()):
                await none_left.wait()

    def _end(self, fingerprint: Fingerprint) -> None:
        self._counts[fingerprint] -= 1
        if self._counts[fingerprint]:
            return
        del self._counts[fingerprint]
        none_left = self._none_left.pop(fingerprint, None)
        if none_left is not None:
            none_left.set()
