"""Steps for the decisions about calls that wait."""

from __future__ import annotations

import datetime as dt
import functools
from collections import Counter
from statistics import median
from typing import Any

import hypothesis
from behave import given, then, when

from bergamotdoor.fleet.known_load import ReportedLoad
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
strategies = hypothesis.strategies
CALLS = strategies.builds(
    ReplayedCall,
    account=strategies.sampled_from('abcd'),
    arrived_ms=strategies.integers(0, 300),
    patience_ms=strategies.integers(20, 1500),
    priority=strategies.integers(0, 2),
    upstream_refusals=strategies.sampled_from([0, 0, 0, 1, 2]),
)


def play_load(context: Any, rates: dict[str, int]) -> None:
    """Let accounts send calls for two seconds, each at a rate per second."""
    context.replay = Replay()
    context.in_flight = []
    for index, (account, per_s) in enumerate(rates.items()):
        for number in range(2 * per_s):
            at_ms = index * 2 + number * 1000 / per_s
            context.replay.plan(ReplayedCall(account, at_ms, PATIENCE_MS))

    def observe() -> None:
        context.in_flight.append(context.replay.in_flight)

    for at_ms in range(101, 2000, 50):
        context.replay.at(at_ms, observe)
    context.replay.run()


@when('1 account sends 1000 calls a second beside 60 that send 5 a second')
def flood(context: Any) -> None:
    small = {f'small-{number}': 5 for number in range(60)}
    play_load(context, {'large': 1000, **small})


@when('20 accounts send 1440 calls a second to a service that completes 360')
def send_four_times(context: Any) -> None:
    play_load(context, {f'account-{number}': 72 for number in range(20)})


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


@then('the service is never idle meanwhile')
def never_idle(context: Any) -> None:
    assert min(context.in_flight) >= 17, context.in_flight


@then('half of the refused calls are refused within {bound_ms:d} ms')
def refused_soon(context: Any, bound_ms: int) -> None:
    calls = [one for one in context.replay.calls if one.refused_ms is not None]
    assert len(calls) > 1000
    held_ms = median(one.refused_ms - one.arrived_ms for one in calls)
    assert held_ms <= bound_ms, held_ms


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


@then('at least {count:d} are served, and no {most:d} retries come in one ms')
def retries_spread(context: Any, count: int, most: int) -> None:
    served = [call for call in context.replay.calls if call.sent_ms is not None]
    assert len(served) >= count, len(served)
    times = Counter(int(call.arrived_ms) for call in context.replay.calls)
    times.pop(1000)
    assert max(times.values()) < most, times


@when('calls of priority 0 and 1 wait for a service of 16 slots')
def two_priorities(context: Any) -> None:
    context.replay = Replay(count=1, slots=16)
    for number in range(800):
        context.replay.plan(
            ReplayedCall('a', number, 10**6, priority=number % 2)
        )
    context.replay.run(until_ms=800)


@then('one in eight of the calls that leave has priority 1')
def one_in_eight(context: Any) -> None:
    waited = [
        call.priority
        for call in context.replay.calls
        if call.sent_ms is not None and call.sent_ms > call.arrived_ms
    ]
    share = sum(waited) / len(waited)
    assert round(share * 100) in range(11, 15), (share, len(waited))


def use_room() -> RoomUse:
    return RoomUse.SENT


def find_no_room() -> RoomUse:
    return RoomUse.NO_ROOM


def queue_of(accounts: Any) -> CallQueue:
    queue = CallQueue()
    for account in accounts:
        queue.add(Ticket(AccountId(account), 0, find_no_room, print))
    return queue


@then('a call that was taken and returns is the first again, charged once')
def is_first_again(_: Any) -> None:
    queue = queue_of('abca')
    first = next(queue.in_order())
    queue.take(first)
    queue.add(first)
    assert next(queue.in_order()) is first
    queue.take(first)
    accounts = [one.account for one in queue.in_order()]
    assert accounts == ['b', 'c', 'a'], accounts


