"""Steps for bergamotdoor.jobs.placement and item_lengths."""

from __future__ import annotations

import asyncio
import datetime as dt
from typing import Any

import hypothesis
import msgspec
from behave import given, then, when
from hypothesis import strategies as st

from bergamotdoor.fleet.loads import Loads
from bergamotdoor.jobs import (
    GeneratedEvent,
    ItemLengths,
    ItemToPlace,
    Progress,
    Speeds,
    free_slots,
    place_item,
)
from bergamotdoor.jobs.ledger import Ledger
from bergamotdoor.jobs.messages import ItemSpec, JobSpec
from bergamotdoor.jobs.open_items import OpenItems
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
from lab.wire import ENGINES, JobItem, job_body

NOW = dt.timedelta(seconds=5)
LONGEST = 100


def measured_speeds(intervals_ms: list[int]) -> Speeds:
    """Return the speeds of engines that have these event intervals."""
    speeds = Speeds()
    for number, interval_ms in enumerate(intervals_ms):
        one = Progress(ItemId('i'), UpstreamId(f'e{number}'), NOW, LONGEST)
        for event in range(1, 12):
            one.advance(
                event, NOW + event * dt.timedelta(milliseconds=interval_ms)
            )
        speeds.add_intervals(one)
    return speeds


def set_engines(context: Any, intervals_ms: list[int], count: int) -> None:
    context.engines = [
        msgspec.structs.replace(one, slots=8) for one in upstreams(count)
    ]
    context.loads = Loads()
    context.speeds = measured_speeds(intervals_ms)


def place(context: Any, remaining: float, prompt: str = '') -> str | None:
    """Return the engine for an item of a step whose longest has 100 events."""
    placed = ItemToPlace(
        UpstreamId(prompt), frozenset(), remaining, longest_events=LONGEST
    )
    found = place_item(
        context.engines, context.loads, context.speeds, placed, NOW
    )
    return None if found is None else found.upstream


@given('4 engines of 8 slots of which the first takes 80 ms an event, not 40')
def quarter_is_slow(context: Any) -> None:
    set_engines(context, [80, 40, 40, 40], 4)


@given('3 engines that take 42, 40 and 41 ms an event')
def nearly_equal(context: Any) -> None:
    set_engines(context, [42, 40, 41], 3)


@given('3 engines that take 80, 40 and 40 ms an event, and one not measured')
def one_not_measured(context: Any) -> None:
    set_engines(context, [80, 40, 40], 4)


@when('the fast engines have {first:d}, {second:d} and {third:d} requests')
def take_slots(context: Any, first: int, second: int, third: int) -> None:
    for name, count in zip(('e1', 'e2', 'e3'), (first, second, third)):
        context.loads.of(UpstreamId(name)).in_flight = count


@when('the first engine is full')
def fill_first(context: Any) -> None:
    context.loads.of(UpstreamId('e0')).in_flight = 8


@then('an item as long as the longest one goes to {engine}')
def check_longest(context: Any, engine: str) -> None:
    assert place(context, LONGEST) == engine


@then('a short item goes to {engine}')
def check_short(context: Any, engine: str) -> None:
    assert place(context, 20) == engine


@then('an item that is short only where events are fast goes to {engine}')
def check_short_if_fast(context: Any, engine: str) -> None:
    assert place(context, 30) == engine


@then('an item of unknown length goes to {engine}')
def check_unknown(context: Any, engine: str) -> None:
    assert place(context, 0) == engine


@then('a short item whose prompt is cached at {cached} goes to {engine}')
def check_short_with_prompt(context: Any, cached: str, engine: str) -> None:
    assert place(context, 20, cached) == engine


@then('with 3, 1 and 2 requests an item goes to e2, which has its prompt')
def check_prompt_first(context: Any) -> None:
    for one, count in zip(context.engines, (3, 1, 2)):
        context.loads.of(one.upstream).in_flight = count
    assert place(context, LONGEST, 'e2') == 'e2'


@then('items of every length go where an item of unknown length goes')
def check_old_rule(context: Any) -> None:
    for in_flight in ([0, 0, 0], [3, 1, 2], [1, 7, 1], [8, 8, 7]):
        for one, count in zip(context.engines, in_flight):
            context.loads.of(one.upstream).in_flight = count
        for prompt in ('', 'e0', 'e1', 'e2'):
            found = {place(context, length, prompt) for length in (0, 5, 100)}
            assert len(found) == 1, (in_flight, prompt, found)


