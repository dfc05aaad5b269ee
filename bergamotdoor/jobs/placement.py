"""Which engine runs an item.

Load pattern: a step's items arrive at once and fill the engines; several
processes place on the same engines. An engine gets no more than its slots,
as far as is known, since items that wait inside an engine can't be moved.
A group goes where its prompt is cached as long as that engine is about as
empty as the emptiest; otherwise the fastest engine is taken, and among those
alike the emptiest. A prompt that is read again costs a millisecond, a full
engine generates more slowly and puts long items back for lack of memory.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import datetime as dt
    from collections.abc import Sequence

    from bergamotdoor.fleet.loads import Loads
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.jobs.progress import Speeds
    from bergamotdoor.types import UpstreamId


def place_item(
    candidates: Sequence[Upstream],
    loads: Loads,
    speeds: Speeds,
    home: UpstreamId | None,
    avoid: frozenset[UpstreamId],
    now: dt.timedelta,
) -> Upstream | None:
    """Return the engine for an item; None if it should wait.

    Parameters
    ----------
    candidates
        Engines whose weights the job takes.
    loads
        How full they are.
    speeds
        How fast they are.
    home
        Where the prompt of the item's group is cached.
    avoid
        Where the item broke last; taken only if there is no other.
    now
        The monotonic time.
    """
    able = [one for one in candidates if one.upstream not in avoid]
    free = [
        one for one in able or candidates if free_slots(one, loads, now) > 0
    ]
    at_home = next((one for one in free if one.upstream == home), None)
    if at_home is not None and _as_empty(at_home, free, loads, now):
        return at_home
    return min(
        free,
        key=lambda one: (
            speeds.interval_s(one.upstream) * (1 + _fullness(one, loads, now))
        ),
        default=None,
    )


def _as_empty(
    home: Upstream,
    free: Sequence[Upstream],
    loads: Loads,
    now: dt.timedelta,
) -> bool:
    """Return whether an engine has no more than one item above the least."""
    least = min(loads.of(one.upstream).busy(now) for one in free)
    return loads.of(home.upstream).busy(now) <= least + 1


def free_slots(upstream: Upstream, loads: Loads, now: dt.timedelta) -> int:
    """Return how many more items an engine takes now."""
    load = loads.of(upstream.upstream)
    return 0 if load.resting(now) else upstream.slots - load.busy(now)


def _fullness(upstream: Upstream, loads: Loads, now: dt.timedelta) -> float:
    return loads.of(upstream.upstream).busy(now) / upstream.slots
