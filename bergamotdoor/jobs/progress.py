"""Progress of running items, and the speed of engines that it shows.

Load pattern: lengths are heavy-tailed. After the first second a step waits
for a few long items, whose tokens are generated one after the other, and an
engine generates one item hardly faster than sixteen.
"""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from bergamotdoor.types import ItemId, UpstreamId

#: An item is stalled if its engine sends no event for this long. Events
#: arrive every 40 ms. An engine that stays silent for longer than this
#: either loads weights, which takes three times as long, or hangs.
_STALL_TIMEOUT_MS: Final = 350
STALL_TIMEOUT: Final = dt.timedelta(milliseconds=_STALL_TIMEOUT_MS)
#: An item is also stalled if the first event of its run takes longer than
#: this: the engine first reads the prompt, and the item may wait for a slot.
_FIRST_EVENT_TIMEOUT_MS: Final = 700
FIRST_EVENT_TIMEOUT: Final = dt.timedelta(milliseconds=_FIRST_EVENT_TIMEOUT_MS)
#: How many more events an item is expected to have once it has outgrown the
#: trainer's estimate, as a share of its events so far. The estimates are
#: often far off.
_OVERRUN_SHARE: Final = 0.5
#: Weight of the newest sample in an engine's event interval.
_NEWEST_WEIGHT: Final = 0.3
#: Number of events in a sample of the event interval. They take a fifth of a
#: second at the usual interval: longer than the jitter of one event, and
#: short compared with a step.
_EVENTS_PER_SAMPLE: Final = 5
#: Event interval that is assumed while no engine has been measured.
_DEFAULT_INTERVAL_S: Final = 0.04
#: An engine counts as slower than another one if its event interval is longer
#: by this factor. A full engine is 4 to 10 % slower than an empty one. Engines
#: of one service differ by up to a factor of two; an engine that has become
#: slow is several times as slow.
_LEAST_RATIO: Final = 1.15


class Progress:
    """Progress of one run of an item at one engine.

    Parameters
    ----------
    item
        The item.
    upstream
        The engine that runs the item.
    started_at
        Monotonic time at which the run began.
    expected_events
        Expected number of events of the item, over all of its runs.
    events_before
        Number of events that the item had before this run.
    most_events
        Maximum number of events of the item; 0 if it is not known.
    """

    def __init__(
        self,
        item: ItemId,
        upstream: UpstreamId,
        started_at: dt.timedelta,
        expected_events: float,
        events_before: int = 0,
        most_events: float = 0,
    ) -> None:
        self.item = item
        self.upstream = upstream
        self.started_at = started_at
        self.events_before = events_before
        #: Number of events of the item so far, over all of its runs.
        self.events = events_before
        self.last_event_at: dt.timedelta | None = None
        self._expected_events = expected_events
        self._most_events = most_events
        #: Number of events when the current sample began.
        self._sampled_events = events_before
        #: Monotonic time at which the current sample began.
        self._sampled_at: dt.timedelta | None = None
        #: Measured event intervals that the engine's speed does not include
        #: yet.
        self._new_intervals_s: list[float] = []

    def advance(self, events: int, now: dt.timedelta) -> None:
        """Record that events have arrived.

        Parameters
        ----------
        events
            Number of events of the item so far, over all of its runs.
        now
            The monotonic time.
        """
        before = self.last_event_at
        self.events = events
        self.last_event_at = now
        if (
            before is None
            or now - before > STALL_TIMEOUT
            or self._sampled_at is None
        ):
            # A wait for the prompt, a slot or weights is not an event
            # interval.
            self._start_sample(now)
            return
        count = events - self._sampled_events
        if count >= _EVENTS_PER_SAMPLE:
            took = now - self._sampled_at
            self._new_intervals_s.append(took.total_seconds() / count)
            self._start_sample(now)

    def pop_intervals_s(self) -> Iterator[float]:
        """Remove and yield the measured event intervals, in seconds."""
        while self._new_intervals_s:
            yield self._new_intervals_s.pop(0)

    def is_stalled(self, now: dt.timedelta) -> bool:
        """Return whether the next event is overdue."""
        if self.last_event_at is None:
            return now - self.started_at > FIRST_EVENT_TIMEOUT
        return now - self.last_event_at > STALL_TIMEOUT

    @property
    def remaining_events(self) -> float:
        """Expected number of events that the item still lacks."""
        return remaining_events(
            self._expected_events, self._most_events, self.events
        )

    def _start_sample(self, now: dt.timedelta) -> None:
        self._sampled_events = self.events
        self._sampled_at = now


