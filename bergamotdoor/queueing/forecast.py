"""Forecast of the wait of calls, and of the time until a retry is useful.

Load pattern: more calls arrive than a service completes, and all callers that
were refused retry at the same moment.
"""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.fleet.loads import REFUSAL_BACKOFF

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from bergamotdoor.fleet.loads import Loads
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.queueing.limits import CallLimits

_NO_TIME: Final = dt.timedelta()
#: Latency before the first measurement.
_DEFAULT_LATENCY_S: Final = 0.03
_MIN_RETRY_DELAY_MS: Final = 100
_MIN_RETRY_DELAY: Final = dt.timedelta(milliseconds=_MIN_RETRY_DELAY_MS)
#: The retries of calls that were refused together are spread over this share
#: of their delay, so that they do not arrive together.
_RETRY_SPREAD: Final = 0.5


class Capacity(msgspec.Struct, frozen=True):
    """How fast this process can have calls of a service completed."""

    #: Number of calls that it may have in flight.
    slots: int
    #: Mean time for which a call uses a slot.
    service_time: dt.timedelta
    #: Time until the first upstream takes calls.
    closed_for: dt.timedelta = _NO_TIME
    #: Whether calls that have less time are sent one at a time meanwhile.
    has_probes: bool = False

    def wait(self, calls_ahead: int) -> dt.timedelta:
        """Return the forecast wait of a call behind others."""
        busy_for = self.service_time * calls_ahead / max(self.slots, 1)
        wait = self.closed_for + busy_for
        if self.has_probes:
            return min(wait, self.service_time * (calls_ahead + 1))
        return wait


def measure_capacity(
    upstreams: Sequence[Upstream],
    limits: CallLimits,
    service_time: dt.timedelta,
    now: dt.timedelta,
) -> Capacity:
    """Return the capacity that this process may use.

    Slots that are in use by others do not count: calls of this process do
    not leave its queue through them.

    Parameters
    ----------
    upstreams
        Upstreams of the service that accept new requests.
    limits
        Limits of the calls at each upstream.
    service_time
        Mean time for which a call uses a slot.
    now
        The monotonic time.
    """
    available = limits.open_upstreams(upstreams, now)
    if available:
        slots = sum(limits.limit(one, now) for one in available)
        return Capacity(slots, service_time)
    refused = limits.refused(upstreams, now)
    opens_at = min(
        (limits.of(one.upstream).closed_until for one in refused),
        default=now + REFUSAL_BACKOFF,
    )
    slots = sum(limits.limit(one, now) for one in upstreams)
    return Capacity(
        slots,
        service_time,
        max(opens_at - now, _NO_TIME),
        bool(refused) and limits.is_idle(upstreams, now),
    )


def usual_latency(upstreams: Iterable[Upstream], loads: Loads) -> dt.timedelta:
    """Return the mean latency of upstreams; a default while unmeasured."""
    known = [
        latency_s
        for one in upstreams
        if (latency_s := loads.of(one.upstream).latency_s)
    ]
    mean_s = sum(known) / len(known) if known else _DEFAULT_LATENCY_S
    return dt.timedelta(seconds=mean_s)


def retry_delay(wait: dt.timedelta, draw: float) -> dt.timedelta:
    """Return the delay after which a refused caller may retry.

    Parameters
    ----------
    wait
        The forecast time until there is room.
    draw
        Random number in [0, 1).
    """
    return max(wait, _MIN_RETRY_DELAY) * (1 + _RETRY_SPREAD * draw)
