"""Background work of a process."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Coroutine

_log = logging.getLogger('bergamotdoor.tasks')


class Tasks:
    """Tasks that are kept alive, logged when they fail, ended together."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Run `work` beside the caller."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)
        return task

    async def stop(self) -> None:
        """Cancel all, and wait for them."""
        running = tuple(self._tasks)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            _log.error('tasks: a task failed', exc_info=error)
