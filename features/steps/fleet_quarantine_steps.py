"""Steps for bergamotdoor.fleet.quarantine."""

from __future__ import annotations

import datetime as dt
from typing import Any

from behave import given, then, when
from hypothesis import given as given_cases
from hypothesis import settings, strategies

from bergamotdoor.fleet.quarantine import (
    CALL_STRIKE_LIMIT,
    Quarantine,
    Strike,
)
from bergamotdoor.types import Fingerprint, UpstreamId

NOW = dt.timedelta(seconds=100)
REQUEST = Fingerprint('suspected')
NEW = Fingerprint('new')
REQUESTS = [Fingerprint(name) for name in 'abcd']
STRIKES = strategies.builds(
    Strike,
    strategies.sampled_from(REQUESTS),
    strategies.sampled_from([UpstreamId(f'u{number}') for number in range(6)]),
    strategies.integers(0, 3),
)


def strike(number: int, before: int, request: Fingerprint = REQUEST) -> Strike:
    return Strike(request, UpstreamId(f'u{number}'), before)


def quarantine_of(strikes: list[Strike]) -> Quarantine:
    quarantine = Quarantine()
    for one in strikes:
        quarantine.add(one, NOW)
    return quarantine


def counts(strikes: list[Strike]) -> list[int]:
    quarantine = quarantine_of(strikes)
    return [quarantine.count_strikes(request) for request in REQUESTS]


@then('strikes in any order give each request the same count')
def check_any_order(_: Any) -> None:
    @settings(derandomize=True, max_examples=300, database=None, deadline=None)
    @given_cases(strategies.data())
    def check(cases: Any) -> None:
        # An upstream crashes once, so a request has one strike of it at most.
        drawn = cases.draw(
            strategies.lists(
                STRIKES, unique_by=lambda one: (one.fingerprint, one.upstream)
            )
        )
        shuffled = cases.draw(strategies.permutations([*drawn, *drawn[:2]]))
        assert counts(drawn) == counts(shuffled)

    check()


@given('a chain of upstreams that crash while they run a request')
def crash_chain(context: Any) -> None:
    context.chain = [strike(number, number) for number in range(4)]


def quarantine_times_s(context: Any) -> list[float]:
    return [
        quarantine_of(context.chain[:crashes])
        .remaining_time(REQUEST, CALL_STRIKE_LIMIT, NOW)
        .total_seconds()
        for crashes in range(1, 5)
    ]


@then('a call is quarantined for 0, 5, 120 and 600 s after crashes 1 to 4')
def check_call_times(context: Any) -> None:
    assert quarantine_times_s(context) == [0, 5, 120, 600]


@given('three upstreams that crash at the same time with the same request')
def crash_together(context: Any) -> None:
    context.quarantine = quarantine_of(
        [strike(number, 0) for number in range(3)]
    )


@then('the request has one strike')
def check_one_strike(context: Any) -> None:
    assert context.quarantine.count_strikes(REQUEST) == 1


@given('an upstream that crashes while it runs a suspected and a new request')
def crash_with_two_requests(context: Any) -> None:
    context.quarantine = quarantine_of(
        [strike(0, 0), strike(1, 0, NEW), strike(1, 1)]
    )


@then('the new request has no strikes')
def check_no_strikes(context: Any) -> None:
    assert context.quarantine.count_strikes(NEW) == 0
    assert context.quarantine.count_strikes(REQUEST) == 2


@given(
    '{count:d} upstreams that crash {pause_ms:d} ms apart, and got the request'
    ' before that'
)
def crash_in_turn(context: Any, count: int, pause_ms: int) -> None:
    context.strike_counts = []
    quarantine = Quarantine()
    for number in range(count):
        now = NOW + dt.timedelta(milliseconds=pause_ms * number)
        upstream = UpstreamId(f'u{number}')
        quarantine.add(quarantine.next_strike(REQUEST, upstream, 0, now), now)
        context.strike_counts.append(quarantine.count_strikes(REQUEST))


@then('the request has 1, 2, 3 and 4 strikes after crashes 1 to 4')
def check_strikes_in_turn(context: Any) -> None:
    assert context.strike_counts == [1, 2, 3, 4], context.strike_counts


@given(
    '{count:d} upstreams that crash while they run a request and a suspected'
    ' one'
)
def crash_beside_suspect(context: Any, count: int) -> None:
    context.strike_counts = []
    quarantine = Quarantine()
    for number in range(count):
        quarantine.add(strike(number, 5, NEW), NOW)
        quarantine.add(strike(number, 0), NOW)
        context.strike_counts.append(quarantine.count_strikes(REQUEST))


@then('the request has 0, 1, 2, 3 and 4 strikes after crashes 1 to 5')
def check_strikes_beside_suspect(context: Any) -> None:
    assert context.strike_counts == [0, 1, 2, 3, 4], context.strike_counts


@given(
    '{count:d} upstreams that crash at once while they run a request in copies'
)
def crash_under_copies(context: Any, count: int) -> None:
    context.quarantine = quarantine_of(
        [strike(number, 0) for number in range(count)]
    )


@given('some of them also run another request')
def crash_beside_copies(context: Any) -> None:
    for number in range(2):
        context.quarantine.add(strike(number, 0, NEW), NOW)


@when('one more upstream crashes while it runs both')
def crash_once_more(context: Any) -> None:
    context.before = strike_counts(context.quarantine)
    context.quarantine.add(strike(9, 1), NOW)
    context.quarantine.add(strike(9, 1, NEW), NOW)
    context.after = strike_counts(context.quarantine)


def strike_counts(quarantine: Quarantine) -> tuple[int, int]:
    return quarantine.count_strikes(REQUEST), quarantine.count_strikes(NEW)


@then('the request has 1 strike before and 3 after it, the other one 1 and 2')
def check_confirmed(context: Any) -> None:
    assert (context.before, context.after) == ((1, 1), (3, 2)), (
        context.before,
        context.after,
    )


@given('a request that is held back after a chain of {count:d} crashes')
def hold_back(context: Any, count: int) -> None:
    context.quarantine = quarantine_of(
        [strike(number, number) for number in range(count)]
    )
    assert context.quarantine.remaining_time(REQUEST, CALL_STRIKE_LIMIT, NOW)


@when('strikes of a longer chain at the third upstream arrive')
def add_longer_chain(context: Any) -> None:
    for number in range(2, 6):
        context.quarantine.add(strike(number, 5, NEW), NOW)


@then('it keeps {count:d} strikes until an upstream answers it')
def check_kept(context: Any, count: int) -> None:
    assert context.quarantine.count_strikes(REQUEST) < count
    assert context.quarantine.known_strikes(REQUEST) == count
    context.quarantine.clear_strikes(REQUEST)
    assert not context.quarantine.known_strikes(REQUEST)


@given('{count:d} upstreams that crash, each with a request of its own')
def many_crashes(context: Any, count: int) -> None:
    context.count = count
    context.quarantine = quarantine_of(
        [strike(one, 0, Fingerprint(str(one))) for one in range(count)]
    )


@then('at most {maximum:d} of them are kept, the latest')
def check_bound(context: Any, maximum: int) -> None:
    kept = list(context.quarantine)
    assert len(kept) == maximum, len(kept)
    assert kept[0].upstream == f'u{context.count - 1}', kept[0]
