"""Steps for the decisions about calls that wait."""

from __future__ import annotations

import datetime as dt
from collections import Counter
from statistics import median
from typing import Any

from behave import given, then, when

from bergamotdoor.fleet.loads import Loads
from bergamotdoor.queueing.call_queue import CallQueue
from bergamotdoor.queueing.hedges import HedgeBudget
from bergamotdoor.queueing.limits import CallLimits
from bergamotdoor.queueing.ticket import RoomUse, Ticket
from bergamotdoor.types import AccountId
from features.fleet_scenes import upstream
from features.queueing_scenes import Replay, ReplayedCall

PATIENCE_MS = 800
NOW = dt.timedelta(seconds=100)


def send_evenly(
    replay: Replay, account: str, per_s: int, first_ms: float = 0
) -> None:
    """Let an account send calls for two seconds."""
    for number in range(2 * per_s):
        at_ms = first_ms + number * 1000 / per_s
        call = ReplayedCall(account, at_ms, PATIENCE_MS)
        replay.plan(call)


def run_while_busy(context: Any, replay: Replay) -> None:
    context.replay = replay
    context.in_flight = []
    # The queue has filled after a tenth of a second.

    def observe() -> None:
        context.in_flight.append(replay.in_flight)

    for at_ms in range(101, 2000, 50):
        replay.at(at_ms, observe)
    replay.run()


@when('1 account sends 1000 calls a second beside 60 that send 5 a second')
def flood(context: Any) -> None:
    replay = Replay()
    send_evenly(replay, 'large', 1000)
    for number in range(60):
        send_evenly(replay, f'small-{number}', 5, first_ms=number * 3)
    run_while_busy(context, replay)


@then('each call of the 60 accounts is sent within {bound_ms:d} ms')
def small_accounts_served(context: Any, bound_ms: int) -> None:
    small = [call for call in context.replay.calls if call.account != 'large']
    waits = [
        call.sent_ms - call.arrived_ms
        for call in small
        if call.sent_ms is not None
    ]
    assert len(waits) == len(small) == 600, len(waits)
    assert max(waits) <= bound_ms, max(waits)


@then('the service is never idle while calls arrive')
@then('the service is never idle while the account floods it')
def never_idle(context: Any) -> None:
    assert min(context.in_flight) >= 17, context.in_flight


@when('20 accounts send 1440 calls a second to a service that completes 360')
def send_four_times(context: Any) -> None:
    replay = Replay()
    for number in range(20):
        send_evenly(replay, f'account-{number}', 72, first_ms=number * 0.7)
    run_while_busy(context, replay)


@then('half of the refused calls are refused within {bound_ms:d} ms')
def refused_soon(context: Any, bound_ms: int) -> None:
    held = [
        call.refused_ms - call.arrived_ms
        for call in context.replay.calls
        if call.refused_ms is not None
    ]
    assert len(held) > 1000
    assert median(held) <= bound_ms, median(held)


@when('300 callers arrive at once and each retries once when it is told')
def arrive_together(context: Any) -> None:
    context.replay = Replay()
    # Its service time is known by then.
    context.replay.plan(ReplayedCall('first', 0, PATIENCE_MS))
    for number in range(300):
        context.replay.plan(
            ReplayedCall(f'a{number}', 1000, PATIENCE_MS, retries=1)
        )
    context.replay.run()


@then('at least {count:d} of them are served')
def many_served(context: Any, count: int) -> None:
    served = [call for call in context.replay.calls if call.sent_ms is not None]
    assert len(served) >= count, len(served)


@then('no {count:d} retries arrive in the same millisecond')
def retries_spread(context: Any, count: int) -> None:
    times = Counter(int(call.arrived_ms) for call in context.replay.calls)
    times.pop(1000)
    assert max(times.values()) < count, times


@when('calls of priority 0 and 1 come to a service that has one slot')
def two_priorities(context: Any) -> None:
    context.replay = Replay(count=1, slots=16, work_ms=50)
    for number in range(400):
        for priority in (0, 1):
            context.replay.plan(ReplayedCall('a', number * 2, 10**6, priority))
    context.replay.run(until_ms=800)


@then('one in eight of the calls that leave has priority 1')
def one_in_eight(context: Any) -> None:
    waited = [
        call.priority
        for call in context.replay.calls
        if call.sent_ms is not None and call.sent_ms > call.arrived_ms
    ]
    share = sum(waited) / len(waited)
    assert round(share * 100) in range(10, 16), (share, len(waited))


def new_ticket(account: str) -> Ticket:
    return Ticket(
        AccountId(account), 0, lambda: RoomUse.NO_ROOM, lambda _: None
    )


@given('a queue with calls of three accounts')
def three_accounts(context: Any) -> None:
    context.queue = CallQueue()
    for account in ('a', 'b', 'c', 'a'):
        context.queue.add(new_ticket(account))


@when('the first call is taken and returns')
def take_and_return(context: Any) -> None:
    context.ticket = next(context.queue.in_order())
    context.queue.take(context.ticket)
    context.queue.add(context.ticket)


@then('it is the first again, and its account is charged once')
def is_first_again(context: Any) -> None:
    order = list(context.queue.in_order())
    assert order[0] is context.ticket
    context.queue.take(context.ticket)
    accounts = [one.account for one in context.queue.in_order()]
    assert accounts == ['b', 'c', 'a'], accounts


@given('an upstream of 8 slots that reports no load')
def upstream_of_eight(context: Any) -> None:
    context.loads = Loads()
    context.limits = CallLimits(context.loads)
    context.upstream = upstream(0, slots=8)


@then('its limit is 8, 6 after refusals and 8 again 2 s later')
def limit_shrinks(context: Any) -> None:
    limits, one = context.limits, context.upstream
    assert limits.limit(one, NOW) == 8
    for _ in range(3):
        limits.of(one.upstream).record_refusal(one.slots, NOW)
    assert limits.limit(one, NOW) == 6
    assert limits.limit(one, NOW + dt.timedelta(seconds=1)) == 7
    assert limits.limit(one, NOW + dt.timedelta(seconds=5)) == 8


@then('reports of 5 requests of others reduce the limit to 3')
def limit_by_report(context: Any) -> None:
    one = context.upstream
    context.loads.of(one.upstream).record_report(5, NOW)
    context.limits.of(one.upstream).record_report()
    assert context.limits.limit(one, NOW) == 3


@then('an upstream that is reported full still gets one call')
def limit_of_one(context: Any) -> None:
    one = context.upstream
    context.loads.of(one.upstream).record_report(20, NOW)
    assert context.limits.with_room([one], NOW) == [one]
    context.loads.of(one.upstream).begin_request()
    context.limits.of(one.upstream).begin()
    assert not context.limits.with_room([one], NOW)


@given('a service with 50 calls in the last ten seconds')
def fifty_calls(context: Any) -> None:
    context.hedges = HedgeBudget()
    for number in range(50):
        context.hedges.record_call(NOW + dt.timedelta(milliseconds=number))


@then('5 hedges are within the budget, and none 10 s later')
def five_hedges(context: Any) -> None:
    hedges = 0
    while context.hedges.has_left(NOW):
        context.hedges.record_hedge(NOW)
        hedges += 1
    assert hedges == 5
    assert not context.hedges.has_left(NOW + dt.timedelta(seconds=10))
