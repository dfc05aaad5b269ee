"""Latency histograms and counters that use bounded memory."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Final, NamedTuple

import msgspec

from bergamotdoor.types import ServiceId

if TYPE_CHECKING:
    import datetime as dt

    from hdrh.histogram import HdrHistogram

#: The service of measurements that belong to no single service.
NO_SERVICE: Final = ServiceId('')
#: The service under which series beyond the bounds are counted together.
OVERFLOW: Final = ServiceId('(other)')
#: A histogram takes about 20 KB, so 64 of them 1.3 MB.
MAX_HISTOGRAMS: Final = 64
MAX_COUNTERS: Final = 1024

_US_PER_SECOND: Final = 1_000_000
#: The range of the histograms; a longer latency counts as the highest one.
_LOWEST_US: Final = 100
_HIGHEST_US: Final = 3_600_000_000
_SIGNIFICANT_DIGITS: Final = 2
_PERCENTILES: Final = (50, 90, 99, 99.9)


class Stage(enum.Enum):
    """Stages of processing whose latency is measured."""

    #: From the caller's request to the end of the response.
    TOTAL = 'total'
    #: The time that the upstream takes, measured by an entry.
    UPSTREAM = 'upstream'
    #: The time that a call waits for room at an upstream.
    QUEUED = 'queued'
    #: From the claim of a job by its owner to the job's end.
    STEP = 'step'
    #: The age of the newest load figure of the upstream chosen for a call.
    LOAD_AGE = 'load_age'


class _SeriesKey(NamedTuple):
    """Key of a series; `name` is a member of any enumeration."""

    service: ServiceId
    name: enum.Enum


class LatencySummary(msgspec.Struct, frozen=True):
    """Latencies of one stage of one service since the start."""

    service: ServiceId
    stage: str
    count: int
    p50_us: int
    p90_us: int
    p99_us: int
    p999_us: int
    max_us: int


class CounterValue(msgspec.Struct, frozen=True):
    """Number of times that an event occurred since the start."""

    service: ServiceId
    name: str
    count: int


class MetricsSnapshot(msgspec.Struct, frozen=True):
    """All series of a process at one moment, sorted by service and name."""

    latencies: tuple[LatencySummary, ...]
    counters: tuple[CounterValue, ...]


class Metrics:
    """Collects the measurements of one process.

    Series are named by members of enumerations, such as ``Stage`` or
    ``verdict.Reason``, so each part of the process defines its own names.
    Beyond the bounds, further services share series of the service
    ``(other)``: very many names of services lose detail, but don't use more
    memory.
    """

    def __init__(self) -> None:
        self._histograms: dict[_SeriesKey, HdrHistogram] = {}
        self._counters: dict[_SeriesKey, int] = {}

    def record(
        self,
        stage: enum.Enum,
        latency: dt.timedelta,
        service: ServiceId = NO_SERVICE,
    ) -> None:
        """Add one latency; takes about 4 us."""
        histogram = self._histograms.get(_SeriesKey(service, stage))
        if histogram is None:
            histogram = self._add_histogram(_SeriesKey(service, stage))
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
        """Add `amount` to a counter."""
        key = _SeriesKey(service, name)
        if key not in self._counters and len(self._counters) >= MAX_COUNTERS:
            key = _SeriesKey(OVERFLOW, name)
        self._counters[key] = self._counters.get(key, 0) + amount

    def snapshot(self) -> MetricsSnapshot:
        """Summarise all series; takes about 0.2 ms per histogram."""
        latencies = [
            _summarise_latencies(key, histogram)
            for key, histogram in self._histograms.items()
        ]
        counters = [
            CounterValue(key.service, _enum_text(key.name), count)
            for key, count in self._counters.items()
        ]
        return MetricsSnapshot(
            tuple(sorted(latencies, key=lambda row: (row.service, row.stage))),
            tuple(sorted(counters, key=lambda row: (row.service, row.name))),
        )

    def _add_histogram(self, key: _SeriesKey) -> HdrHistogram:
        if len(self._histograms) >= MAX_HISTOGRAMS:
            key = _SeriesKey(OVERFLOW, key.name)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = _empty_histogram()
            self._histograms[key] = histogram
        return histogram


def _empty_histogram() -> HdrHistogram:
    # Imported here: a process that records nothing doesn't load it.
    from hdrh.histogram import HdrHistogram

    return HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)


def _summarise_latencies(
    key: _SeriesKey, histogram: HdrHistogram
) -> LatencySummary:
    values_us = histogram.get_percentile_to_value_dict(_PERCENTILES)
    p50_us, p90_us, p99_us, p999_us = (
        int(values_us[percentile]) for percentile in values_us
    )
    return LatencySummary(
        key.service,
        _enum_text(key.name),
        histogram.get_total_count(),
        p50_us,
        p90_us,
        p99_us,
        p999_us,
        int(histogram.get_max_value()),
    )


def _enum_text(name: enum.Enum) -> str:
    return str(name.value)
