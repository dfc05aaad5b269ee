"""Which entry a process hears of changes from, and within which bounds.

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

#: With fewer entries in a zone a source would cost as many calls as it
#: saves: it watches several times as often as each of them would.
LEAST_ENTRIES: Final = 4
#: How many entries of a zone may be the source, one after the other. Those
#: behind them would be asked only while all of these are gone.
_MOST_SOURCES: Final = 3
#: How long a source that did not answer is left alone. Entries that are
#: gone stay registered, and each attempt costs a listing.
_GONE_REST_S: Final = 30
_GONE_REST: Final = dt.timedelta(seconds=_GONE_REST_S)
#: The same for one that has lost the store, which is back within seconds.
_IGNORANT_REST_S: Final = 5
_IGNORANT_REST: Final = dt.timedelta(seconds=_IGNORANT_REST_S)


class SharingBounds(msgspec.Struct, frozen=True):
    """How long each part of the way of a change may take.

    All are shares of the time within which each process must know of a
    change. Failure: the source is paused, or loses the store, in the moment
    of a change. Symptom: processes that lose nothing themselves live by an
    old view. A process that waits at a silent source notices within
    ``answer_wait`` and the margin of a call, 2.4 s of 4 s; one whose source
    lost the store is told within ``trusted``, 2.5 s of 4 s. Both list then.
    """

    bound: dt.timedelta

    @property
    def answer_wait(self) -> dt.timedelta:
        """How long a process waits at the source for news."""
        return self.bound / 2

    def watch_wait(self, gather: dt.timedelta) -> dt.timedelta:
        """Return how long a watch of the source lasts.

        Each proves the last one, and half of the bound is for both the pause
        before a watch and the watch.
        """
        return self.bound / 2 - gather

    @property
    def most_gather(self) -> dt.timedelta:
        """How long the source gathers changes at the most.

        Load pattern: twenty engines take new weights each second or two, and
        each change of a registration ends the watch of its kind.
        """
        return self.bound / 4

    def trusted(self, watch: Watch) -> dt.timedelta:
        """Return within which time the store must have answered the source.

        The pause before a watch, the watch, and an eighth of the bound for
        a slow answer.
        """
        return watch.gather + watch.patience + self.bound / 8


class SourceChoice:
    """Chooses the entry to hear of changes from.

    Parameters
    ----------
    node, zone
        The process that wants to hear, and where it is.
    """

    def __init__(self, node: NodeId, zone: ZoneId) -> None:
        self.node = node
        self._zone = zone
        self._rests: dict[NodeId, dt.timedelta] = {}

    def choose(
        self, entries: Mapping[NodeId, EntryRecord], now: dt.timedelta
    ) -> NodeId | None:
        """Return the entry to wait at; None is the store itself.

        Parameters
        ----------
        entries
            The entries that are known, with this process if it is one.
        now
            The monotonic time.
        """
        near = [
            name for name, entry in entries.items() if entry.zone == self._zone
        ]
        if len(near) < LEAST_ENTRIES:
            return None
        order = [NodeId(name) for name in hrw_order(self._zone, near)]
        for name in order[:_MOST_SOURCES]:
            if name == self.node:
                return None
            if not self.rests(name, now):
                return name
        return None

    def rests(self, name: NodeId, now: dt.timedelta) -> bool:
        """Return whether an entry is left alone."""
        return now < self._rests.get(name, now)

    def unreachable(self, name: NodeId, now: dt.timedelta) -> None:
        """Take that an entry did not answer."""
        self._rests[name] = now + _GONE_REST

    def ignorant(self, name: NodeId, now: dt.timedelta) -> None:
        """Take that an entry can't tell now, since it has lost the store."""
        self._rests[name] = now + _IGNORANT_REST
