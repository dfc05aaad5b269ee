"""Selection of the upstream for the next request.

Load pattern: a service has a few upstreams of unequal speed, and some of
them slow down when nearly full. A request is sent to the upstream that is
expected to answer first, estimated from its usual latency, from the pace of
its VM in the last seconds and from the share of its slots in use. A request
to another availability zone costs traffic between zones and a millisecond of
latency, so an upstream there is selected only if it is clearly better.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import datetime as dt
    from collections.abc import Collection, Iterable

    from bergamotdoor.fleet.loads import Loads
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.types import UpstreamId, ZoneId

#: Factor on the expected latency of an upstream in another zone.
_CROSS_ZONE_FACTOR: Final = 1.15
#: Latency of an upstream for which there is no measurement yet.
_DEFAULT_LATENCY_S: Final = 0.03


def select_upstream(
    candidates: Iterable[Upstream],
    loads: Loads,
    zone: ZoneId,
    now: dt.timedelta,
    avoid: Collection[UpstreamId] = (),
) -> Upstream | None:
    """Return the upstream that is expected to answer first.

    Candidates that are neither in `avoid` nor in backoff are preferred, among
    them those with a free slot, then those that are in backoff, then those in
    `avoid`.

    Parameters
    ----------
    candidates
        Upstreams that may get the request.
    loads
        Load and latency of each upstream.
    zone
        Availability zone of this process.
    now
        The monotonic time.
    avoid
        Upstreams that are selected only if there is no other.

    Returns
    -------
    Upstream or None
        ``None`` if there are no candidates.
    """
    ranked = sorted(
        candidates, key=lambda upstream: _cost(upstream, loads, zone, now)
    )
    preferred = [one for one in ranked if one.upstream not in avoid]
    available = [
        one
        for one in preferred
        if not loads.of(one.upstream).is_in_backoff(now)
    ]
    with_room = [one for one in available if _has_room(one, loads, now)]
    return next(iter(with_room or available or preferred or ranked), None)


def _has_room(upstream: Upstream, loads: Loads, now: dt.timedelta) -> bool:
    """Return whether an upstream has a free slot as far as is known.

    Failure: the fastest upstream is full, and its expected latency is still
    the lowest. Symptom: calls are sent there and refused, each on a
    connection of its own.
    """
    return loads.of(upstream.upstream).estimated_requests(now) < upstream.slots


def _cost(
    upstream: Upstream, loads: Loads, zone: ZoneId, now: dt.timedelta
) -> float:
    """Return the expected latency in seconds, with the zone's factor."""
    load = loads.of(upstream.upstream)
    utilization = (load.estimated_requests(now) + 1) / upstream.slots
    usual_s = load.latency_s or _DEFAULT_LATENCY_S
    latency_s = usual_s * load.known.pace.steady(now)
    zone_factor = 1 if upstream.zone == zone else _CROSS_ZONE_FACTOR
    return latency_s * zone_factor * (1 + utilization)
