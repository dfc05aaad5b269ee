"""Virtual time: hours of a deployment in seconds, the same every run."""

from __future__ import annotations

import asyncio
import datetime as dt
from typing import TYPE_CHECKING, Any, Final, TypeVar

import async_solipsism

from bergamotdoor.clock import LoopClock

if TYPE_CHECKING:
    from collections.abc import Coroutine

Result = TypeVar('Result')

EPOCH: Final = dt.datetime.fromtimestamp(0, dt.UTC)


def virtual_clock() -> LoopClock:
    """Return a clock that follows the virtual loop."""
    return LoopClock(epoch=EPOCH)


def run_virtual(work: Coroutine[Any, Any, Result]) -> Result:
    """Run `work` to its end in virtual time; sockets are in memory."""
    loop = async_solipsism.EventLoop()
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(work)  # type: ignore[no-any-return]
    finally:
        loop.close()
        asyncio.set_event_loop(None)
