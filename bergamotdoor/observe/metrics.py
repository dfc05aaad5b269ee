"""Latencies as histograms, and counters, in bounded memory."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Final, NamedTuple

import msgspec

from bergamotdoor.types import ServiceId

if TYPE_CHECKING:
    import datetime as dt

    from hdrh.histogram import HdrHistogram

#: Stands for a part of the process that serves no single service.
NO_SERVICE: Final = ServiceId('')
#: Where series beyond the bound are kept together.
OVERFLOW: Final = ServiceId('(other)')
#: A histogram takes about 20 KB, so 64 of them 1.3 MB.
MAX_HISTOGRAMS: Final = 64
MAX_COUNTERS: Final = 1024

_US_PER_SECOND: Final = 1_000_000
#: The histograms' range; what is longer counts as the longest.
_LOWEST_US: Final = 100
_HIGHEST_US: Final = 3_600_000_000
_SIGNIFICANT_DIGITS: Final = 2
_PERCENTILES: Final = (50, 90, 99, 99.9)


class Stage(enum.Enum):
    """The parts of a request's way that are timed everywhere."""

    #: From the caller's request to its whole answer.
    TOTAL = 'total'
    #: The upstream itself, seen by an entry.
    UPSTREAM = 'upstream'
    #: From a job's taking by its owner to its end.
    STEP = 'step'


class _Key(NamedTuple):
    """What a series measures; `name` is any enumeration's member."""

    service: ServiceId
    name: enum.Enum


class LatencySummary(msgspec.Struct, frozen=True):
    """The latencies of one stage of one service since the start."""

    service: ServiceId
    stage: str
    count: int
    p50_us: int
    p90_us: int
    p99_us: int
    p999_us: int
    max_us: int


class CounterValue(msgspec.Struct, frozen=True):
    """How often something happened since the start."""

    service: ServiceId
    name: str
    count: int


class MetricsSnapshot(msgspec.Struct, frozen=True):
    """All series of a process at one moment, ordered by name."""

    latencies: tuple[LatencySummary, ...]
    counters: tuple[CounterValue, ...]


class Metrics:
    """Collects the measurements of one process.

    Series are named by members of enumerations, such as ``Stage`` or
    ``verdict.Reason``, so each part brings its own names. Past the
    bounds, further services share the series of ``OVERFLOW``: a flood of
    names costs detail, not memory.
    """

    def __init__(self) -> None:
        self._histograms: dict[_Key, HdrHistogram] = {}
        self._counters: dict[_Key, int] = {}

    def record(
        self,
        stage: enum.Enum,
        latency: dt.timedelta,
        service: ServiceId = NO_SERVICE,
    ) -> None:
        """Add one latency; takes about 4 us."""
        histogram = self._histograms.get(_Key(service, stage))
        if histogram is None:
            histogram = self._new_histogram(_Key(service, stage))
        latency_us = latency.microseconds + latency.seconds * _US_PER_SECOND
        if latency.days:
            latency_us = _HIGHEST_US if latency.days > 0 else 0
        histogram.record_value(min(latency_us, _HIGHEST_US))

    def count(
        self,
        name: enum.Enum,
        service: ServiceId = NO_SERVICE,
        amount: int = 1,
    ) -> None:
        """Add to a counter."""
        key = _Key(service, name)
        if key not in self._counters and len(self._counters) >= MAX_COUNTERS:
            key = _Key(OVERFLOW, name)
        self._counters[key] = self._counters.get(key, 0) + amount

    def snapshot(self) -> MetricsSnapshot:
        """Summarise everything; takes about 0.2 ms per histogram."""
        latencies = [
            _summary(key, histogram)
            for key, histogram in self._histograms.items()
        ]
        counters = [
            CounterValue(key.service, _text(key.name), count)
            for key, count in self._counters.items()
        ]
        return MetricsSnapshot(
            tuple(sorted(latencies, key=lambda row: (row.service, row.stage))),
            tuple(sorted(counters, key=lambda row: (row.service, row.name))),
        )

    def _new_histogram(self, key: _Key) -> HdrHistogram:
        if len(self._histograms) >= MAX_HISTOGRAMS:
            key = _Key(OVERFLOW, key.name)
        found = self._histograms.get(key)
        if found is None:
            found = _empty_histogram()
            self._histograms[key] = found
        return found


def _empty_histogram() -> HdrHistogram:
    # Imported late: a process that records nothing doesn't pay for it.
    from hdrh.histogram import HdrHistogram

    return HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)


def _summary(key: _Key, histogram: HdrHistogram) -> LatencySummary:
    by_rank = histogram.get_percentile_to_value_dict(_PERCENTILES)
    p50_us, p90_us, p99_us, p999_us = (int(by_rank[rank]) for rank in by_rank)
    return LatencySummary(
        key.service,
        _text(key.name),
        histogram.get_total_count(),
        p50_us,
        p90_us,
        p99_us,
        p999_us,
        int(histogram.get_max_value()),
    )


def _text(name: enum.Enum) -> str:
    return str(name.value)
