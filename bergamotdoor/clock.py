"""Interface of the clock, with which tests can run in virtual time."""

from __future__ import annotations

import asyncio
import datetime as dt
import time
from typing import Protocol


class Clock(Protocol):
    """Source of the time. Decision code gets the time passed in instead."""

    def elapsed(self) -> dt.timedelta:
        """Return the monotonic time since an arbitrary start."""

    def uptime(self) -> dt.timedelta:
        """Return the time since the machine's start, with suspensions."""

    def now(self) -> dt.datetime:
        """Return the wall time in UTC; only for logs and records."""

    async def sleep(self, delay: dt.timedelta) -> None:
        """Wait for `delay`; only yield once if it is not positive."""


class LoopClock:
    """Clock of the running event loop, whose time may be virtual.

    Parameters
    ----------
    epoch
        The wall time at the loop's time zero, if its time is virtual. If
        ``None``, the machine's clocks are read.
    """

    def __init__(self, epoch: dt.datetime | None = None) -> None:
        self._epoch = epoch

    def elapsed(self) -> dt.timedelta:
        """Return the time of the event loop."""
        return dt.timedelta(seconds=asyncio.get_running_loop().time())

    def uptime(self) -> dt.timedelta:
        """Return the machine's uptime, or the loop's time if it is virtual."""
        if self._epoch is None:
            return dt.timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))
        return self.elapsed()

    def now(self) -> dt.datetime:
        """Return the wall time in UTC."""
        if self._epoch is None:
            return dt.datetime.now(dt.UTC)
        return self._epoch + self.elapsed()

    async def sleep(self, delay: dt.timedelta) -> None:
        """Wait for `delay` in the time of the event loop."""
        await asyncio.sleep(max(delay.total_seconds(), 0))
