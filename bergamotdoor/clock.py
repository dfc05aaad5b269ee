"""The clock as an interface, so that tests can run in virtual time."""

from __future__ import annotations

import asyncio
import datetime as dt
import time
from typing import Protocol


class Clock(Protocol):
    """Reads the time; decisions get it passed in and never read it."""

    def elapsed(self) -> dt.timedelta:
        """Return the monotonic time since an arbitrary start."""

    def uptime(self) -> dt.timedelta:
        """Return the time since the machine's start, suspensions included."""

    def now(self) -> dt.datetime:
        """Return the wall time in UTC; for logs and records only."""

    async def sleep(self, delay: dt.timedelta) -> None:
        """Wait for `delay`, or yield once if it is not positive."""


class LoopClock:
    """Follows the running event loop, virtual or real.

    Parameters
    ----------
    epoch
        The wall time at the loop's time zero; ``None`` reads the
        machine's wall clock instead.
    """

    def __init__(self, epoch: dt.datetime | None = None) -> None:
        self._epoch = epoch

    def elapsed(self) -> dt.timedelta:
        """Return the loop's own time."""
        return dt.timedelta(seconds=asyncio.get_running_loop().time())

    def uptime(self) -> dt.timedelta:
        """Return the loop's own time, or the machine's if it is real."""
        if self._epoch is None:
            return dt.timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))
        return self.elapsed()

    def now(self) -> dt.datetime:
        """Return the wall time in UTC."""
        if self._epoch is None:
            return dt.datetime.now(dt.UTC)
        return self._epoch + self.elapsed()

    async def sleep(self, delay: dt.timedelta) -> None:
        """Wait for `delay` of the loop's time."""
        await asyncio.sleep(max(delay.total_seconds(), 0))
