"""Slots that are kept for items on their way to another engine.

Load pattern: a step has more items than the engines have slots, so each slot
that comes free is taken at once. An item that moves gives its own slot up
first; by the time it can begin anew, the one it was to move to has gone to
an item that has not begun, and it waits for the next, or for a slower one.
"""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.types import UpstreamId

if TYPE_CHECKING:
    from bergamotdoor.fleet.loads import Loads
    from bergamotdoor.types import ItemId

#: A moved item is back within milliseconds. One that ended meanwhile, or
#: whose job did, keeps its slot for no longer.
_KEPT_MS: Final = 200
KEPT: Final = dt.timedelta(milliseconds=_KEPT_MS)


class _Reservation(msgspec.Struct, frozen=True):
    upstream: UpstreamId
    until: dt.timedelta


class Reservations:
    """Which slots are kept for which items; they count as taken.

    Parameters
    ----------
    loads
        Where kept slots are counted.
    """

    def __init__(self, loads: Loads) -> None:
        self._loads = loads
        self._kept: dict[ItemId, _Reservation] = {}

    def keep(
        self, item: ItemId, upstream: UpstreamId, now: dt.timedelta
    ) -> None:
        """Keep a slot for an item that moves."""
        self.take(item)
        self._kept[item] = _Reservation(upstream, now + KEPT)
        self._loads.of(upstream).kept += 1

    def take(self, item: ItemId) -> UpstreamId | None:
        """Return where a slot is kept for an item, and keep it no longer."""
        found = self._kept.pop(item, None)
        if found is None:
            return None
        load = self._loads.of(found.upstream)
        # A load that was forgotten meanwhile keeps nothing.
        load.kept = max(load.kept - 1, 0)
        return found.upstream

    def expire(self, now: dt.timedelta) -> None:
        """Give up the slots of items that have not come."""
        late = [item for item, one in self._kept.items() if now >= one.until]
        for item in late:
            self.take(item)
