"""Steps for bergamotdoor.jobs.ledger and the writer of results."""

from __future__ import annotations

import asyncio
import datetime as dt
import random
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import hypothesis
from behave import given, then, when

from bergamotdoor.jobs.ledger import LARGEST_PAGE_BYTES, Ledger
from bergamotdoor.jobs.messages import (
    ItemResult,
    ItemSpec,
    ItemState,
    JobRecord,
    JobSpec,
    JobStatus,
    ResultRecord,
)
from bergamotdoor.objects.job_codec import FoundJob, LoadedJob
from bergamotdoor.steps.job_reads import wait_for_page
from bergamotdoor.steps.job_run import JobRun
from bergamotdoor.steps.result_writer import ResultWriter
from bergamotdoor.stored import Outcome
from bergamotdoor.types import (
    GroupId,
    ItemId,
    JobId,
    ModelId,
    NodeId,
    Revision,
    WeightVersion,
)
from lab.site import at
from lab.virtual import run_virtual, virtual_clock

if TYPE_CHECKING:
    from collections.abc import Iterator

GROUPS = 3
MEMBERS = 3
#: What happens to a call that stores a record: it succeeds, its answer is lost,
#: it is rejected, or it takes effect late.
APPEND_OUTCOMES = ('done', 'lost', 'refused', 'late')


class RecordStore:
    """Result records by number, as in the store, with injected faults.

    Parameters
    ----------
    outcomes
        What happens to each call that stores a record, see
        ``APPEND_OUTCOMES``. Further calls succeed.
    """

    def __init__(self, outcomes: Iterator[str]) -> None:
        self.records: dict[int, ResultRecord] = {}
        self.outcomes = outcomes

    async def append(
        self, _: JobId, number: int, record: ResultRecord
    ) -> ResultRecord | Outcome:
        await asyncio.sleep(0.004)
        outcome = next(self.outcomes, 'done')
        if outcome == 'refused':
            return Outcome.NOT_DONE
        if outcome == 'late':
            loop = asyncio.get_running_loop()
            loop.call_later(0.7, self.records.setdefault, number, record)
            return Outcome.UNCLEAR
        found = self.records.setdefault(number, record)
        return Outcome.UNCLEAR if outcome == 'lost' else found

    def items(self) -> list[ItemId]:
        return [
            result.item
            for number in sorted(self.records)
            for result in self.records[number].results
        ]


class Owner:
    """Process that runs the job and lists its results.

    Parameters
    ----------
    record_store
        The store.
    seed
        Seed of the random numbers that tell the owner's records from others.
    """

    def __init__(self, record_store: RecordStore, seed: int) -> None:
        self.clock = virtual_clock()
        settings = SimpleNamespace(link_mbps=0)
        context: Any = SimpleNamespace(
            clock=self.clock,
            rng=random.Random(seed),
            settings=settings,
        )
        record = JobRecord(NodeId('e'), at(1), 1, 1)
        found = FoundJob(JobId('j'), record, JobStatus(), Revision(1))
        store: Any = record_store
        loaded = LoadedJob(spec_of(), Ledger())
        due_at = dt.timedelta(seconds=9)
        self.run = JobRun(context, store, found, loaded, due_at)
        self.writer = ResultWriter(self.run, context)

    async def finish_all(self, order: list[int], pauses: list[int]) -> None:
        """Finish all items that are not listed.

        Parameters
        ----------
        order
            Numbers of the items, in the order in which they finish.
        pauses
            Pause before each item finishes, in units of 20 ms.
        """
        for number, pause in zip(order, pauses, strict=True):
            await asyncio.sleep(pause / 50)
            item = self.run.spec.items[number].item
            if self.run.items.item_queue.body_of(item) is not None:
                self.run.items.record_text(result_of(item))


def spec_of() -> JobSpec:
    items = tuple(
        ItemSpec(
            ItemId(f'{group}.{member}'),
            '/',
            (),
            b'1',
            GroupId(str(group)),
        )
        for group in range(GROUPS)
        for member in range(MEMBERS)
    )
    return JobSpec(JobId('j'), 'h', '/', ModelId('m'), WeightVersion(1), items)


def result_of(item: str) -> ItemResult:
    return ItemResult(
        ItemId(item), ItemState.COMPLETED, item, (WeightVersion(1),)
    )


