"""How fast items advance, and which should go on at another engine.

Load pattern: lengths are heavy-tailed, so after the first second a step
waits for a few long items, one token after the other; an engine runs one
item hardly faster than sixteen. What can be won is speed: engines differ,
some turn slow, and one that loads weights or hangs stands still. An item
goes on elsewhere behind its last event, for the price of reading what it
has so far, which is a hundred times as fast as generating it.
"""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.types import ItemId, UpstreamId

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

#: Events come every 40 ms; an engine that shows none for this long loads
#: weights, which takes three times as long, or hangs.
_STALL_MS: Final = 350
STALL: Final = dt.timedelta(milliseconds=_STALL_MS)
#: The first event waits for the prompt to be read, and maybe for a slot.
_FIRST_STALL_MS: Final = 700
FIRST_STALL: Final = dt.timedelta(milliseconds=_FIRST_STALL_MS)
#: A move costs a connection and a prompt of some thousand tokens, about
#: 30 ms; below this the gain is not worth the unrest.
_LEAST_GAIN_MS: Final = 250
LEAST_GAIN: Final = dt.timedelta(milliseconds=_LEAST_GAIN_MS)
#: Between two moves of an item.
_LEAST_STAY_MS: Final = 500
LEAST_STAY: Final = dt.timedelta(milliseconds=_LEAST_STAY_MS)
#: How much longer an item is expected to become that has outgrown its hint,
#: as a share of what it has. The hints are often far off.
_OVERTIME: Final = 0.5
_SMOOTHING: Final = 0.3
#: Assumed of engines that were never measured.
_USUAL_S: Final = 0.04


class Progress:
    """One run of an item at one engine.

    Parameters
    ----------
    item, upstream
        What runs where.
    started_at
        When the run began.
    expected_events
        How many events the item is expected to have in all.
    first_event
        How many it had before this run.
    most_events
        How many it may have at most; 0 if that is not known.
    """

    def __init__(
        self,
        item: ItemId,
        upstream: UpstreamId,
        started_at: dt.timedelta,
        expected_events: float,
        first_event: int = 0,
        most_events: float = 0,
    ) -> None:
        self.item = item
        self.upstream = upstream
        self.started_at = started_at
        self.first_event = first_event
        self.events = first_event
        self.last_event_at: dt.timedelta | None = None
        self._expected_events = expected_events
        self._most_events = most_events

    def advance(self, events: int, now: dt.timedelta) -> None:
        """Take that so many events are there."""
        self.events = events
        self.last_event_at = now

    def stalled(self, now: dt.timedelta) -> bool:
        """Return whether nothing has come for too long."""
        if self.last_event_at is None:
            return now - self.started_at > FIRST_STALL
        return now - self.last_event_at > STALL

    @property
    def remaining(self) -> float:
        """How many events are probably missing.

        One item in fourteen runs up to the most that it may have, and most
        of those that outgrow their hint by much.
        """
        missing = max(
            self._expected_events - self.events, self.events * _OVERTIME
        )
        if not self._most_events:
            return missing
        return min(missing, max(self._most_events - self.events, 0))


class Speeds:
    """Seconds per event at each engine, by what its items show."""

    def __init__(self) -> None:
        self._interval_s: dict[UpstreamId, float] = {}

    def learn(self, progress: Progress) -> None:
        """Take how fast a run was so far."""
        events = progress.events - progress.first_event
        if progress.last_event_at is None or events <= 0:
            return
        took = (progress.last_event_at - progress.started_at).total_seconds()
        known = self._interval_s.get(progress.upstream)
        found = took / events
        if known is not None:
            found = known + _SMOOTHING * (found - known)
        self._interval_s[progress.upstream] = found

    def interval_s(self, upstream: UpstreamId) -> float:
        """Return the seconds per event at an engine."""
        return self._interval_s.get(upstream, _USUAL_S)


class Move(msgspec.Struct, frozen=True):
    """An item that should go on at another engine."""

    item: ItemId
    #: Why, for the log.
    stalled: bool


def moves(
    running: Iterable[Progress],
    room: Mapping[UpstreamId, int],
    speeds: Speeds,
    now: dt.timedelta,
) -> Iterator[Move]:
    """Return the items to move, those that gain most first.

    Parameters
    ----------
    running
        Runs in progress.
    room
        Free slots of the engines that would take an item.
    speeds
        How fast the engines are.
    now
        The monotonic time.
    """
    settled = [one for one in running if now - one.started_at > LEAST_STAY]
    halted = {one.upstream for one in settled if one.stalled(now)}
    places = sorted(
        (speeds.interval_s(name), name)
        for name, free in room.items()
        if name not in halted
        for _ in range(free)
    )
    for progress in sorted(settled, key=_remaining, reverse=True):
        if not places:
            return
        interval_s, best = places[0]
        stalled = progress.stalled(now)
        gains = _gain(progress, speeds, interval_s) > LEAST_GAIN
        if best != progress.upstream and (stalled or gains):
            places.pop(0)
            yield Move(progress.item, stalled)


def _remaining(progress: Progress) -> float:
    return progress.remaining


def _gain(
    progress: Progress, speeds: Speeds, interval_s: float
) -> dt.timedelta:
    slower_s = speeds.interval_s(progress.upstream) - interval_s
    return dt.timedelta(seconds=progress.remaining * slower_s)
