"""Virtual time, in which hours take seconds and runs are repeatable."""

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
    """Run a coroutine in virtual time and with sockets in memory."""
    loop = async_solipsism.EventLoop()
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(work)  # type: ignore[no-any-return]
    finally:
        loop.close()
        asyncio.set_event_loop(None)