@then('an item as long as the longest one never goes to {engine}')
def check_never(context: Any, engine: str) -> None:
    for _ in range(24):
        found = place(context, LONGEST)
        assert found not in {engine, None}
        context.loads.of(UpstreamId(str(found))).in_flight += 1


@then('any items are placed at eligible engines with a free slot, if any has')
def check_slots(context: Any) -> None:
    intervals = st.lists(
        st.sampled_from([0, 1, 25, 40, 45, 50, 90]), min_size=1, max_size=5
    )
    lengths = st.lists(st.integers(0, LONGEST), min_size=1, max_size=50)

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(intervals, lengths)
    def check(intervals_ms: list[int], remaining: list[int]) -> None:
        set_engines(context, intervals_ms, len(intervals_ms))
        for length in remaining:
            free = {
                one.upstream
                for one in context.engines
                if free_slots(one, context.loads, NOW) > 0
            }
            found = place(context, length)
            assert found in (free or {None})
            if found is not None:
                context.loads.of(UpstreamId(found)).in_flight += 1

    check()


@then('an item with half of its events lacks half, and one without hint none')
def check_remaining(_: Any) -> None:
    specs = tuple(
        ItemSpec(ItemId(name), '/', (), b'', GroupId('g'), tokens)
        for name, tokens in (('a', 1460), ('b', 730), ('c', 0))
    )
    spec = JobSpec(JobId('j'), 'h', '/', ModelId('m'), WeightVersion(1), specs)
    items = OpenItems(spec, Ledger(), {}, lambda: None)
    queued = items.item_queue.next_item(NOW)
    assert queued is not None
    assert ItemLengths(items, 73).longest_events == 20
    assert ItemLengths(items, 0).longest_events == 1460
    for number in range(1, 11):
        event = GeneratedEvent(number, 'x', WeightVersion(1))
        assert items.transcript(queued).add(event)
    lengths = ItemLengths(items, 73)
    assert [lengths.remaining_events(one) for one in specs] == [10, 10, 0]
    assert lengths.longest_events == 10


@given('a site whose manifest states {tokens:d} tokens an event')
def site_with_stride(context: Any, tokens: int) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        service = {'name': ENGINES, 'engine': {'stride': tokens, 'slots': 8}}
        site.put_manifest(services=[service, {'name': 'plain'}])
        await asyncio.sleep(1)
        items = [JobItem('i0', 40, 'g0', hint=20)]
        body = job_body('/roll/', items, 1, 1)
        await site.ask('entry-0', 'POST', '/roll/j', body, Request_Id='j')
        await asyncio.sleep(0.1)
        owners = [one._components.owner for one in site.entries.values()]
        runs = [run for one in owners for run in one.runs()]
        context.running = [one for run in runs for one in run.running.values()]

    play(scene)


@then('an item with a hint of 1160 tokens is expected to have 10 events')
def check_expected(context: Any) -> None:
    assert len(context.running) == 1, context.running
    one = context.running[0].progress
    assert one.events + one.remaining_events == 10, one.remaining_events


@given('a site of 4 engines of which the first takes twice as long')
def site_with_slow_engine(context: Any) -> None:
    async def step(site: Site, job: str, lengths: list[int]) -> None:
        items = [
            JobItem(f'{job}.{number}', length, f'g{number}', hint=length)
            for number, length in enumerate(lengths)
        ]
        body = job_body('/roll/', items, 1, len(items))
        reply = await site.ask(
            'entry-0', 'POST', f'/roll/{job}', body, Request_Id=job
        )
        assert reply is not None
        await site.all_results('entry-0', job)

    async def scene(site: Site) -> None:
        await site.start(engines=4)
        site.engines['engine-0'].event_s *= 2
        await step(site, 'j1', [20 for _ in range(16)])
        await step(site, 'j2', [15 if one < 12 else 90 for one in range(16)])
        context.items_at = {
            name: {seen.request for seen in engine.seen}
            for name, engine in site.engines.items()
        }

    context.scene = scene


@when('a step follows one by which the engines were measured')
def run_both_steps(context: Any) -> None:
    play(context.scene)


@then('its long items run at fast engines only, and the slow one has others')
def check_long_items(context: Any) -> None:
    at_slow = {
        item for item in context.items_at['engine-0'] if item.startswith('j2.')
    }
    assert at_slow, context.items_at
    assert not at_slow & {f'j2.{number}' for number in range(12, 16)}, at_slow
