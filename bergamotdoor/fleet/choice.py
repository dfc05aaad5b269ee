"""Which upstream gets the next request.

Load pattern: a few upstreams per service, of unequal speed, some of which
slow down when nearly full. The one that is expected to answer first gets
the request: its load over its slots, times how long its answers take. One
outside the zone costs bytes between zones and a millisecond, so it has to
be clearly better.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import datetime as dt
    from collections.abc import Collection, Iterable

    from bergamotdoor.fleet.loads import Loads
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.types import UpstreamId, ZoneId

#: What an upstream outside the zone must be better by.
_DETOUR: Final = 1.15
#: Assumed for an upstream that was never measured.
_UNKNOWN_LATENCY_S: Final = 0.03


def fastest(
    candidates: Iterable[Upstream],
    loads: Loads,
    zone: ZoneId,
    now: dt.timedelta,
    avoid: Collection[UpstreamId] = (),
) -> Upstream | None:
    """Return the upstream that is expected to answer first.

    Upstreams that rest or are to be avoided are taken only if there is no
    other; None if there is none at all.
    """
    ranked = sorted(
        candidates, key=lambda upstream: _cost(upstream, loads, zone, now)
    )
    able = [one for one in ranked if one.upstream not in avoid]
    rested = [one for one in able if not loads.of(one.upstream).resting(now)]
    return next(iter(rested or able or ranked), None)


def _cost(
    upstream: Upstream, loads: Loads, zone: ZoneId, now: dt.timedelta
) -> float:
    load = loads.of(upstream.upstream)
    fullness = (load.busy(now) + 1) / upstream.slots
    latency_s = load.latency_s or _UNKNOWN_LATENCY_S
    detour = 1 if upstream.zone == zone else _DETOUR
    return latency_s * detour * (1 + fullness)
