"""Steps for bergamotdoor.observe.metrics."""

from __future__ import annotations

import datetime as dt
from typing import Any

from behave import given, then, when

from bergamotdoor.observe import metrics
from bergamotdoor.types import ServiceId
from bergamotdoor.verdict import Reason

SERVICE = ServiceId('kreol-lm')


def single_row(rows: tuple[Any, ...]) -> Any:
    assert len(rows) == 1, rows
    return rows[0]


@given('metrics with latencies of 1 to 100 ms for one stage')
def record_latencies(context: Any) -> None:
    context.metrics = metrics.Metrics()
    for value_ms in range(1, 101):
        latency = dt.timedelta(milliseconds=value_ms)
        context.metrics.record(metrics.Stage.UPSTREAM, latency, SERVICE)


@given('a count of 3 for one reason')
def count_reason(context: Any) -> None:
    context.metrics.count(Reason.OVERLOADED, SERVICE)
    context.metrics.count(Reason.OVERLOADED, SERVICE, amount=2)


@given('metrics of {count:d} different services')
def record_many_services(context: Any, count: int) -> None:
    context.metrics = metrics.Metrics()
    context.service_count = count
    for number in range(count):
        service = ServiceId(f'service-{number}')
        latency = dt.timedelta(milliseconds=1)
        context.metrics.record(metrics.Stage.TOTAL, latency, service)
        context.metrics.count(Reason.DEADLINE, service)


@given('metrics with a latency of three days and one below zero')
def record_out_of_range(context: Any) -> None:
    context.metrics = metrics.Metrics()
    for days in (3, -1):
        context.metrics.record(metrics.Stage.TOTAL, dt.timedelta(days=days))


@when('the metrics are summarised')
def summarise(context: Any) -> None:
    context.snapshot = context.metrics.snapshot()


@then('the metrics give percentiles within one percent, and the count')
def check_percentiles(context: Any) -> None:
    latency = single_row(context.snapshot.latencies)
    expected = {'p50_us': 50_000, 'p90_us': 90_000, 'max_us': 100_000}
    for field, value_us in expected.items():
        assert abs(getattr(latency, field) - value_us) <= value_us / 100
    assert (latency.service, latency.stage) == (SERVICE, 'upstream')
    counter = single_row(context.snapshot.counters)
    assert (counter.name, counter.count) == ('overloaded', 3)


@then('the metrics hold a bounded number of series and lost no measurement')
def check_bounds(context: Any) -> None:
    snapshot = context.snapshot
    assert len(snapshot.latencies) == metrics.MAX_HISTOGRAMS + 1
    assert len(snapshot.counters) == metrics.MAX_COUNTERS + 1
    for rows in (snapshot.latencies, snapshot.counters):
        assert sum(row.count for row in rows) == context.service_count
        assert metrics.OVERFLOW in {row.service for row in rows}


@then('the metrics show an hour as the longest and nothing below zero')
def check_clipped(context: Any) -> None:
    latency = single_row(context.snapshot.latencies)
    hour_us = 3_600_000_000
    assert latency.count == 2
    assert abs(latency.max_us - hour_us) < hour_us / 100
