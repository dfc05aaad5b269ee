"""Pace of an upstream's VM, as averages over a short and a long time.

Load pattern: the time that work takes on a VM changes many times a second,
and an upstream states it in a response every few milliseconds or every few
seconds. Upstreams are chosen by the pace of the last seconds, since a slow
moment is over before a request that avoids it has ended. Operators are shown
the pace of the moment.
"""

from __future__ import annotations

import datetime as dt
import math
from typing import Final

#: Time scale of the fast average, a little longer than one call takes.
_FAST_S: Final = 0.3
#: Time scale of the slow average. A moment of 600 ms counts in it with a
#: ninth of its size.
_SLOW_S: Final = 5
#: A sample says nothing about an earlier or later time than this, as a load
#: report is used for as long.
_MAX_SAMPLE_TIME: Final = dt.timedelta(seconds=2)
#: A pace within this factor of the usual one counts as usual. A moment of
#: 600 ms at 2.5 times the usual time changes the slow average by a factor of
#: 1.17.
_LEAST_FACTOR: Final = 1.2
#: Bounds of a sample; a pace of zero would make all work free.
_LOWEST: Final = 0.1
_HIGHEST: Final = 10.0
_USUAL: Final = 1.0


class Pace:
    """Time that work takes at an upstream, as a factor on the usual time."""

    def __init__(self) -> None:
        #: The newest sample.
        self.newest = _USUAL
        #: Average over the last 0.3 s.
        self.fast = _USUAL
        self._slow = _USUAL
        #: Monotonic time of the newest sample; ``None`` before the first one.
        self._recorded_at: dt.timedelta | None = None

    def record(self, sample: float, now: dt.timedelta) -> None:
        """Add a sample to both averages.

        Failure: samples are seconds apart, and one is taken in a slow moment.
        Symptom: if it counted for the whole time since the previous sample,
        a moment would seem to have lasted for seconds, and the upstream would
        be avoided. In the slow average, the time between two samples
        therefore changes only what both of them agree on.

        Parameters
        ----------
        sample
            The stated pace, as a factor on the usual time.
        now
            The monotonic time of the sample.
        """
        bounded = min(max(sample, _LOWEST), _HIGHEST)
        if self._recorded_at is None:
            self.fast = bounded
        else:
            took = min(
                max(now - self._recorded_at, dt.timedelta()), _MAX_SAMPLE_TIME
            )
            agreed = sorted((self.newest, bounded, self._slow))[1]
            self.fast += _weight(took, _FAST_S) * (bounded - self.fast)
            self._slow += _weight(took, _SLOW_S) * (agreed - self._slow)
        self.newest = bounded
        self._recorded_at = now

    def steady(self, now: dt.timedelta) -> float:
        """Return the pace of the last seconds, 1 if it is about the usual one.

        Without samples it returns to 1, so that an upstream that got no
        requests since it was slow is tried again.

        Parameters
        ----------
        now
            The monotonic time.
        """
        if self._recorded_at is None:
            return _USUAL
        silent = max(now - self._recorded_at - _MAX_SAMPLE_TIME, dt.timedelta())
        kept = 1 - _weight(silent, _SLOW_S)
        pace = _USUAL + kept * (self._slow - _USUAL)
        is_usual = _USUAL / _LEAST_FACTOR < pace < _USUAL * _LEAST_FACTOR
        return _USUAL if is_usual else pace


def _weight(took: dt.timedelta, scale_s: float) -> float:
    """Return the weight of a time in an exponential average."""
    return -math.expm1(-took.total_seconds() / scale_s)
