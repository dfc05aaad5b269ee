"""Background tasks of a process."""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from typing import TYPE_CHECKING, Final, TypeVar

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Coroutine, Iterable

Item = TypeVar('Item')

_NO_TIME: Final = dt.timedelta()

_log = logging.getLogger('bergamotdoor.tasks')


#: How many items are processed in a row, which takes about a millisecond.
_SLICE: Final = 64


async def in_slices(items: Iterable[Item]) -> AsyncIterator[Item]:
    """Yield items, and let other tasks run from time to time.

    Failure: thousands of events arrive in one piece. Symptom: all other
    requests wait until each of them is processed.
    """
    for number, item in enumerate(items, start=1):
        yield item
        if not number % _SLICE:
            await asyncio.sleep(0)


class Tasks:
    """Set of background tasks that logs failures and stops them together."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Start to run `work` in the background; return its task."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._handle_end)
        return task

    async def finish(self, timeout: dt.timedelta) -> None:
        """Wait until all tasks have ended; cancel those that take longer.

        Parameters
        ----------
        timeout
            How long to wait before the tasks are cancelled.
        """
        if self._tasks and timeout > _NO_TIME:
            await asyncio.wait(self._tasks, timeout=timeout.total_seconds())
        await self.stop()

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        running = tuple(self._tasks)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    def _handle_end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            _log.error('tasks: a task failed', exc_info=error)
