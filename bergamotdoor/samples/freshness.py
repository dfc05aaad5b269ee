"""The current version, how often it moves, and what that asks of engines."""

from __future__ import annotations

import datetime as dt
from typing import Final

from bergamotdoor.types import WeightVersion

_SMOOTHING: Final = 0.3
#: Two publications in one instant would make every floor infinite.
_LEAST_INTERVAL: Final = dt.timedelta(seconds=1)


class Publications:
    """How often versions of a service are published; outlives steps."""

    def __init__(self) -> None:
        self._version = WeightVersion(0)
        self._published_at: dt.timedelta | None = None
        self._interval: dt.timedelta | None = None

    def note(self, version: WeightVersion, now: dt.timedelta) -> None:
        """Take a version seen as published, perhaps again.

        When the first one was published is not known, so the interval is
        measured from the second on.
        """
        if version <= self._version:
            return
        if self._published_at is not None:
            skipped = version - self._version
            self._measure((now - self._published_at) / skipped)
        if self._version:
            self._published_at = now
        self._version = version

    def expected(self, until: dt.timedelta) -> int:
        """Return how many more to expect by then; 1 while unmeasured."""
        if self._interval is None or self._published_at is None:
            return 1
        return (until - self._published_at) // self._interval

    def _measure(self, interval: dt.timedelta) -> None:
        interval = max(interval, _LEAST_INTERVAL)
        if self._interval is None:
            self._interval = interval
        else:
            self._interval += _SMOOTHING * (interval - self._interval)


class Freshness:
    """Keeps one step's view of the current version.

    Parameters
    ----------
    bound
        How many versions a sample may lag behind the current one.
    current
        The published version; 0 before the first.
    publications
        How often it moves.
    """

    def __init__(
        self, bound: int, current: WeightVersion, publications: Publications
    ) -> None:
        self.bound = bound
        self.current = current
        self._publications = publications

    def publish(self, version: WeightVersion) -> bool:
        """Take a version seen as published; return whether it is newer."""
        newer = version > self.current
        self.current = max(version, self.current)
        return newer

    def too_old(self, oldest: WeightVersion) -> bool:
        """Return whether tokens of version `oldest` break the bound."""
        return self.current - oldest > self.bound

    def floor(self, until: dt.timedelta) -> WeightVersion:
        """Return the lowest version that a new run should begin on.

        A run on the lowest version that is still allowed is wasted by the
        next publication. So the floor rises by the number of publications
        to expect before the step can be whole, up to the current version.

        Parameters
        ----------
        until
            When the step is expected to be whole, in monotonic time.
        """
        margin = min(self.bound, self._publications.expected(until))
        return WeightVersion(max(self.current - self.bound + margin, 0))
