"""Reads and watches the configuration in the platform's store."""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

from bergamotdoor.membership.starting import StoreAnswer
from bergamotdoor.store.protocols import (
    StoredObject,
    StoreFailure,
    StoreProblem,
)
from bergamotdoor.types import ABSENT

if TYPE_CHECKING:
    from bergamotdoor.membership.chance import Chance
    from bergamotdoor.store.protocols import ObjectStore

CONFIG_KIND: Final = 'config'
CONFIG_NAME: Final = 'current'
_WATCH_TIMEOUT: Final = dt.timedelta(minutes=1) / 2
_FIRST_PAUSE: Final = dt.timedelta(seconds=1)
_LONGEST_PAUSE: Final = dt.timedelta(seconds=8)
#: Every so many watches without a change the object is read plainly.
_WATCHES_PER_READ: Final = 10


class ConfigurationSource:
    """The stored object, with the pauses that a store in trouble needs.

    Attributes
    ----------
    answer
        What the store last said.
    """

    def __init__(self, store: ObjectStore, chance: Chance) -> None:
        self.answer = StoreAnswer.PENDING
        self._store = store
        self._chance = chance
        self._version = ABSENT
        self._failures = 0
        self._quiet_watches = 0

    async def read(self) -> bytes | None:
        """Return the stored body; None if there is none to be had."""
        return self._take(await self._store.read(CONFIG_KIND, CONFIG_NAME))

    async def next_body(self) -> bytes | None:
        """Wait for a version not seen yet; None if the wait was in vain.

        A store that was set back to an older copy gives versions below
        the one that was seen, and a watch would wait past all of them.
        So now and then the object is read without a condition.
        """
        if self._quiet_watches >= _WATCHES_PER_READ:
            self._quiet_watches = 0
            return await self.read()
        found = await self._store.watch(
            CONFIG_KIND, CONFIG_NAME, self._version, _WATCH_TIMEOUT
        )
        if _is(found, StoreProblem.NO_CHANGE):
            self._quiet_watches += 1
        return self._take(found)

    def pause(self) -> dt.timedelta:
        """Return how long to leave the store alone; grows with failures.

        Spread over half to one and a half of its length: the watchers of
        all zones fail in the same moment and must not come back in one.
        """
        if not self._failures:
            return dt.timedelta()
        pause = min(_FIRST_PAUSE * self._failures, _LONGEST_PAUSE)
        return pause * (self._chance.random() + 1 / 2)

    def _take(self, found: StoredObject | StoreFailure) -> bytes | None:
        if isinstance(found, StoredObject):
            self._failures = 0
            self._version = found.version
            self.answer = StoreAnswer.FOUND
            return found.body
        if found.problem is StoreProblem.NOT_FOUND:
            self.answer = StoreAnswer.EMPTY
        elif found.problem is not StoreProblem.NO_CHANGE:
            self._failures += 1
            self.answer = StoreAnswer.UNAVAILABLE
            return None
        self._failures = 0
        return None


def _is(found: StoredObject | StoreFailure, problem: StoreProblem) -> bool:
    return isinstance(found, StoreFailure) and found.problem is problem
