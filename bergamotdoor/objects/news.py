"""Where a process hears of changes of a kind of objects."""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final, Protocol

import msgspec

from bergamotdoor.stored import Changes, Outcome

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.objects.client import ObjectClient
    from bergamotdoor.types import Revision

#: For views whose age no rule bounds. A waiting watch counts as one call,
#: so a long wait is cheap; the store takes at most 30 s.
_LONG_WAIT_S: Final = 10
LONG_WAIT: Final = dt.timedelta(seconds=_LONG_WAIT_S)
#: A watch that lasted for this share of its time has ended in order.
_WHOLE: Final = 0.9


class Watch(msgspec.Struct, frozen=True):
    """Which kind of objects is followed, and how closely."""

    kind: str
    #: How long to wait before the store is watched again. Each change ends
    #: a watch and each watch costs a call, so changes that come close
    #: together are gathered into one call.
    gather: dt.timedelta
    #: How long a watch of the store is trusted. One whose history was
    #: dropped stays open and silent; the next one is told that it has to
    #: list.
    wait: dt.timedelta = LONG_WAIT
    #: How often whoever follows is told that nothing has changed; None is
    #: never.
    proof: dt.timedelta | None = None

    @property
    def patience(self) -> dt.timedelta:
        """How long one watch of the store lasts."""
        return self.wait if self.proof is None else min(self.wait, self.proof)


class News(Protocol):
    """Tells of changes."""

    async def changes(self, watch: Watch, since: Revision) -> Changes | Outcome:
        """Wait for changes since a revision; none came if it is empty.

        Returns
        -------
        Changes or Outcome
            HISTORY_GONE is that the kind has to be listed. Any other
            outcome is that the store can't be reached or believed now.
        """


class StoreNews:
    """Hears of changes from the store itself."""

    def __init__(self, store: ObjectClient, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    async def changes(self, watch: Watch, since: Revision) -> Changes | Outcome:
        """Watch the store once."""
        await self._clock.sleep(watch.gather)
        began = self._clock.elapsed()
        proven_at = self._clock.uptime()
        found = await self._store.changes(watch.kind, since, watch.patience)
        if isinstance(found, Outcome):
            return found
        # The store answers at once if something had changed before.
        found = msgspec.structs.replace(found, proven_at=proven_at)
        if found.changes:
            return found
        # Without an event it may have ended while it was told of none: the
        # next one begins where this one did, and is told, or has to list.
        # One that ended before its time was cut off.
        took = self._clock.elapsed() - began
        return found if took > watch.patience * _WHOLE else Outcome.UNCLEAR
