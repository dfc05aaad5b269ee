"""Steps for bergamotdoor.steps.listed_results."""

from __future__ import annotations

import asyncio
from typing import Any

import hypothesis
from behave import given, then, when

from bergamotdoor.jobs.messages import ItemResult, ItemState
from bergamotdoor.peers.messages import ResultPage
from bergamotdoor.steps.listed_results import ListedResults
from bergamotdoor.types import ItemId, JobId
from features.job_scenes import JOB, handed_in, other, owner_of
from lab.site import Site, play
from lab.store import StoreMode

draws = hypothesis.strategies
TOTAL = 12
SIZE = 10
RESULTS = tuple(
    ItemResult(ItemId(f'i{number}'), ItemState.COMPLETED, 'x' * SIZE)
    for number in range(TOTAL)
)


@then('300 histories of pages show nothing else')
def histories(_: Any) -> None:
    pages = draws.lists(
        draws.tuples(draws.integers(0, TOTAL), draws.integers(0, TOTAL)),
        max_size=6,
    )

    @hypothesis.settings(
        derandomize=True, max_examples=300, deadline=None, database=None
    )
    @hypothesis.given(pages, draws.integers(0, TOTAL), draws.integers(1, 8))
    def check(
        taken: list[tuple[int, int]], after: int, most_results: int
    ) -> None:
        listed = ListedResults()
        known: set[int] = set()
        for begin, behind in taken:
            listed.take(
                JobId(JOB), begin, ResultPage(TOTAL, RESULTS[begin:behind])
            )
            known.update(range(begin, behind))
        shown = listed.shown(JobId(JOB), after, most_results * SIZE)
        end = after + len(shown.results)
        assert shown.results == RESULTS[after:end]
        assert set(range(after, end)) <= known
        assert len(shown.results) <= most_results
        if taken:
            full = len(shown.results) == most_results and end in known
            assert shown.enough == (end >= TOTAL or full)
        else:
            assert not shown.enough

    check()


@given('an entry that keeps 1000 bytes of results')
def small(context: Any) -> None:
    context.listed = ListedResults(most_bytes=1000)


@when('it has shown 5 jobs of 300 bytes')
def shown_five(context: Any) -> None:
    result = ItemResult(ItemId('i'), ItemState.COMPLETED, 'x' * 300)
    for number in range(5):
        page = ResultPage(1, (result,))
        context.listed.take(JobId(f'j{number}'), 0, page)


@then('it knows the last 3 of them')
def knows_last(context: Any) -> None:
    known = [
        number
        for number in range(5)
        if context.listed.shown(JobId(f'j{number}'), 0, 1000).results
    ]
    assert known == [2, 3, 4], known


async def read_all(site: Site, entry: str, after: int) -> list[dict[str, Any]]:
    page = await site.results(entry, JOB, after)
    assert isinstance(page, dict), page
    return list(page['results'])


@given('a site whose other entry has shown a whole job')
def whole_shown(context: Any) -> None:
    async def prepare(site: Site) -> str:
        await site.start()
        await handed_in(site, [[2, 2], [3, 3]])
        reader = other(site, owner_of(site))
        context.all = await site.all_results(reader, JOB)
        assert len(context.all) == 4
        return reader

    context.prepare = prepare


@when('it is read there again from 3 positions')
def again(context: Any) -> None:
    async def scene(site: Site) -> None:
        reader = await context.prepare(site)
        owner = site.entries[owner_of(site)]
        asked: list[Any] = []
        service = owner._parts.peer_service
        handle = service.handle

        async def watched(message: Any) -> Any:
            asked.append(message)
            return await handle(message)

        setattr(service, 'handle', watched)  # noqa: B010
        context.pages = [
            await read_all(site, reader, after) for after in (0, 1, 3)
        ]
        context.asked = asked

    play(scene)


@then('the pages are right, and the owner was asked nothing')
def right(context: Any) -> None:
    assert context.pages == [context.all[after:] for after in (0, 1, 3)]
    assert not context.asked, context.asked


@given('a site whose other entry has shown a part of a job')
def part_shown(context: Any) -> None:
    async def prepare(site: Site) -> str:
        await site.start()
        await handed_in(site, [[2, 2], [90, 90]])
        reader = other(site, owner_of(site))
        await asyncio.sleep(0.5)
        context.part = await read_all(site, reader, 0)
        assert len(context.part) == 2
        return reader

    context.prepare = prepare


@when('the owner is killed and the store refuses all calls')
def all_gone(context: Any) -> None:
    async def scene(site: Site) -> None:
        reader = await context.prepare(site)
        site.store.mode = StoreMode.BUSY
        await site.kill(owner_of(site))
        context.second = await site.results(reader, JOB)
        context.third = await site.results(reader, JOB, 2)

    play(scene)


@then('the other entry shows the same part again')
def same_part(context: Any) -> None:
    assert context.second['results'] == context.part, context.second
    assert context.third == 503, context.third
