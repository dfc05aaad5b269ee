"""Decides which entries are told of the requests in flight."""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor import utils
from bergamotdoor.types import NodeId

if TYPE_CHECKING:
    from collections.abc import Mapping

    from bergamotdoor.peers.directory import EntryRecord
    from bergamotdoor.types import ZoneId

#: To how many entries an entry tells its figures at most. It bounds the cost
#: of a burst at an entry with a small VM.
MAX_RECEIVERS: Final = 8
#: Pause after a message that was not accepted: as long as figures are used.
#: It doubles with each further one, up to about a minute.
_FIRST_PAUSE: Final = dt.timedelta(seconds=2)
_MAX_PAUSE_DOUBLINGS: Final = 5


class _Pause(msgspec.Struct, frozen=True):
    """Time for which nothing is told to an entry."""

    #: Number of messages in a row that the entry did not accept.
    failures: int
    #: Monotonic time of its end.
    until: dt.timedelta


class LoadReceivers:
    """The entries that are told, without those that do not accept messages.

    Failure: an entry of the previous release cannot decode the messages.
    Symptom: it answers each one with status 400, and both entries log a
    warning ten times a second for as long as the upgrade takes. So nothing is
    told to it for a growing time, until it tells something itself.

    Parameters
    ----------
    node
        Node of this process.
    zone
        Availability zone of this process.
    """

    def __init__(self, node: NodeId, zone: ZoneId) -> None:
        self._node = node
        self._zone = zone
        self._pauses: dict[NodeId, _Pause] = {}

    def choose(
        self, entries: Mapping[NodeId, EntryRecord], now: dt.timedelta
    ) -> dict[NodeId, EntryRecord]:
        """Return the entries that are told now.

        Parameters
        ----------
        entries
            All other entries.
        now
            The monotonic time.
        """
        for gone in self._pauses.keys() - entries.keys():
            self._pauses.pop(gone)
        nearby = (
            node for node, entry in entries.items() if entry.zone == self._zone
        )
        order = utils.hrw_order(self._node, nearby)
        chosen = (NodeId(node) for node in order[:MAX_RECEIVERS])
        return {
            node: entries[node]
            for node in chosen
            if not self._is_paused(node, now)
        }

    def record_accepted(self, node: NodeId) -> None:
        """Record that an entry accepted a message, or sent one itself."""
        self._pauses.pop(node, None)

    def record_not_accepted(self, node: NodeId, now: dt.timedelta) -> None:
        """Record that an entry did not accept a message."""
        known = self._pauses.get(node)
        failures = 0 if known is None else known.failures
        pause = _FIRST_PAUSE * (1 << min(failures, _MAX_PAUSE_DOUBLINGS))
        self._pauses[node] = _Pause(failures + 1, now + pause)

    def _is_paused(self, node: NodeId, now: dt.timedelta) -> bool:
        pause = self._pauses.get(node)
        return pause is not None and now < pause.until
