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
#: A pace is measured over so many events, a fifth of a second at the usual
#: one: longer than the jitter of one event, short beside a step.
_PACE_EVENTS: Final = 5
#: Assumed while no engine was measured.
_USUAL_S: Final = 0.04
#: How much slower an engine must be for its items to leave it. A full engine
#: is 4 to 10 % slower than an empty one; engines of one service differ by up
#: to a third, one that has turned slow is several times as slow.
_LEAST_RATIO: Final = 1.15


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
        #: From where the pace is measured next.
        self._marked_events = first_event
        self._marked_at: dt.timedelta | None = None
        self._paces_s: list[float] = []

    def advance(self, events: int, now: dt.timedelta) -> None:
        """Take that so many events are there."""
        before = self.last_event_at
        self.events = events
        self.last_event_at = now
        if before is None or now - before > STALL or self._marked_at is None:
            # Waiting for a prompt, a slot or weights is not a pace.
            self._mark(now)
            return
        count = events - self._marked_events
        if count >= _PACE_EVENTS:
            took = now - self._marked_at
            self._paces_s.append(took.total_seconds() / count)
            self._mark(now)

    def take_paces(self) -> Iterator[float]:
        """Return the seconds per event measured since the last time."""
        while self._paces_s:
            yield self._paces_s.pop(0)

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

    def _mark(self, now: dt.timedelta) -> None:
        self._marked_events = self.events
        self._marked_at = now


class Speeds:
    """Seconds per event at each engine, by what its items show."""

    def __init__(self) -> None:
        self._interval_s: dict[UpstreamId, float] = {}

    def learn(self, progress: Progress) -> None:
        """Take how fast a run was since the last time.

        Failure: the wait for a prompt, a slot or weights is taken for an
        engine's pace. Symptom: each engine looks slow as soon as it has new
        items; items leave it every half second and wait anew elsewhere, up
        to ten times. The pace is measured between events only.
        """
        for pace_s in progress.take_paces():
            known_s = self._interval_s.get(progress.upstream, pace_s)
            self._interval_s[progress.upstream] = known_s + _SMOOTHING * (
                pace_s - known_s
            )

    def interval_s(self, upstream: UpstreamId) -> float:
        """Return the seconds per event at an engine.

        One that was never measured is taken to be like the others.
        """
        known_s = self._interval_s.get(upstream)
        return self._usual_s() if known_s is None else known_s

    def forget(self, upstream: UpstreamId) -> None:
        """Drop an engine that is gone."""
        self._interval_s.pop(upstream, None)

    def _usual_s(self) -> float:
        paces_s = sorted(self._interval_s.values())
        return paces_s[len(paces_s) // 2] if paces_s else _USUAL_S


class Move(msgspec.Struct, frozen=True):
    """An item that should go on at another engine."""

    item: ItemId
    #: Why, for the log.
    stalled: bool
    #: Where it should go on.
    goal: UpstreamId


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
            yield Move(progress.item, stalled, best)


def _remaining(progress: Progress) -> float:
    return progress.remaining


def _gain(
    progress: Progress, speeds: Speeds, interval_s: float
) -> dt.timedelta:
    own_s = speeds.interval_s(progress.upstream)
    if own_s < interval_s * _LEAST_RATIO:
        return dt.timedelta()
    slower_s = own_s - interval_s
    return dt.timedelta(seconds=progress.remaining * slower_s)
