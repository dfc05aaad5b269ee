"""What scenes of usage reports share."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import datetime as dt


class SuspendableClock:
    """A clock whose sleeps last until its machine runs again."""

    def __init__(self, clock: Any) -> None:
        self._clock = clock
        self._runs = asyncio.Event()
        self._runs.set()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._clock, name)

    async def sleep(self, delay: dt.timedelta) -> None:
        await self._clock.sleep(delay)
        await self._runs.wait()

    async def suspend(self, lasts: dt.timedelta) -> None:
        self._runs.clear()
        await self._clock.sleep(lasts)
        self._runs.set()
