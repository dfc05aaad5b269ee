"""Steps for bergamotdoor.jobs and bergamotdoor.fleet.loads."""

from __future__ import annotations

import datetime as dt
from typing import Any

import msgspec
from behave import given, then, when

from bergamotdoor.fleet.loads import Loads, UpstreamLoad
from bergamotdoor.jobs import (
    GeneratedEvent,
    ItemQueue,
    ItemToPlace,
    JobSpec,
    MoveReason,
    Progress,
    Reservations,
    RunEnd,
    Speeds,
    Transcript,
    choose_moves,
    free_slots,
    place_item,
)
from bergamotdoor.jobs.ledger import Ledger
from bergamotdoor.jobs.messages import ItemSpec, ItemState
from bergamotdoor.types import (
    GroupId,
    ItemId,
    JobId,
    ModelId,
    UpstreamId,
    WeightVersion,
)
from features.fleet_scenes import upstreams
from lab.site import Site, play
from lab.wire import JobItem, job_body

WHERE = UpstreamId('e0')
#: Event interval of a slow engine; engines of a site usually take 0.04 s.
SLOW_EVENT_S = 0.06


def ms(value: float) -> dt.timedelta:
    return dt.timedelta(milliseconds=value)


def queue_of(lengths: list[int]) -> ItemQueue:
    """Return the queue of a job with items of these expected lengths."""
    items = tuple(
        ItemSpec(
            ItemId(str(number)),
            '/',
            (),
            b'',
            GroupId(str(number // 4)),
            length,
        )
        for number, length in enumerate(lengths)
    )
    spec = JobSpec(JobId('j'), 'h', '/', ModelId('m'), WeightVersion(1), items)
    item_queue = ItemQueue(spec, Ledger())
    item_queue.max_failures = 3
    return item_queue


def start_next(item_queue: ItemQueue, now: dt.timedelta) -> ItemId | None:
    """Start the next item and return it; ``None`` if none is ready."""
    queued = item_queue.next_item(now)
    if queued is None:
        return None
    item_queue.start(queued)
    return queued.spec.item


@given('a queue of 100 items with heavy-tailed lengths')
def heavy_tailed(context: Any) -> None:
    context.lengths = [
        4000 if number % 20 == 7 else 500 for number in range(100)
    ]
    context.item_queue = queue_of(context.lengths)


@then("its longest items start first, the others in the job's order")
def longest_first(context: Any) -> None:
    order = [
        int(start_next(context.item_queue, ms(0)) or -1) for _ in range(100)
    ]
    long = [number for number in range(100) if number % 20 == 7]
    assert order[: len(long)] == long, order
    assert order[len(long) :] == sorted(order[len(long) :]), order


@given('a queue of 10 items of which the first was refused')
def first_refused(context: Any) -> None:
    context.item_queue = queue_of(list(range(10)))
    for _ in range(3):
        start_next(context.item_queue, ms(0))
    context.item_queue.requeue_item(ItemId('0'), RunEnd.REFUSED, WHERE, ms(1))


@then('the first item is the next one')
def first_next(context: Any) -> None:
    assert start_next(context.item_queue, ms(1)) == '0'


@given('a queue of 10 items of which the first fails at each run')
def first_fails(context: Any) -> None:
    context.item_queue = queue_of([1])


@then(
    'its runs begin after pauses of 0, 100 and 300 ms, and it is lost after 3'
)
def retries_paced(context: Any) -> None:
    item_queue = context.item_queue
    begun = []
    now = 0
    while item_queue.open_items and now < 2000:
        if start_next(item_queue, ms(now)) is not None:
            begun.append(now)
            item_queue.requeue_item(ItemId('0'), RunEnd.FAILED, WHERE, ms(now))
        now += 10
    assert begun == [0, 100, 400], begun
    assert item_queue.pop_results_to_store(1)[0].state is ItemState.LOST


@given('engines with 1 of 4 and 0 of 4 slots taken')
def partly_taken(context: Any) -> None:
    context.engines = upstreams(2)
    context.loads = Loads()
    context.loads.of(WHERE).in_flight = 1


def engine_for(context: Any, prompt_upstream: str | None) -> str:
    """Return the engine of an item.

    Parameters
    ----------
    prompt_upstream
        The engine that has the prompt of the item's group in its cache.
    """
    found = place_item(
        context.engines,
        context.loads,
        Speeds(),
        ItemToPlace(
            None if prompt_upstream is None else UpstreamId(prompt_upstream)
        ),
        ms(0),
    )
    assert found is not None
    return found.upstream


@then('an item of a group with its prompt cached at the first goes there')
def at_cached_prompt(context: Any) -> None:
    assert engine_for(context, 'e0') == 'e0'


@then('an item of another group goes to the second')
def at_less_loaded(context: Any) -> None:
    assert engine_for(context, None) == 'e1'


@then("with 2 of 4 taken in the first the group's item goes to the second")
def first_half_full(context: Any) -> None:
    context.loads.of(WHERE).in_flight = 2
    assert engine_for(context, 'e0') == 'e1'


@given('a number of {count:d} empty engines of {slots:d} slots')
def empty_engines(context: Any, count: int, slots: int) -> None:
    context.engines = [
        msgspec.structs.replace(one, slots=slots) for one in upstreams(count)
    ]
    context.loads = Loads()


@when('a step of {groups:d} groups of {size:d} items is placed')
def place_step(context: Any, groups: int, size: int) -> None:
    prompt_upstreams: dict[int, str] = {}
    for number in range(groups * size):
        group = number // size
        prompt_upstreams[group] = engine_for(
            context, prompt_upstreams.get(group)
        )
        context.loads.of(UpstreamId(prompt_upstreams[group])).in_flight += 1


@then('no engine has more than {most:d} items more than another')
def evenly_placed(context: Any, most: int) -> None:
    counts = [
        context.loads.of(one.upstream).in_flight for one in context.engines
    ]
    assert max(counts) - min(counts) <= most, counts


@then("with the first one full the group's item goes to the second")
def first_full(context: Any) -> None:
    context.loads.of(WHERE).in_flight = 4
    assert engine_for(context, 'e0') == 'e1'


def progress_at(
    upstream: str, events: int, expected: float, last_ms: float
) -> Progress:
    """Return the progress of an item with events at equal intervals.

    Parameters
    ----------
    upstream
        The engine.
    events
        Number of events so far.
    expected
        Expected number of events.
    last_ms
        Time of the last event after the start of the run, in ms.
    """
    one = Progress(
        ItemId(f'{upstream}-{expected}'), UpstreamId(upstream), ms(0), expected
    )
    for number in range(1, events + 1):
        one.advance(number, ms(last_ms * number / events))
    return one


def progress_with_gaps(gaps_ms: list[int]) -> Progress:
    """Return the progress of an item at the first engine.

    Parameters
    ----------
    gaps_ms
        Time before each event, in ms.
    """
    one = Progress(ItemId('i'), WHERE, ms(0), expected_events=200)
    at_ms = 0
    for number, gap_ms in enumerate(gaps_ms, start=1):
        at_ms += gap_ms
        one.advance(number, ms(at_ms))
    return one


def learn_gaps(context: Any, gaps_ms: list[int]) -> None:
    """Measure the first engine at four items with these gaps."""
    context.speeds = Speeds()
    for _ in range(4):
        context.item = progress_with_gaps(gaps_ms)
        context.speeds.add_intervals(context.item)
    context.now = ms(sum(gaps_ms) + 10)


@given('an engine whose items waited 700 ms for their first event')
def first_event_late(context: Any) -> None:
    learn_gaps(context, [700, *(40 for _ in range(6))])


@given('an engine whose items paused for 950 ms between events')
def paused(context: Any) -> None:
    learn_gaps(context, [40, 40, 40, 990, *(40 for _ in range(6))])


@given('an engine that takes 140 ms an event after 40 ms')
def turned_slow(context: Any) -> None:
    learn_gaps(context, [*(40 for _ in range(6)), *(140 for _ in range(6))])
    context.speeds.add_intervals(progress_at('e1', 30, 60, 30 * 40))


@given('an engine that takes 50 ms an event, and one that was not measured')
def not_measured(context: Any) -> None:
    learn_gaps(context, [50 for _ in range(12)])


@given('engines that take 51 and 48 ms an event')
def similar_engines(context: Any) -> None:
    learn_gaps(context, [51 for _ in range(12)])
    context.speeds.add_intervals(progress_at('e1', 30, 60, 30 * 48))


@given('an engine that was never measured, and of which others tell 90 ms')
def told_interval(context: Any) -> None:
    context.speeds = Speeds()
    context.speeds.learn({WHERE: 0.09})


@then('after measurements of 40 ms its event interval is 40 ms')
def measured_after_told(context: Any) -> None:
    assert not context.speeds.measured_since(dt.timedelta())
    context.speeds.add_intervals(progress_with_gaps([40 for _ in range(12)]))
    interval_is(context, 40)
    assert context.speeds.measured_since(dt.timedelta()).keys() == {WHERE}
    later = dt.timedelta(hours=1)
    assert not context.speeds.measured_since(later)
    context.speeds.forget(WHERE)
    assert context.speeds.interval_s(WHERE) == Speeds().interval_s(WHERE)


@then('its event interval is {interval_ms:d} ms')
def interval_is(context: Any, interval_ms: int) -> None:
    found_s = context.speeds.interval_s(WHERE)
    assert abs(found_s * 1000 - interval_ms) < 1, found_s


def items_leaving(context: Any) -> list[str]:
    """Return the items that leave the first engine for the second."""
    free_by_engine = {UpstreamId('e1'): 1}
    found = choose_moves(
        [context.item], free_by_engine, context.speeds, context.now
    )
    return [move.item for move in found]


@then('no item leaves it for another engine')
def none_leaves(context: Any) -> None:
    assert not items_leaving(context)


@then('an item with 100 events to go leaves it for another engine')
def one_leaves(context: Any) -> None:
    assert items_leaving(context) == ['i']


@given('items at an engine of 40 ms and one of 100 ms an event')
def two_speeds(context: Any) -> None:
    context.speeds = Speeds()
    context.speeds.add_intervals(progress_at('e0', 50, 60, 2000))
    context.speeds.add_intervals(progress_at('e1', 20, 60, 2000))


def items_moving(context: Any, one: Progress, now_ms: float) -> list[str]:
    """Return the item if it moves while both engines have a free slot."""
    free_by_engine = {UpstreamId('e0'): 1, UpstreamId('e1'): 1}
    found = choose_moves([one], free_by_engine, context.speeds, ms(now_ms))
    return [move.item for move in found]


@then('an item with 100 events to go moves from the slow to the fast one')
def moves_over(context: Any) -> None:
    assert items_moving(context, progress_at('e1', 20, 120, 1990), 2000)
    assert not items_moving(context, progress_at('e0', 20, 120, 1990), 2000)


@then('an item with 3 events to go stays')
def short_item_stays(context: Any) -> None:
    assert not items_moving(context, progress_at('e1', 2, 5, 1990), 2000)


@then('no item moves within half a second of its start')
def no_move_after_start(context: Any) -> None:
    assert not items_moving(context, progress_at('e1', 20, 120, 390), 400)


@given('items at two engines that send no events for 400 ms')
def stalled_engines(context: Any) -> None:
    context.progresses = [
        progress_at('e0', 20, 60, 1000),
        progress_at('e1', 20, 60, 1000),
    ]


@then('no item moves between them')
def none_between(context: Any) -> None:
    free_by_engine = {UpstreamId('e0'): 2, UpstreamId('e1'): 2}
    assert not list(
        choose_moves(context.progresses, free_by_engine, Speeds(), ms(1400))
    )


@then('with a third engine that has room both move there')
def both_move_to_third(context: Any) -> None:
    free_by_engine = {UpstreamId('e0'): 2, UpstreamId('e2'): 2}
    found = list(
        choose_moves(context.progresses, free_by_engine, Speeds(), ms(1400))
    )
    reasons = [move.reason for move in found]
    assert reasons == [MoveReason.STALLED, MoveReason.STALLED], found


def transcript_of(*versions: int) -> Transcript:
    """Return a transcript with one event of each of these versions."""
    found = Transcript()
    for number, version in enumerate(versions, start=1):
        event = GeneratedEvent(number, 'x', WeightVersion(version))
        assert found.add(event)
    return found


@then('a text with a version below the minimum is not accepted')
def too_old(_: Any) -> None:
    assert not transcript_of(1, 2).has_accepted_versions(
        WeightVersion(2), single_version=False
    )
    assert transcript_of(2, 3).has_accepted_versions(
        WeightVersion(2), single_version=False
    )


@then('a text of two versions is not accepted by a job that wants one')
def single_version(_: Any) -> None:
    assert not transcript_of(2, 3).has_accepted_versions(
        WeightVersion(2), single_version=True
    )
    assert transcript_of(3, 3).has_accepted_versions(
        WeightVersion(2), single_version=True
    )


@given('an upstream that refused a request')
def refused(context: Any) -> None:
    context.loads = Loads()
    context.load = context.loads.of(WHERE)
    context.load.record_refusal(ms(0))


@then('it gets no request for 300 ms, then one, and more once that one runs')
def probed(context: Any) -> None:
    load: UpstreamLoad = context.load
    engine = upstreams(1)[0]
    free = [
        free_slots(engine, context.loads, ms(at_ms)) for at_ms in (299, 300)
    ]
    load.record_sent(ms(300))
    free.append(free_slots(engine, context.loads, ms(310)))
    load.record_acceptance(ms(320))
    free.append(free_slots(engine, context.loads, ms(320)))
    assert free == [0, 4, 0, 4], free


@given('an upstream whose {count:d} requests break in one moment')
def break_together(context: Any, count: int) -> None:
    context.load = UpstreamLoad()
    for number in range(count):
        context.load.record_failure(ms(number / 10))


@then('it is avoided for half a second, and longer only if it breaks again')
def check_backoff(context: Any) -> None:
    load: UpstreamLoad = context.load
    assert load.is_in_backoff(ms(499))
    assert not load.is_in_backoff(ms(502))
    load.record_failure(ms(600))
    assert load.is_in_backoff(ms(1599))
    assert not load.is_in_backoff(ms(1601))


@given('a site with a slow engine and a step of 2 long and 40 short items')
def slow_and_long(context: Any) -> None:
    lengths = [100, 100, *(20 for _ in range(40))]
    items = [
        JobItem(f'i{number}', length, f'g{number}', hint=20)
        for number, length in enumerate(lengths)
    ]

    async def scene(site: Site) -> None:
        await site.start(engines=2)
        site.engines['engine-0'].event_s = SLOW_EVENT_S
        body = job_body('/roll/', items, 1, len(items))
        reply = await site.ask(
            'entry-0', 'POST', '/roll/j', body, Request_Id='j'
        )
        assert reply is not None
        await site.all_results('entry-0', 'j')
        context.runs = {}
        for name, engine in site.engines.items():
            for seen in engine.seen:
                context.runs.setdefault(seen.request, []).append((name, seen))

    play(scene)


@then('a long item leaves the slow engine while items wait for slots')
def leaves_slow(context: Any) -> None:
    last_start_s = max(
        min(seen.at_s for _, seen in runs) for runs in context.runs.values()
    )
    long = [context.runs['i0'], context.runs['i1']]
    context.moved = [runs for runs in long if runs[0][0] == 'engine-0']
    assert context.moved, long
    for runs in context.moved:
        assert [name for name, _ in runs] == ['engine-0', 'engine-1'], runs
        assert runs[1][1].at_s < last_start_s, (runs, last_start_s)


@then('it begins at the other one within 50 ms')
def begins_soon(context: Any) -> None:
    for (_, first), (_, second) in context.moved:
        events = int(second.headers['last-event-id'])
        left_s = first.at_s + events * SLOW_EVENT_S
        assert second.at_s - left_s < SLOW_EVENT_S + 0.05, (first, second)


@given('an engine with 1 free slot, reserved for an item that moves')
def reserved_slot(context: Any) -> None:
    context.engines = upstreams(1)
    context.loads = Loads()
    load = context.loads.of(WHERE)
    load.in_flight = context.engines[0].slots - 1
    context.reservations = Reservations(context.loads)
    context.reservations.reserve_slot(ItemId('i'), WHERE, ms(0))


@then('no other item is placed there for 200 ms, and then one is')
def reservation_expires(context: Any) -> None:
    engine = context.engines[0]
    context.reservations.release_expired(ms(199))
    assert free_slots(engine, context.loads, ms(199)) == 0
    context.reservations.release_expired(ms(200))
    assert free_slots(engine, context.loads, ms(200)) == 1
    assert context.reservations.release_slot(ItemId('i')) is None
