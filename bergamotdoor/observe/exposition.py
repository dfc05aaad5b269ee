"""Formats metrics as text, one series per line."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bergamotdoor.observe.call_counts import CallCounts, StoreCalls
    from bergamotdoor.observe.metrics import (
        CounterValue,
        LatencySummary,
        MetricsSnapshot,
    )

_PREFIX: Final = 'bergamotdoor'


def exposition(snapshot: MetricsSnapshot, store_calls: CallCounts) -> str:
    """Return all series as ``name{labels} value`` lines."""
    lines = [_format_counter(counter) for counter in snapshot.counters]
    lines.extend(_format_store_calls(calls) for calls in store_calls)
    lines.extend(_format_store_writes(store_calls))
    for summary in snapshot.latencies:
        lines.extend(_format_summary(summary))
    return '\n'.join((*lines, ''))


def _format_store_calls(calls: StoreCalls) -> str:
    call = calls.call.value
    labels = f'call="{call}",kind="{calls.kind}"'
    return f'{_PREFIX}_store_calls_total{{{labels}}} {calls.count}'


def _format_store_writes(calls: CallCounts) -> Iterator[str]:
    for outcome, count in calls.writes.items():
        labels = f'outcome="{outcome.value}"'
        yield f'{_PREFIX}_store_writes_total{{{labels}}} {count}'


def _format_counter(counter: CounterValue) -> str:
    labels = f'service="{counter.service}"'
    return f'{_PREFIX}_{counter.name}_total{{{labels}}} {counter.count}'


def _format_summary(summary: LatencySummary) -> Iterator[str]:
    name = f'{_PREFIX}_{summary.stage}_latency'
    labels = f'service="{summary.service}"'
    quantiles = (
        ('0.5', summary.p50_us),
        ('0.9', summary.p90_us),
        ('0.99', summary.p99_us),
        ('0.999', summary.p999_us),
        ('1', summary.max_us),
    )
    for quantile, value in quantiles:
        yield f'{name}_us{{{labels},quantile="{quantile}"}} {value}'
    yield f'{name}_count{{{labels}}} {summary.count}'
