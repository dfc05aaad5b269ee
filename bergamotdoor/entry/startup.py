"""What a process that has just started does not know yet."""

from __future__ import annotations

import asyncio
import enum
from typing import Final

#: How long a caller waits for what a new process has to learn: the store
#: answers in milliseconds, and in a quarter of a second when it is sixty
#: times as slow as usual.
_PATIENCE_S: Final = 0.3


class Knowledge(enum.Enum):
    """What has to be known before callers can be served."""

    MANIFEST = 'manifest'
    UPSTREAMS = 'upstreams'


class Startup:
    """Lets the first callers of a process wait for its first listings.

    Failure: callers are read a few milliseconds before the process has its
    first manifest. Symptom: they are refused, and after a loss of power
    everywhere so is their one retry. Waiting for the listings that are on
    their way costs some milliseconds, and a bounded time while the store is
    away.
    """

    def __init__(self) -> None:
        self._missing = set(Knowledge)
        self._done = asyncio.Event()

    def learned(self, what: Knowledge) -> None:
        """Take that something is known, for the first time or again."""
        self._missing.discard(what)
        if not self._missing:
            self._done.set()

    async def wait(self) -> None:
        """Return once all is known, or it takes too long."""
        if self._done.is_set():
            return
        try:
            async with asyncio.timeout(_PATIENCE_S):
                await self._done.wait()
        except TimeoutError:
            return
