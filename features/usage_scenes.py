"""Helpers for scenarios of usage reports."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import datetime as dt


class SuspendableClock:
    """A clock whose sleeps do not end while the process is suspended."""

    def __init__(self, clock: Any) -> None:
        self._clock = clock
        self._running = asyncio.Event()
        self._running.set()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._clock, name)

    async def sleep(self, delay: dt.timedelta) -> None:
        await self._clock.sleep(delay)
        await self._running.wait()

    async def suspend(self, duration: dt.timedelta) -> None:
        self._running.clear()
        await self._clock.sleep(duration)
        self._running.set()
