"""Choice of the engine that runs an item.

Load pattern: the items of a step arrive together and fill the engines, and
several processes place items on the same engines. An engine receives no more
items than it has slots, as far as this process knows its load, since an item
that waits inside an engine cannot be moved.

Engines of one speed: a group runs where its prompt is cached, as long as that
engine has about as few requests as the least loaded one. Otherwise the least
loaded engine is chosen. Reading a prompt again costs a millisecond. A full
engine is worse: it generates more slowly, and preempts long items when it
runs out of memory.

Engines of different speeds, up to a factor of two: the step waits for its
longest items, whose events are generated one after the other, so these items
need the fast engines. A short item runs at the slowest engine on which it
still ends well before the longest one. All other items run at the fastest
engine that has a free slot, however many requests that engine has: with all
slots in use it takes about a twentieth longer for an event than without load.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.jobs.progress import is_slower
from bergamotdoor.types import UpstreamId

if TYPE_CHECKING:
    import datetime as dt
    from collections.abc import Collection, Sequence

    from bergamotdoor.fleet.loads import Loads
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.jobs.progress import Speeds

#: An item is short on an engine if it takes less than this share of the time
#: that the step's longest item takes on the fastest engine. Length hints are
#: often off by a factor of 1.6; an item that is 1.6 times as long as expected
#: still ends before the longest one.
_SHORT_SHARE: Final = 0.5


#: An engine that is slower than the fastest one by this factor is impaired.
#: Engines of one service differ by a factor of two or a little more.
_IMPAIRED_RATIO: Final = 2.5


class ItemToPlace(msgspec.Struct, frozen=True):
    """What the choice of an engine for an item depends on."""

    #: The engine that has the prompt of the item's group in its cache.
    prompt_upstream: UpstreamId | None = None
    #: Engines where the item's last run broke, failed or was moved away.
    #: They are used only if there are no other candidates.
    avoid: frozenset[UpstreamId] = frozenset()
    #: Expected number of events that the item still lacks; 0 if its length is
    #: not known.
    remaining_events: float = 0
    #: The same for the item of the step that lacks the most.
    longest_events: float = 0
    #: Whether the engine is chosen by the length of the item where engines
    #: differ in speed.
    by_length: bool = True


def place_item(
    candidates: Sequence[Upstream],
    loads: Loads,
    speeds: Speeds,
    placed: ItemToPlace,
    now: dt.timedelta,
) -> Upstream | None:
    """Return the engine for an item, or ``None`` if the item should wait.

    Parameters
    ----------
    candidates
        Engines whose weight version the job accepts.
    loads
        Load and health of the engines.
    speeds
        Event intervals of the engines.
    placed
        The item.
    now
        The monotonic time.
    """
    preferred = [one for one in candidates if one.upstream not in placed.avoid]
    free = [
        one
        for one in preferred or candidates
        if free_slots(one, loads, now) > 0
    ]
    intervals_s = [speeds.interval_s(one.upstream) for one in candidates]
    if free and placed.by_length and has_faster(intervals_s):
        limit_s = short_time_s(placed.longest_events, intervals_s)
        return _place_by_length(free, loads, speeds, placed, limit_s, now)
    with_prompt = next(
        (one for one in free if one.upstream == placed.prompt_upstream), None
    )
    if with_prompt is not None and _has_low_load(with_prompt, free, loads, now):
        return with_prompt
    return min(
        free,
        key=lambda one: (
            speeds.interval_s(one.upstream) * (1 + _load_ratio(one, loads, now))
        ),
        default=None,
    )


def has_faster(intervals_s: Collection[float]) -> bool:
    """Return whether engines of these event intervals differ in speed."""
    return bool(intervals_s) and is_slower(max(intervals_s), min(intervals_s))


def short_time_s(
    longest_events: float, intervals_s: Collection[float]
) -> float:
    """Return below which time an item is short, in seconds.

    Parameters
    ----------
    longest_events
        Expected number of events that the item of the step lacks which lacks
        the most.
    intervals_s
        Event intervals of the engines of the step, in seconds.
    """
    return longest_events * min(intervals_s, default=0) * _SHORT_SHARE


def _place_by_length(
    free: Sequence[Upstream],
    loads: Loads,
    speeds: Speeds,
    placed: ItemToPlace,
    limit_s: float,
    now: dt.timedelta,
) -> Upstream:
    """Return the engine for an item where engines differ in speed.

    Failure: short items occupy the fast engines. Symptom: the longest items
    of a step run at slow engines, and the step ends late by the difference in
    speed. A short item therefore leaves the fast engines to the long ones, as
    long as a slower engine ends it in time.

    Parameters
    ----------
    free
        Engines with a free slot; at least one.
    loads
        Load and health of the engines.
    speeds
        Event intervals of the engines.
    placed
        The item.
    limit_s
        An item is short on an engine if it takes less time there, in seconds.
    now
        The monotonic time.
    """
    where_short = [
        one
        for one in free
        if 0
        < placed.remaining_events * speeds.interval_s(one.upstream)
        < limit_s
    ]
    if where_short:
        return min(
            _slowest(_without_impaired(where_short, speeds), speeds),
            key=lambda one: (
                -free_slots(one, loads, now),
                one.upstream != placed.prompt_upstream,
            ),
        )
    return min(
        _fastest(free, speeds),
        key=lambda one: (
            loads.of(one.upstream).estimated_requests(now),
            one.upstream != placed.prompt_upstream,
        ),
    )


def _without_impaired(
    engines: Sequence[Upstream], speeds: Speeds
) -> Sequence[Upstream]:
    """Return the engines that are not far slower than the fastest one.

    Failure: an engine becomes several times as slow, and short items are sent
    there first. Symptom: they end as late as long ones.
    """
    limit_s = _IMPAIRED_RATIO * min(
        speeds.interval_s(one.upstream) for one in engines
    )
    return [
        one for one in engines if speeds.interval_s(one.upstream) <= limit_s
    ]


def _slowest(engines: Sequence[Upstream], speeds: Speeds) -> list[Upstream]:
    """Return the engines that are about as slow as the slowest one."""
    slowest_s = max(speeds.interval_s(one.upstream) for one in engines)
    return [
        one
        for one in engines
        if not is_slower(slowest_s, speeds.interval_s(one.upstream))
    ]


def _fastest(engines: Sequence[Upstream], speeds: Speeds) -> list[Upstream]:
    """Return the engines that are about as fast as the fastest one."""
    fastest_s = min(speeds.interval_s(one.upstream) for one in engines)
    return [
        one
        for one in engines
        if not is_slower(speeds.interval_s(one.upstream), fastest_s)
    ]


def _has_low_load(
    engine: Upstream,
    free: Sequence[Upstream],
    loads: Loads,
    now: dt.timedelta,
) -> bool:
    """Return whether an engine has at most one request above the minimum."""
    minimum = min(
        loads.of(one.upstream).estimated_requests(now) for one in free
    )
    return loads.of(engine.upstream).estimated_requests(now) <= minimum + 1


def free_slots(upstream: Upstream, loads: Loads, now: dt.timedelta) -> int:
    """Return how many more items may be sent to an engine now."""
    load = loads.of(upstream.upstream)
    return (
        0
        if load.is_in_backoff(now)
        else upstream.slots - load.estimated_requests(now)
    )


def _load_ratio(upstream: Upstream, loads: Loads, now: dt.timedelta) -> float:
    return loads.of(upstream.upstream).estimated_requests(now) / upstream.slots
