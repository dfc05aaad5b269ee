"""Lets requests wait for a batch without a store call each."""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

from bergamotdoor.entry.steps_records import BATCH, step_name
from bergamotdoor.entry.steps_tasks import TaskSet
from bergamotdoor.store.protocols import StoreFailure, StoreProblem

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.entry.steps_board import BatchBoard, StepKey
    from bergamotdoor.store.protocols import ObjectStore
    from bergamotdoor.types import ObjectVersion

#: The longest that one watch waits at the store.
WATCH_TIMEOUT: Final = dt.timedelta(seconds=10)
_PAUSE: Final = dt.timedelta(seconds=1)


class BatchWatch:
    """One watch per step, however many requests wait for it.

    Where the step's owner is in this same process it wakes the requests
    itself, and no watch is needed.

    Parameters
    ----------
    store
        The platform's object API.
    board
        Where the owner posts batches.
    clock
        Paces retries.
    """

    def __init__(
        self, store: ObjectStore, board: BatchBoard, clock: Clock
    ) -> None:
        self._store = store
        self._board = board
        self._clock = clock
        self._tasks = TaskSet()

    async def changed(
        self, key: StepKey, above: ObjectVersion, timeout: dt.timedelta
    ) -> None:
        """Wait until a step's batch may have changed, or the timeout.

        Parameters
        ----------
        key
            The step.
        above
            The version of the manifest that was seen; 0 for none.
        timeout
            The longest wait; cut at :data:`WATCH_TIMEOUT`.
        """
        name = step_name(key.trainer, key.step)
        if not self._board.owns(key.trainer) and name not in self._tasks:
            self._tasks.spawn(name, self._watch(key, above))
        await self._board.changed(key, min(timeout, WATCH_TIMEOUT))

    async def close(self) -> None:
        """End every watch."""
        await self._tasks.close()

    async def _watch(self, key: StepKey, above: ObjectVersion) -> None:
        name = step_name(key.trainer, key.step)
        found = await self._store.watch(BATCH, name, above, WATCH_TIMEOUT)
        if isinstance(found, StoreFailure):
            if found.problem is StoreProblem.NO_CHANGE:
                return
            # Without the pause each request would hammer a store that is
            # down, as fast as it refuses.
            await self._clock.sleep(_PAUSE)
        self._board.wake(key)