def is_slower(interval_s: float, other_s: float) -> bool:
    """Return whether an event interval is longer by more than noise and load.

    No interval is slower than itself, not even one of zero, which is measured
    where this process was paused and then reads many events at once.

    Parameters
    ----------
    interval_s
        Event interval of an engine, in seconds.
    other_s
        Event interval of the engine that it is compared with, in seconds.
    """
    return interval_s > other_s and interval_s >= other_s * _LEAST_RATIO


def remaining_events(expected: float, most: float, events: int) -> float:
    """Return the expected number of events that an item still lacks.

    One item in fourteen reaches its maximum length, and so do most of the
    items that outgrow the trainer's estimate by much.

    Parameters
    ----------
    expected
        Expected number of events of the item.
    most
        Maximum number of events of the item; 0 if it is not known.
    events
        Number of events of the item so far.
    """
    missing = max(expected - events, events * _OVERRUN_SHARE)
    return min(missing, max(most - events, 0)) if most else missing


class Speeds:
    """Event interval of each engine, measured at the items that it runs."""

    def __init__(self) -> None:
        self._intervals_s: dict[UpstreamId, float] = {}
        #: Monotonic time of the last event that was measured at each engine.
        self._measured_at: dict[UpstreamId, dt.timedelta] = {}
        #: Intervals that other processes measured.
        self._learned_s: dict[UpstreamId, float] = {}

    def add_intervals(self, progress: Progress) -> None:
        """Add the event intervals measured since the last call.

        Failure: the wait for a prompt, a slot or weights counts as an event
        interval of the engine. Symptom: each engine seems slow as soon as it
        has new items; items leave it every half second and wait again at
        another engine, up to ten times. An interval is therefore measured
        between events only.

        Parameters
        ----------
        progress
            A run, whose measured intervals are removed from it.
        """
        for interval_s in progress.pop_intervals_s():
            known_s = self._intervals_s.get(progress.upstream, interval_s)
            self._intervals_s[progress.upstream] = known_s + _NEWEST_WEIGHT * (
                interval_s - known_s
            )
            if progress.last_event_at is not None:
                self._measured_at[progress.upstream] = progress.last_event_at

    def learn(self, intervals: Mapping[UpstreamId, float]) -> None:
        """Add intervals that other processes measured.

        Failure: the jobs of a model get a new owner. Symptom: it places the
        long items of its first step at slow engines, since it has measured
        none. A learned interval counts until this process measures the
        engine.

        Parameters
        ----------
        intervals
            Time between two events at engines that exist, in seconds.
        """
        self._learned_s.update(intervals)

    def measured_since(self, since: dt.timedelta) -> dict[UpstreamId, float]:
        """Return the intervals in seconds that were measured since a time."""
        return {
            upstream: self._intervals_s[upstream]
            for upstream, measured_at in self._measured_at.items()
            if measured_at >= since
        }

    def interval_s(self, upstream: UpstreamId) -> float:
        """Return the time between two events at an engine, in seconds.

        An engine that neither this process nor another one has measured is
        assumed to have the median interval of the others.
        """
        known_s = self._intervals_s.get(upstream, self._learned_s.get(upstream))
        return self._median_interval_s() if known_s is None else known_s

    def forget(self, upstream: UpstreamId) -> None:
        """Remove an engine that no longer exists."""
        self._intervals_s.pop(upstream, None)
        self._measured_at.pop(upstream, None)
        self._learned_s.pop(upstream, None)

    def _median_interval_s(self) -> float:
        sorted_s = sorted({**self._learned_s, **self._intervals_s}.values())
        return sorted_s[len(sorted_s) // 2] if sorted_s else _DEFAULT_INTERVAL_S