@given('an upstream of 8 slots that reports no load')
def upstream_of_eight(context: Any) -> None:
    context.loads = Loads()
    context.limits = CallLimits(context.loads)
    context.upstream = upstream(0, slots=8)


@then('its limit is 8, 6 after refusals, 7 after 1 s, and 8 after 2 s')
def limit_shrinks(context: Any) -> None:
    limits, one = context.limits, context.upstream
    found = [limits.limit(one, NOW)]
    for _ in range(3):
        limits.of(one.upstream).record_refusal(one.slots, NOW)
    found.extend(
        limits.limit(one, NOW + dt.timedelta(seconds=later_s))
        for later_s in (0, 1, 2, 9)
    )
    assert found == [8, 6, 7, 8, 8], found


@then('reports of 5 and 20 requests of others reduce the limit to 3 and 1')
def limit_by_report(context: Any) -> None:
    one = context.upstream
    found = []
    for reported in (5, 20):
        report = ReportedLoad(reported, 0, one.slots)
        context.loads.of(one.upstream).record_report(report, NOW)
        context.limits.of(one.upstream).record_report()
        found.append(context.limits.limit(one, NOW))
    assert found == [3, 1], found
    assert context.limits.with_room([one], NOW) == [one]
    context.loads.of(one.upstream).begin_request()
    context.limits.of(one.upstream).begin()
    assert not context.limits.with_room([one], NOW)


def count_hedges(budget: HedgeBudget, now: dt.timedelta) -> int:
    hedges = 0
    while budget.has_left(now):
        budget.record_hedge(now)
        hedges += 1
    return hedges


@then('50 calls in ten seconds allow 5 hedges, and 9 or none allow 1')
def five_hedges(_: Any) -> None:
    budget = HedgeBudget()
    for number in range(50):
        budget.record_call(NOW + dt.timedelta(milliseconds=number))
    later = NOW + dt.timedelta(seconds=10)
    assert [count_hedges(budget, now) for now in (NOW, later)] == [5, 1]
    few = HedgeBudget()
    for number in range(9):
        few.record_call(NOW + dt.timedelta(milliseconds=number))
    assert count_hedges(few, NOW) == 1


@then('none is sent while calls wait, nor over the budget above half load')
def no_hedges(_: Any) -> None:
    replay = Replay(count=2, slots=2)
    service_calls = replay.service_calls
    found = [service_calls.send_hedge(use_room, NOW)]
    service_calls.queue.add(next(queue_of('a').in_order()))
    found.append(service_calls.send_hedge(use_room, NOW))
    service_calls.queue.remove(next(service_calls.queue.in_order()))
    for one in replay.fleet:
        report = ReportedLoad(2, 0, 2)
        replay.loads.of(one.upstream).record_report(report, NOW)
    # The first one above half load is within the budget, the second is not.
    found.extend(service_calls.send_hedge(use_room, NOW) for _ in range(2))
    assert found == [True, False, True, False], found


def refuse(replay: Replay, number: int, at: dt.timedelta) -> Any:
    one = tuple(replay.fleet)[number]
    replay.loads.of(one.upstream).record_refusal(at)
    replay.queueing.limits.of(one.upstream).record_refusal(one.slots, at)
    return one


def has_room(replay: Replay, ms: int) -> list[Any]:
    answer_by = NOW + dt.timedelta(milliseconds=ms)
    everything = list(replay.fleet)
    return replay.service_calls.with_room(everything, NOW, answer_by)


@given('two idle upstreams of 4 slots that refused a call')
def two_refused(context: Any) -> None:
    context.replay = Replay(count=2, slots=4)
    refuse(context.replay, 0, NOW)
    context.first = refuse(context.replay, 1, NOW - dt.timedelta(0, 0, 9000))


@then('a call of {ms:d} ms is sent to the one that opens first, alone')
def sent_as_probe(context: Any, ms: int) -> None:
    assert has_room(context.replay, ms) == [context.first]
    calls = context.replay.queueing.limits.of(context.first.upstream)
    calls.begin()
    assert not has_room(context.replay, ms)
    calls.end()