COUNT = GROUPS * MEMBERS


@then('in no history of two owners an item has two positions')
def one_position(_: Any) -> None:
    orders = hypothesis.strategies.permutations(range(COUNT))
    pauses = hypothesis.strategies.lists(
        hypothesis.strategies.integers(0, 20), min_size=COUNT, max_size=COUNT
    )
    plans = hypothesis.strategies.tuples(orders, pauses)

    @hypothesis.settings(
        derandomize=True, max_examples=300, deadline=None, database=None
    )
    @hypothesis.given(
        plans,
        plans,
        hypothesis.strategies.lists(
            hypothesis.strategies.sampled_from(APPEND_OUTCOMES), max_size=30
        ),
    )
    def check(first: Any, second: Any, outcomes: list[str]) -> None:
        run_virtual(run_two_owners(first, second, outcomes))

    check()


async def run_two_owners(first: Any, second: Any, outcomes: list[str]) -> None:
    """Run the job at two owners and check the positions of its results.

    Parameters
    ----------
    first, second
        For each owner, the order and the pauses in which items finish.
    outcomes
        What happens to the calls that store records.
    """
    record_store = RecordStore(iter(outcomes))
    owners = [Owner(record_store, 1), Owner(record_store, 2)]
    writers = [asyncio.create_task(owner.writer.run()) for owner in owners]
    await asyncio.gather(
        owners[0].finish_all(*first), owners[1].finish_all(*second)
    )
    async with asyncio.timeout(30):
        await asyncio.gather(*writers)
    items = record_store.items()
    assert len(items) == len(set(items)) == COUNT, items
    pages = [owner.run.ledger.page(0, 10**9) for owner in owners]
    assert pages[0] == pages[1], pages
    assert [result.item for result in pages[0]] == items


@then('both owners see the same results at the same positions')
def same_positions(_: Any) -> None:
    """Do nothing; the step before checks this with each history."""


@given('a job whose owner has finished an item that another process lists')
def listed_elsewhere(context: Any) -> None:
    context.record_store = RecordStore(iter(()))
    context.record_store.records[0] = ResultRecord('other', (result_of('0.0'),))


@when("the rest of the item's group finishes at the owner")
def rest_finishes(context: Any) -> None:
    async def scene() -> None:
        owner = Owner(context.record_store, 1)
        task = asyncio.create_task(owner.writer.run())
        for member in range(MEMBERS):
            owner.run.items.record_text(result_of(f'1.{member}'))
        owner.run.items.record_text(result_of('0.0'))
        await asyncio.sleep(0.2)
        owner.run.items.record_text(result_of('0.1'))
        owner.run.items.record_text(result_of('0.2'))
        await asyncio.sleep(0.5)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    run_virtual(scene())


@then('the item has one position in the store')
def once_in_store(context: Any) -> None:
    items = context.record_store.items()
    assert items.count(ItemId('0.0')) == 1, items
    assert len(items) == 2 * MEMBERS, items


class UnreadableStore(RecordStore):
    """Store that accepts records and rejects reads."""

    async def record_at(self, *_: Any) -> Outcome:
        await asyncio.sleep(0.2)
        return Outcome.NOT_DONE


@given('a job whose results are stored while the store rejects reads')
def unreadable_store(context: Any) -> None:
    context.record_store = UnreadableStore(iter(()))


@when('a reader has waited for a second')
def read_for_a_second(context: Any) -> None:
    async def scene() -> None:
        owner = Owner(context.record_store, 1)
        writer = asyncio.create_task(owner.writer.run())
        reader = asyncio.create_task(
            wait_for_page(
                owner.run, 0, dt.timedelta(seconds=1), LARGEST_PAGE_BYTES
            )
        )
        await asyncio.sleep(0.75)
        for member in range(MEMBERS):
            owner.run.items.record_text(result_of(f'0.{member}'))
        context.page = await reader
        writer.cancel()
        await asyncio.gather(writer, return_exceptions=True)

    run_virtual(scene())


@then('it receives the results that were stored')
def results_received(context: Any) -> None:
    assert not isinstance(context.page, Outcome), context.page
    assert len(context.page.results) == MEMBERS, context.page
