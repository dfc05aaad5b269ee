"""Slots reserved for items that move to another engine.

Load pattern: a step has more items than the engines have slots, so each slot
that becomes free is used at once. An item that moves first releases its own
slot. Without a reservation, an item that has not started would have the slot
at the other engine by the time the moved item can start there; the moved item
would have to wait for another slot, or run at a slower engine.
"""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.types import UpstreamId

if TYPE_CHECKING:
    from bergamotdoor.fleet.loads import Loads
    from bergamotdoor.types import ItemId

#: How long a slot stays reserved. A moved item starts again within
#: milliseconds. The limit frees the slot of an item that ended meanwhile, or
#: whose job ended.
_RESERVATION_TIMEOUT_MS: Final = 200
RESERVATION_TIMEOUT: Final = dt.timedelta(milliseconds=_RESERVATION_TIMEOUT_MS)


class _Reservation(msgspec.Struct, frozen=True):
    upstream: UpstreamId
    until: dt.timedelta


class Reservations:
    """Reserved slots by item; they count towards the load of their engine.

    Parameters
    ----------
    loads
        Loads of the engines, in which the reserved slots are counted.
    """

    def __init__(self, loads: Loads) -> None:
        self._loads = loads
        self._reservations: dict[ItemId, _Reservation] = {}

    def reserve_slot(
        self, item: ItemId, upstream: UpstreamId, now: dt.timedelta
    ) -> None:
        """Reserve a slot for an item, in place of an earlier reservation."""
        self.release_slot(item)
        self._reservations[item] = _Reservation(
            upstream, now + RESERVATION_TIMEOUT
        )
        self._loads.of(upstream).reserved_slots += 1

    def release_slot(self, item: ItemId) -> UpstreamId | None:
        """Remove the reservation of an item and return its engine, if any."""
        found = self._reservations.pop(item, None)
        if found is None:
            return None
        load = self._loads.of(found.upstream)
        # If the engine was forgotten after the reservation, its load is a
        # new one without reserved slots.
        load.reserved_slots = max(load.reserved_slots - 1, 0)
        return found.upstream

    def release_expired(self, now: dt.timedelta) -> None:
        """Remove the reservations of items that did not start in time."""
        expired = [
            item for item, one in self._reservations.items() if now >= one.until
        ]
        for item in expired:
            self.release_slot(item)
