"""Choice of the engine that runs an item.

Load pattern: the items of a step arrive together and fill the engines, and
several processes place items on the same engines. An engine receives no more
items than it has slots, as far as this process knows its load, since an item
that waits inside an engine cannot be moved.

A group runs where its prompt is cached, as long as that engine has about as
few requests as the least loaded one. Otherwise the fastest engine is chosen,
and of equally fast ones the least loaded. Reading a prompt again costs a
millisecond. A full engine is worse: it generates more slowly, and preempts
long items when it runs out of memory.
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
    prompt_upstream: UpstreamId | None,
    avoid: frozenset[UpstreamId],
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
    prompt_upstream
        The engine that has the prompt of the item's group in its cache.
    avoid
        Engines where the item's last run broke, failed or was moved away.
        They are used only if there are no other candidates.
    now
        The monotonic time.
    """
    preferred = [one for one in candidates if one.upstream not in avoid]
    free = [
        one
        for one in preferred or candidates
        if free_slots(one, loads, now) > 0
    ]
    with_prompt = next(
        (one for one in free if one.upstream == prompt_upstream), None
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
