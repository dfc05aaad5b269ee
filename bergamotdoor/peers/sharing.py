"""Choice of the entry at which a process waits for changes, and time limits.

The entry, called the source, watches the store for the other processes of
its availability zone.

Decisions only: no input or output, and the time is passed in.
"""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.types import NodeId
from bergamotdoor.utils import hrw_order

if TYPE_CHECKING:
    from collections.abc import Mapping

    from bergamotdoor.objects.news import Watch
    from bergamotdoor.peers.directory import EntryRecord
    from bergamotdoor.types import ZoneId

#: With fewer entries in a zone, a source would cost as many calls as it saves:
#: it watches the store several times as often as each entry would alone.
LEAST_ENTRIES: Final = 4
#: How many entries of a zone are tried as the source, one after the other.
#: Further entries would be needed only while all of these are gone.
_MAX_SOURCES: Final = 3
#: A source that did not answer is not used for so long. Entries that are gone
#: stay registered, and each attempt to use one costs a listing.
_UNREACHABLE_PAUSE_S: Final = 30
_UNREACHABLE_PAUSE: Final = dt.timedelta(seconds=_UNREACHABLE_PAUSE_S)
#: A source that has lost the store is not used for so long; it reaches the
#: store again within seconds.
_STORE_LOST_PAUSE_S: Final = 5
_STORE_LOST_PAUSE: Final = dt.timedelta(seconds=_STORE_LOST_PAUSE_S)
#: Shortest wait of a watch; a wait of zero might not be taken as one.
_LEAST_WAIT_MS: Final = 50
_LEAST_WAIT: Final = dt.timedelta(milliseconds=_LEAST_WAIT_MS)


class SharingBounds(msgspec.Struct, frozen=True):
    """Time limits of each part of the path from the store to a process.

    All limits are shares of the time within which each process must know of a
    change. Failure: the source is paused, or loses the store, at the moment
    of a change. Symptom: processes that are not affected themselves use an
    outdated view. A process that waits at a source that does not answer
    notices within ``answer_wait`` and the margin of a request, 2.4 s of 4 s.
    A process whose source lost the store gets a reply within the limit for
    the store's answer to a watch, 2.5 s of 4 s. Both processes then list the
    kind.
    """

    #: Time within which each process must know of a change.
    bound: dt.timedelta

    @property
    def answer_wait(self) -> dt.timedelta:
        """How long a request for changes may wait at the source."""
        return self.bound / 2

    def relayed_wait(self, gather: dt.timedelta) -> dt.timedelta:
        """Return how long a watch through another entry lasts at most.

        The other entry may be frozen or cut off without notice. The pause
        before the watch and the watch take half of the bound together, as
        they do at a source.

        Parameters
        ----------
        gather
            Pause before the watch, in which changes are collected.
        """
        return max(self.bound / 2 - gather, _LEAST_WAIT)

    def watch_wait(self, gather: dt.timedelta) -> dt.timedelta:
        """Return how long one watch of the store by the source lasts.

        Each watch confirms that the one before it missed no change. The pause
        before a watch and the watch take half of the bound together.

        Parameters
        ----------
        gather
            Pause before the watch, in which changes are collected.
        """
        return self.bound / 2 - gather

    @property
    def most_gather(self) -> dt.timedelta:
        """The longest time for which the source collects changes.

        Load pattern: twenty engines load new weights each second or two, and
        each change of a registration ends the watch of its kind.
        """
        return self.bound / 4

    def trusted(self, watch: Watch) -> dt.timedelta:
        """Return the time within which the store must have answered a watch.

        It consists of the pause before a watch, the watch, and an eighth of
        the bound for a slow answer.
        """
        return watch.gather + watch.patience + self.bound / 8


class SourceChoice:
    """Chooses the entry at which a process waits for changes.

    Parameters
    ----------
    node
        Node of the process.
    zone
        Availability zone of the process.
    """

    def __init__(self, node: NodeId, zone: ZoneId) -> None:
        self.node = node
        self._zone = zone
        self._suspended_until: dict[NodeId, dt.timedelta] = {}

    def choose(
        self, entries: Mapping[NodeId, EntryRecord], now: dt.timedelta
    ) -> NodeId | None:
        """Return the source; ``None`` if this process watches the store.

        Parameters
        ----------
        entries
            All known entries, including this process if it is an entry.
        now
            The monotonic time.
        """
        zone_entries = [
            name for name, entry in entries.items() if entry.zone == self._zone
        ]
        if len(zone_entries) < LEAST_ENTRIES:
            return None
        order = [NodeId(name) for name in hrw_order(self._zone, zone_entries)]
        for name in order[:_MAX_SOURCES]:
            if name == self.node:
                return None
            if not self.rests(name, now):
                return name
        return None

    def rests(self, name: NodeId, now: dt.timedelta) -> bool:
        """Return whether an entry is not used as the source for now."""
        return now < self._suspended_until.get(name, now)

    def unreachable(self, name: NodeId, now: dt.timedelta) -> None:
        """Suspend an entry that did not answer."""
        self._suspended_until[name] = now + _UNREACHABLE_PAUSE

    def ignorant(self, name: NodeId, now: dt.timedelta) -> None:
        """Suspend an entry that can't answer since it has lost the store."""
        self._suspended_until[name] = now + _STORE_LOST_PAUSE
