"""Steps for bergamotdoor.jobs.listing, and a trainer that reads results."""

from __future__ import annotations

import asyncio
import datetime as dt
from types import SimpleNamespace
from typing import Any

from behave import given, then, when

from bergamotdoor.jobs import (
    ItemQueue,
    ItemResult,
    ItemState,
    JobSpec,
    Ledger,
)
from bergamotdoor.jobs.listing import Target, should_hold
from bergamotdoor.jobs.messages import ItemSpec
from bergamotdoor.steps.target import find_resubmitted_groups, target_of
from bergamotdoor.types import (
    GroupId,
    ItemId,
    JobId,
    ModelId,
    WeightVersion,
)
from lab.site import Site, play
from lab.wire import JobItem, job_body

#: Event interval of the engines of a site.
EVENT_S = 0.04
#: Time between the starts of two reads of a trainer.
READ_INTERVAL_S = 0.5


def ms(value: float) -> dt.timedelta:
    return dt.timedelta(milliseconds=value)


@given(
    'results of complete groups, and {missing:d} of 10 groups that is missing'
)
@given(
    'results of complete groups, and {missing:d} of 10 groups that are missing'
)
def results_before_target(context: Any, missing: int) -> None:
    context.target = Target(10, missing)
    context.due_in = ms(3000)


@then('they wait, and are listed once they have waited for 1 s')
def results_wait(context: Any) -> None:
    waits = [
        should_hold(context.target, ms(held_ms), context.due_in)
        for held_ms in (0, 999, 1000)
    ]
    assert waits == [True, True, False], waits


@then('they are listed at once when the target is reached')
def listed_at_target(context: Any) -> None:
    assert not should_hold(Target(10, 0), ms(0), context.due_in)


@then('they are listed at once')
def listed_at_once(context: Any) -> None:
    assert not should_hold(context.target, ms(0), context.due_in)


@then('they are listed at once if the step is due')
def listed_at_once_if_due(context: Any) -> None:
    assert not should_hold(context.target, ms(0), ms(0))


@given('a job of 4 groups with a target of 2, whose first one was resubmitted')
def first_resubmitted(context: Any) -> None:
    context.spec = job_of('new', ['g0', 'g1', 'g2', 'g3'], target=2)
    earlier = job_of('old', ['g0', 'g9'], target=1)
    others = job_of('other', ['g1'], target=1, model='another')
    context.resubmitted = find_resubmitted_groups(
        context.spec, [context.spec, earlier, others]
    )
    assert context.resubmitted == {'g0'}, context.resubmitted


def job_of(
    job: str, groups: list[str], target: int, model: str = 'm'
) -> JobSpec:
    items = tuple(
        ItemSpec(ItemId(f'i-{group}'), '/', (), b'', GroupId(group))
        for group in groups
    )
    return JobSpec(
        JobId(job),
        'h',
        '/',
        ModelId(model),
        WeightVersion(1),
        items,
        target,
    )


def reached(context: Any, *complete: str) -> bool:
    """Return whether the target is reached once groups are complete."""
    item_queue = ItemQueue(context.spec, Ledger())
    for group in complete:
        item = ItemId(f'i-{group}')
        item_queue.record_result(ItemResult(item, ItemState.COMPLETED))
    run: Any = SimpleNamespace(
        spec=context.spec, items=SimpleNamespace(item_queue=item_queue)
    )
    return target_of(run, context.resubmitted).is_reached


@then('its target is not reached with the 3 others complete')
def not_reached(context: Any) -> None:
    assert not reached(context, 'g1', 'g2', 'g3')


@then('it is reached with the first one and another')
def is_reached(context: Any) -> None:
    assert reached(context, 'g0', 'g3')


@given(
    'a site and {count:d} steps of 8 groups whose last two end {apart_s:f} s '
    'apart'
)
def last_groups_apart(context: Any, count: int, apart_s: float) -> None:
    apart = round(apart_s / EVENT_S)
    context.lengths = [
        (5, 6, 7, 8, 9, 10, 30 + 3 * number, 30 + 3 * number + apart)
        for number in range(count)
    ]


async def read_to_end(site: Site, job: str, total: int) -> float:
    """Read results as a trainer does, until it has all of them.

    Returns
    -------
    float
        Time at which the trainer has the last result, in seconds.
    """
    loop = asyncio.get_running_loop()
    read = 0
    while True:
        began_s = loop.time()
        page = await site.results('entry-0', job, read)
        left_s = began_s + READ_INTERVAL_S - loop.time()
        await asyncio.sleep(max(left_s, 0))
        if isinstance(page, dict):
            read += len(page['results'])
        if read >= total:
            return loop.time()


async def step_delay(site: Site, job: str, lengths: tuple[int, ...]) -> float:
    """Return how many seconds a step ends after its longest text."""
    items = [
        JobItem(f'{job}.{length}', length, f'{job}.{length}', hint=length)
        for length in lengths
    ]
    body = job_body('/roll/', items, 1, len(items))
    began_s = asyncio.get_running_loop().time()
    reply = await site.ask(
        'entry-0', 'POST', f'/roll/{job}', body, Request_Id=job
    )
    assert reply is not None and reply.status == 202, reply
    ended_s = await read_to_end(site, job, len(items))
    return ended_s - began_s - max(lengths) * EVENT_S


@when('a trainer reads each of them twice a second')
def read_steps(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        context.delays_s = [
            await step_delay(site, f'j{number}', lengths)
            for number, lengths in enumerate(context.lengths)
        ]

    play(scene)


@then('a step ends at most {most_s:f} s after its last text, on average')
def ends_in_time(context: Any, most_s: float) -> None:
    mean_s = sum(context.delays_s) / len(context.delays_s)
    assert mean_s <= most_s, (mean_s, context.delays_s)


@given("a site where a step's last groups take two records, and a reader")
def two_records(context: Any) -> None:
    # The engines repeat the item's id in each event, so a long id makes the
    # results large.
    job = 'j' * 300

    async def scene(site: Site) -> None:
        await site.start(engines=3)
        lengths = [[150, 150, 150, 150] for _ in range(3)]
        reply = await site.submit('entry-0', job, lengths)
        assert reply is not None
        owner = site.store.table.specs('jobs')[job]['owner']
        # The store takes as long for a record as it does over a slow link.
        site.store.answer_s = 0.1
        context.counts = []
        while sum(context.counts) < 12:
            page = await site.results(owner, job, sum(context.counts))
            if isinstance(page, dict) and page['results']:
                context.counts.append(len(page['results']))
        records = [
            name
            for name in site.store.table.specs(f'job-{job}')
            if name.startswith('result')
        ]
        assert len(records) == 2, records

    play(scene)


@then('one read returns all of them')
def one_read(context: Any) -> None:
    assert context.counts == [12], context.counts
