"""Steps for the attempts of one call."""

from __future__ import annotations

import datetime as dt
from typing import Any, NamedTuple

import hypothesis
from behave import given, then

from bergamotdoor.calls.attempts import CallAttempts, CallRules
from bergamotdoor.fleet.loads import Loads
from bergamotdoor.verdict import Verdict
from features.fleet_scenes import ZONE, upstreams

NOW = dt.timedelta(seconds=100)
DEADLINE = NOW + dt.timedelta(seconds=1)


def rules(repeatable: bool, max_attempts: int = 2) -> CallRules:
    return CallRules(
        repeatable=repeatable,
        idempotent=repeatable,
        max_attempts=max_attempts,
        hedge_delay=dt.timedelta(milliseconds=100),
        deadline=DEADLINE,
    )


class Event(NamedTuple):
    """One event of a history: perhaps an attempt ends, then time passes."""

    passes_ms: int
    #: How an attempt in flight ends; ``None`` if none ends.
    verdict: Verdict | None


strategies = hypothesis.strategies
EVENTS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 200),
        strategies.sampled_from([None, *Verdict]),
    ).map(lambda drawn: Event(*drawn)),
    max_size=20,
)


def check_history(
    repeatable: bool, max_attempts: int, count: int, events: list[Event]
) -> None:
    """Check one history, with an attempt begun whenever it is allowed."""
    attempts = CallAttempts(rules(repeatable, max_attempts), ZONE)
    loads = Loads()
    now = NOW
    tried: list[str] = []
    running = 0
    ran = 0
    for event in events:
        upstream = attempts.begin_attempt(upstreams(count), loads, now)
        if upstream is not None:
            assert upstream.upstream not in tried, tried
            assert now < DEADLINE
            assert repeatable or (not ran and not running)
            tried.append(upstream.upstream)
            running += 1
        assert running + ran <= max_attempts
        assert attempts.wait_time(now) >= dt.timedelta()
        if event.verdict is not None and running:
            attempts.end_attempt(event.verdict)
            running -= 1
            ran += event.verdict is not Verdict.NOT_RUN
        has_not_run = not ran and not running
        assert (attempts.verdict is Verdict.NOT_RUN) == has_not_run
        now += dt.timedelta(milliseconds=event.passes_ms)


@then('{count:d} histories of a call keep to the rules of its route')
def check_histories(context: Any, count: int) -> None:
    settings = hypothesis.settings(
        derandomize=True, max_examples=count, deadline=None, database=None
    )
    settings(
        hypothesis.given(
            strategies.booleans(),
            strategies.integers(1, 4),
            strategies.integers(0, 5),
            EVENTS,
        )(check_history)
    )()


@given('two upstreams and a call with a hedge delay of 100 ms')
def two_upstreams(context: Any) -> None:
    context.upstreams = upstreams(2)


def begin_first_attempt(context: Any, repeatable: bool) -> CallAttempts:
    attempts = CallAttempts(rules(repeatable), ZONE)
    assert attempts.begin_attempt(context.upstreams, Loads(), NOW) is not None
    return attempts


@then('an idempotent call waits 100 ms before it is sent to the second')
def check_hedge(context: Any) -> None:
    attempts = begin_first_attempt(context, repeatable=True)
    assert attempts.wait_time(NOW) == dt.timedelta(milliseconds=100)
    assert attempts.begin_attempt(context.upstreams, Loads(), NOW) is not None


@then('a call that may run once waits for the first to its deadline')
def check_no_hedge(context: Any) -> None:
    attempts = begin_first_attempt(context, repeatable=False)
    assert attempts.wait_time(NOW) == attempts.time_left(NOW)
    assert attempts.begin_attempt(context.upstreams, Loads(), NOW) is None


@then('a call that may run once is sent on after a refusal')
def check_sent_on(context: Any) -> None:
    attempts = begin_first_attempt(context, repeatable=False)
    attempts.end_attempt(Verdict.NOT_RUN)
    assert attempts.begin_attempt(context.upstreams, Loads(), NOW) is not None


@then('it is not sent on after a broken answer')
def check_not_sent_on(context: Any) -> None:
    attempts = begin_first_attempt(context, repeatable=False)
    attempts.end_attempt(Verdict.MAY_HAVE_RUN)
    assert attempts.begin_attempt(context.upstreams, Loads(), NOW) is None
    assert attempts.verdict is Verdict.MAY_HAVE_RUN
