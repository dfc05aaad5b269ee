"""Decides when an entry tells other entries about its requests.

Load pattern: many entries send few calls each to upstreams of six slots, and
a burst arrives at one of them. The others hear from an upstream every few
seconds, and would send their calls to the one that the burst has filled.
"""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

from bergamotdoor.fleet.known_load import MAX_FIGURE_AGE

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bergamotdoor.fleet.loads import Loads
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.types import UpstreamId

#: Minimum time between two messages of an entry, about the time that a call
#: takes. More frequent ones would tell of requests that end on the way.
_TELL_INTERVAL_MS: Final = 100
TELL_INTERVAL: Final = dt.timedelta(milliseconds=_TELL_INTERVAL_MS)
#: An upstream is worth telling of from one half of its slots in use. Below
#: that, a call finds a free slot whichever upstream is chosen.
_LEAST_FULL: Final = 2
#: A change is worth telling of from a quarter of the slots.
_LEAST_CHANGE: Final = 4


class LoadTelling:
    """Requests of this entry at busy upstreams, as the others know them."""

    def __init__(self) -> None:
        self._told: dict[UpstreamId, int] = {}
        #: Monotonic time of the last message; ``None`` before the first one.
        self._told_at: dt.timedelta | None = None

    def figures_to_tell(
        self, upstreams: Iterable[Upstream], loads: Loads, now: dt.timedelta
    ) -> dict[UpstreamId, int] | None:
        """Return what to tell now; it counts as told then.

        An upstream that is no longer half full is told of once more when its
        requests have ended. Otherwise the others would avoid it until the
        figures expire.

        Parameters
        ----------
        upstreams
            All upstreams.
        loads
            Their load as far as this entry knows.
        now
            The monotonic time.

        Returns
        -------
        dict or None
            Number of requests in flight at each busy upstream; ``None`` if
            there is nothing to tell yet.
        """
        if self._is_within(TELL_INTERVAL, now):
            return None
        # The others have dropped older figures.
        known = self._told if self._is_within(MAX_FIGURE_AGE, now) else {}
        present = {
            one.upstream: loads.of(one.upstream).in_flight
            for one in upstreams
            if known.get(one.upstream) or _is_busy(one, loads, now)
        }
        slots = {one.upstream: one.slots for one in upstreams}
        if not any(
            abs(count - known.get(name, 0)) * _LEAST_CHANGE
            >= max(slots[name], 1)
            for name, count in present.items()
        ):
            return None
        self._told = present
        self._told_at = now
        return present

    def _is_within(self, time: dt.timedelta, now: dt.timedelta) -> bool:
        """Return whether the last message is less than `time` ago."""
        return self._told_at is not None and now - self._told_at < time


def _is_busy(upstream: Upstream, loads: Loads, now: dt.timedelta) -> bool:
    """Return whether an upstream of calls is at least half full.

    Engines report their load with each item, some hundred times a second.
    """
    if upstream.versions:
        return False
    requests = loads.of(upstream.upstream).estimated_requests(now)
    return requests * _LEAST_FULL >= upstream.slots
