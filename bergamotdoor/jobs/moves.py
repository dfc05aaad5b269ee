"""Choice of the running items that move to another engine.

Load pattern: a step waits for a few long items. Time can be gained through
the speed of the engine: engines differ, some become slow, and an engine that
loads weights or hangs generates nothing. An item that moves continues after
its last event. The new engine first has to read the prompt and the text so
far, which is a hundred times as fast as generating them.
"""

from __future__ import annotations

import datetime as dt
import enum
from typing import TYPE_CHECKING, Final, TypeAlias

import msgspec

from bergamotdoor.fleet.model_assignment import LOAD_TIME
from bergamotdoor.jobs.progress import is_slower
from bergamotdoor.types import ItemId, UpstreamId

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from bergamotdoor.jobs.progress import Progress, Speeds

#: An item moves if that gains more time than this. A move costs a connection
#: and the reading of a prompt of some thousand tokens, about 30 ms. A
#: smaller gain does not justify the disturbance.
_LEAST_GAIN_MS: Final = 250
LEAST_GAIN: Final = dt.timedelta(milliseconds=_LEAST_GAIN_MS)
#: Minimum time between two moves of an item.
_LEAST_STAY_MS: Final = 500
LEAST_STAY: Final = dt.timedelta(milliseconds=_LEAST_STAY_MS)
#: Time within which the announcements of engines that load together arrive.
_ANNOUNCEMENT_SPREAD_MS: Final = 50
ANNOUNCEMENT_SPREAD: Final = dt.timedelta(milliseconds=_ANNOUNCEMENT_SPREAD_MS)
_ZERO: Final = dt.timedelta()
#: A stalled item moves wherever there is room.
_STALLED_GAIN: Final = dt.timedelta(days=1)
#: Event interval of an engine, in seconds, and the engine.
_Slot: TypeAlias = tuple[float, UpstreamId]


class MoveReason(enum.Enum):
    """Why an item leaves its engine."""

    #: The item is stalled.
    STALLED = 'stalled'
    #: The engine is slow.
    SLOW = 'slow'
    #: The engine is about to load weights.
    LOAD = 'its engine loads weights'


class Move(msgspec.Struct, frozen=True):
    """Decision to continue an item at another engine."""

    item: ItemId
    reason: MoveReason
    #: The engine at which the item continues.
    destination: UpstreamId


class PendingLoads(msgspec.Struct, frozen=True):
    """Weight loads that are announced or in progress."""

    #: How much longer the load of each engine takes.
    time_left: dict[UpstreamId, dt.timedelta] = {}
    #: Engines that have the newest announced weights of the items' model.
    settled: frozenset[UpstreamId] = frozenset()

    def may_move_anywhere(self, upstream: UpstreamId) -> bool:
        """Return whether items may leave an engine for any other one.

        Failure: two engines load at the same time, and items of the first
        move to the second one, whose announcement comes milliseconds later.
        Symptom: it refuses them, and a long item loses more time than the
        load takes. At first, items therefore leave only for engines that have
        the newest weights, and so do not load soon.
        """
        left = self.time_left.get(upstream, _ZERO)
        return LOAD_TIME - left >= ANNOUNCEMENT_SPREAD


_NO_LOADS: Final = PendingLoads()


def choose_moves(
    running: Iterable[Progress],
    free_slots: Mapping[UpstreamId, int],
    speeds: Speeds,
    now: dt.timedelta,
    loads: PendingLoads = _NO_LOADS,
    short_s: float = 0,
) -> Iterator[Move]:
    """Yield the items that should move, those with most events left first.

    An item moves to the fastest engine that has a free slot and no stalled
    item, if the item is stalled or would end sooner there by more than
    ``LEAST_GAIN``.

    Failure: an item that its step does not wait for moves to a faster engine.
    Symptom: it takes the free slot that a long item at a slow engine, or one
    that has not started, needs, and the step ends later.

    Parameters
    ----------
    running
        Runs in progress.
    free_slots
        Number of free slots of each engine that accepts an item.
    speeds
        Event intervals of the engines.
    now
        The monotonic time.
    loads
        Weight loads. The items of an engine that loads are treated as stalled
        for the time left, and move if they gain from that.
    short_s
        An item that still takes less time than this where it runs, in
        seconds, does not move for speed alone.
    """
    movable = [one for one in running if now - one.started_at > LEAST_STAY]
    slots_by_speed = _slots_by_speed(movable, free_slots, speeds, now)
    movable = [
        one
        for one in movable
        if _reason_to_move(one, now, loads) is not MoveReason.SLOW
        or not _is_short(one, speeds, short_s)
    ]
    for progress in sorted(movable, key=_remaining_events, reverse=True):
        reason = _reason_to_move(progress, now, loads)
        may_move = loads.may_move_anywhere(progress.upstream)
        slot = next(
            (
                one
                for one in slots_by_speed
                if may_move or one[1] in loads.settled
            ),
            None,
        )
        if slot is None:
            continue
        gained = _time_gained(progress, speeds, slot[0], reason)
        gained += loads.time_left.get(progress.upstream, _ZERO)
        if gained > LEAST_GAIN and slot[1] != progress.upstream:
            slots_by_speed.remove(slot)
            yield Move(progress.item, reason, slot[1])


def _slots_by_speed(
    running: Iterable[Progress],
    free_slots: Mapping[UpstreamId, int],
    speeds: Speeds,
    now: dt.timedelta,
) -> list[_Slot]:
    """Return free slots of engines without a stalled item, fastest first."""
    stalled = {one.upstream for one in running if one.is_stalled(now)}
    return sorted(
        (speeds.interval_s(name), name)
        for name, free in free_slots.items()
        if name not in stalled
        for _ in range(free)
    )


def _reason_to_move(
    progress: Progress, now: dt.timedelta, loads: PendingLoads
) -> MoveReason:
    """Return why an item moves, if it gains from a move."""
    if progress.upstream in loads.time_left:
        return MoveReason.LOAD
    stalled = progress.is_stalled(now)
    return MoveReason.STALLED if stalled else MoveReason.SLOW


def _is_short(progress: Progress, speeds: Speeds, short_s: float) -> bool:
    own_s = speeds.interval_s(progress.upstream)
    return progress.remaining_events * own_s < short_s


def _remaining_events(progress: Progress) -> float:
    return progress.remaining_events


def _time_gained(
    progress: Progress, speeds: Speeds, interval_s: float, reason: MoveReason
) -> dt.timedelta:
    """Return how much sooner an item ends at an engine of this interval.

    The pause of a weight load is not included. A stalled item gains any time.
    The result is zero if the own engine is not slower by ``_LEAST_RATIO``, and
    neither about to load weights.

    Failure: a long item leaves a fast engine that loads weights for a slow
    one. Symptom: it ends later than if it had waited for the end of the load.
    What the item loses at a slower engine is therefore subtracted.
    """
    if reason is MoveReason.STALLED:
        return _STALLED_GAIN
    own_s = speeds.interval_s(progress.upstream)
    gained = dt.timedelta(
        seconds=progress.remaining_events * (own_s - interval_s)
    )
    if reason is MoveReason.LOAD or is_slower(own_s, interval_s):
        return gained
    return _ZERO