@then('a call of {ms:d} ms is not, nor any while the service is half full')
def not_sent(context: Any, ms: int) -> None:
    assert not has_room(context.replay, ms)
    for one in context.replay.fleet:
        report = ReportedLoad(2, 0, 4)
        context.replay.loads.of(one.upstream).record_report(report, NOW)
    assert not has_room(context.replay, 200)


@given('an upstream that refused a call, and one that broke')
def refused_and_broken(context: Any) -> None:
    context.replay = Replay(count=2, slots=4)
    context.refused = refuse(context.replay, 0, NOW)
    context.broken = tuple(context.replay.fleet)[1]
    context.replay.loads.of(context.broken.upstream).record_failure(NOW)


@then('calls wait for the first, whose backoff is the forecast')
def wait_for_first(context: Any) -> None:
    assert not has_room(context.replay, 900)
    closed_for = context.replay.service_calls.capacity(NOW).closed_for
    assert closed_for == dt.timedelta(milliseconds=300), closed_for


@then('a call that may use only the second is sent there from the queue')
def sent_from_queue(context: Any) -> None:
    calls = context.replay.service_calls
    sent = []

    def use_second() -> RoomUse:
        sent.extend(calls.with_room([context.broken], NOW))
        return RoomUse.SENT if sent else RoomUse.NO_ROOM

    calls.queue.add(
        Ticket(AccountId('a'), 0, use_second, print, is_fresh=False)
    )
    calls.serve(NOW)
    assert sent == [context.broken], sent
    assert not calls.queue


@when('60 calls come to a service that loses its upstreams after 10 ms')
def lose_upstreams(context: Any) -> None:
    context.replay = Replay()
    for number in range(60):
        context.replay.plan(ReplayedCall('a', number / 10, PATIENCE_MS))
    for one in tuple(context.replay.fleet):
        remove = functools.partial(
            context.replay.fleet.remove, one.registration
        )
        context.replay.at(10, remove)
    context.replay.run()


@then('{count:d} calls are refused within {ms:d} ms of the loss')
def refused_after_loss(context: Any, count: int, ms: int) -> None:
    times = [one.refused_ms for one in context.replay.calls]
    refused = [at_ms for at_ms in times if at_ms is not None]
    assert len(refused) == count, times
    assert max(refused) <= 10 + ms, times


def check_invariants(calls: list[ReplayedCall], leaving: set[int]) -> None:
    replay = Replay(count=2, slots=2)
    for number, call in enumerate(calls):
        replay.plan(call)
        if number in leaving:
            leave = functools.partial(replay.leave, call)
            replay.at(call.arrived_ms + 30, leave)
    replay.run()
    assert not replay.service_calls.queue
    for one in replay.fleet:
        assert not replay.queueing.limits.of(one.upstream).in_flight
    for call in calls:
        ends = [call.sent_ms is not None, call.refused_ms is not None]
        assert sum([*ends, call.left]) == 1, call


def check_no_starvation(accounts: list[str], sent: list[str]) -> None:
    queue = queue_of(sent)
    for ticket in queue.in_order():
        queue.take(ticket)
    waiting = queue_of(accounts)
    for ticket in waiting.in_order():
        queue.add(ticket)
    order = [str(one.account) for one in queue.in_order()]
    assert sorted(order) == sorted(accounts)
    for account in set(accounts):
        # An account that has sent nothing lately is behind one call of each.
        ahead = order[: order.index(account)]
        if account not in sent:
            assert max(Counter(ahead).values(), default=0) <= 1, order


@then('{count:d} loads keep to the rules, and no account is starved')
def check_loads(_: Any, count: int) -> None:
    settings = hypothesis.settings(
        derandomize=True, max_examples=count, deadline=None, database=None
    )
    numbers = strategies.sets(strategies.integers(0, 30))
    accounts = strategies.lists(strategies.sampled_from('abcd'), max_size=20)
    many_calls = strategies.lists(CALLS, max_size=40)
    settings(hypothesis.given(many_calls, numbers)(check_invariants))()
    settings(hypothesis.given(accounts, accounts)(check_no_starvation))()
