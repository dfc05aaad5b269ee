"""Steps for bergamotdoor.fleet.quarantine."""

from __future__ import annotations

import datetime as dt
from typing import Any

from behave import given, then
from hypothesis import given as given_cases
from hypothesis import settings, strategies

from bergamotdoor.fleet.quarantine import (
    CALL_STRIKES,
    ITEM_STRIKES,
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


def learned(strikes: list[Strike]) -> Quarantine:
    quarantine = Quarantine()
    for one in strikes:
        quarantine.add(one, NOW)
    return quarantine


def counts(strikes: list[Strike]) -> list[int]:
    quarantine = learned(strikes)
    return [quarantine.strikes(request) for request in REQUESTS]


@then('strikes in any order give each request the same count')
def any_order(_: Any) -> None:
    @settings(derandomize=True, max_examples=300, database=None, deadline=None)
    @given_cases(strategies.data())
    def check(cases: Any) -> None:
        # An upstream ends once, so one strike for each request there.
        drawn = cases.draw(
            strategies.lists(
                STRIKES, unique_by=lambda one: (one.fingerprint, one.upstream)
            )
        )
        mixed = cases.draw(strategies.permutations([*drawn, *drawn[:2]]))
        assert counts(drawn) == counts(mixed)

    check()


@given('a chain of upstreams that end under a request')
def chain(context: Any) -> None:
    context.chain = [strike(number, number) for number in range(4)]


def rests(context: Any, least: int) -> list[float]:
    return [
        learned(context.chain[:ends]).rest(REQUEST, least, NOW).total_seconds()
        for ends in range(1, 5)
    ]


@then('a call rests for 0, 5, 120 and 600 s behind the 1st to the 4th of them')
def call_rests(context: Any) -> None:
    assert rests(context, CALL_STRIKES) == [0, 5, 120, 600]


@then('an item rests for 0, 0, 5 and 120 s behind them')
def item_rests(context: Any) -> None:
    assert rests(context, ITEM_STRIKES) == [0, 0, 5, 120]


@given('three upstreams that end at once with the same request')
def at_once(context: Any) -> None:
    context.quarantine = learned([strike(number, 0) for number in range(3)])


@then('one strike is held against it')
def one_strike(context: Any) -> None:
    assert context.quarantine.strikes(REQUEST) == 1


@given('an upstream that ends under a request that is suspected and a new one')
def two_there(context: Any) -> None:
    context.quarantine = learned(
        [strike(0, 0), strike(1, 0, NEW), strike(1, 1)]
    )


@then('nothing is held against the new one')
def nothing_held(context: Any) -> None:
    assert context.quarantine.strikes(NEW) == 0
    assert context.quarantine.strikes(REQUEST) == 2


@given(
    '{count:d} upstreams that end {pause_ms:d} ms apart, all sent the request'
    ' before'
)
def one_after_another(context: Any, count: int, pause_ms: int) -> None:
    context.held = []
    quarantine = Quarantine()
    for number in range(count):
        now = NOW + dt.timedelta(milliseconds=pause_ms * number)
        upstream = UpstreamId(f'u{number}')
        quarantine.add(quarantine.next_strike(REQUEST, upstream, 0, now), now)
        context.held.append(quarantine.strikes(REQUEST))


@then('1, 2, 3 and 4 strikes are held against it behind each of them')
def held_in_turn(context: Any) -> None:
    assert context.held == [1, 2, 3, 4], context.held


@given(
    '{count:d} upstreams that end under a request beside one that is suspected'
)
def beside_suspects(context: Any, count: int) -> None:
    context.held = []
    quarantine = Quarantine()
    for number in range(count):
        quarantine.add(strike(number, 5, NEW), NOW)
        quarantine.add(strike(number, 0), NOW)
        context.held.append(quarantine.strikes(REQUEST))


@then('0, 1, 2, 3 and 4 strikes are held against it behind each of them')
def held_against(context: Any) -> None:
    assert context.held == [0, 1, 2, 3, 4], context.held


@given('{count:d} upstreams that end, each under a request of its own')
def many_end(context: Any, count: int) -> None:
    context.count = count
    context.quarantine = learned(
        [strike(one, 0, Fingerprint(str(one))) for one in range(count)]
    )


@then('at most {most:d} of them are remembered, the latest')
def bounded(context: Any, most: int) -> None:
    kept = list(context.quarantine)
    assert len(kept) == most, len(kept)
    assert kept[0].upstream == f'u{context.count - 1}', kept[0]
