"""Steps for bergamotdoor.fleet.loads, pace and choice."""

from __future__ import annotations

import datetime as dt
from typing import Any

import hypothesis
from behave import given, then, when

from bergamotdoor.fleet.choice import select_upstream
from bergamotdoor.fleet.known_load import ReportedLoad
from bergamotdoor.fleet.loads import Loads
from bergamotdoor.fleet.pace import Pace
from bergamotdoor.platform.headers import parse_load
from bergamotdoor.types import NodeId
from features.fleet_scenes import ZONE, upstreams
from features.steps.gateway_calls_steps import set_up_site

draws = hypothesis.strategies
PACED = hypothesis.settings(
    derandomize=True, max_examples=200, deadline=None, database=None
)
USUAL_MS = 50.0


def ms(value: float) -> dt.timedelta:
    return dt.timedelta(milliseconds=value)


@then('load headers are decoded to')
def decoded(context: Any) -> None:
    for row in context.table:
        figures = [int(text) for text in row.cells[1:]]
        assert parse_load(row['header']) == ReportedLoad(*figures), row


@then('the load headers {texts} are rejected')
def headers_rejected(_: Any, texts: str) -> None:
    for text in texts.replace(' and ', ', ').split(', '):
        assert parse_load(text.strip('"')) is None, text


@given('a site whose first upstream is slow and states a pace of {pace:d}')
def paced_site(context: Any, pace: int) -> None:
    set_up_site(context)

    def prepare(site: Any) -> None:
        context.site = site
        site.services['desk-0'].pace_percent = pace

    context.plan.prepare.append(prepare)


@then('the entry knows the load and the pace of the upstream')
def pace_known(context: Any) -> None:
    entry = context.site.entries['entry-0']
    name = next(
        one.upstream
        for one in entry._context.fleet
        if one.registration == 'desk-0'
    )
    report = entry._context.loads.of(name).known.report
    assert report == ReportedLoad(1, 0, 4, 200), report


@given('two equal upstreams that respond every {gap:d} ms')
def equal_upstreams(context: Any, gap: int) -> None:
    context.gap_ms = gap
    context.now_ms = 0
    context.loads = Loads()
    context.upstreams = upstreams(2)
    respond(context, 12_000, 1)


def respond(context: Any, time_ms: int, factor: float) -> None:
    """Let both upstreams respond; the first one takes longer by `factor`.

    The response in a slow moment comes just after its beginning.
    """
    until = context.now_ms + time_ms
    while context.now_ms < until:
        for one, pace in zip(context.upstreams, (factor, 1), strict=True):
            load = context.loads.of(one.upstream)
            report = ReportedLoad(0, 0, 4, round(100 * pace))
            load.record_report(report, ms(context.now_ms))
            load.record_response(ms(USUAL_MS * pace))
        context.now_ms += context.gap_ms


def chosen(context: Any) -> str:
    found = select_upstream(
        context.upstreams, context.loads, ZONE, ms(context.now_ms)
    )
    assert found is not None
    return found.upstream


@when('the first one takes {factor:g} times the usual time for {time:d} ms')
def slow_down(context: Any, factor: float, time: int) -> None:
    assert chosen(context) == 'e0'
    respond(context, time, factor)


@then('the choice stays at the first one')
def choice_unchanged(context: Any) -> None:
    assert chosen(context) == 'e0'
    for _ in range(8):
        respond(context, 400, 1)
        assert chosen(context) == 'e0', context.now_ms


@then('the second one is chosen')
def second_chosen(context: Any) -> None:
    assert chosen(context) == 'e1'


@then('the first one is tried again after {seconds:d} s without a response')
def tried_again(context: Any, seconds: int) -> None:
    context.now_ms += seconds * 1000
    assert chosen(context) == 'e0'


@then('the averages of any paces stay within the range of the paces')
def averages_bounded(_: Any) -> None:
    samples = draws.lists(
        draws.tuples(draws.integers(0, 9000), draws.integers(0, 2000))
    )

    @PACED
    @hypothesis.given(samples)
    def check(drawn: list[tuple[int, int]]) -> None:
        pace = Pace()
        now_ms = 0
        paces = [1.0]
        for pause_ms, percent in drawn:
            now_ms += pause_ms
            pace.record(percent / 100, ms(now_ms))
            paces.append(min(max(percent / 100, 0.1), 10))
            for average in (pace.fast, pace.steady(ms(now_ms))):
                assert min(paces) - 1e-9 <= average <= max(paces) + 1e-9

    check()


@given('two upstreams of which the first takes a third of the time')
def fast_upstream(context: Any) -> None:
    context.now_ms = 0
    context.loads = Loads()
    context.upstreams = upstreams(2)
    for one, latency_ms in zip(context.upstreams, (30, 90), strict=True):
        context.loads.of(one.upstream).record_response(ms(latency_ms))
    assert chosen(context) == 'e0'


@when('another entry tells of 4 requests at the first one')
def first_full(context: Any) -> None:
    load = context.loads.of(context.upstreams[0].upstream)
    load.known.record_told(NodeId('entry-1'), 4, ms(0))


@then('the first one is chosen once both are full')
def both_full(context: Any) -> None:
    context.loads.of(context.upstreams[1].upstream).in_flight = 4
    assert chosen(context) == 'e0'
