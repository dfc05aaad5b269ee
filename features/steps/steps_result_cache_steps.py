"""Steps for the cache of listed results."""

from __future__ import annotations

import asyncio
from typing import Any

import hypothesis
from behave import given, then, when

from bergamotdoor.jobs.messages import ItemResult, ItemState
from bergamotdoor.peers.messages import ResultPage
from bergamotdoor.steps.result_cache import ResultCache
from bergamotdoor.types import ItemId, JobId
from features.job_scenes import JOB, other_entry, owner_of, submit_job
from lab.site import Site, play
from lab.store import StoreMode

draws = hypothesis.strategies
#: Number of the job's results.
TOTAL = 12
#: Bytes of text in each result.
RESULT_BYTES = 10
RESULTS = tuple(
    ItemResult(ItemId(f'i{number}'), ItemState.COMPLETED, 'x' * RESULT_BYTES)
    for number in range(TOTAL)
)


@then('this holds for 300 histories of pages')
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
        added: list[tuple[int, int]], after: int, most_results: int
    ) -> None:
        cache = ResultCache()
        known: set[int] = set()
        for begin, end_of_page in added:
            cache.add_page(
                JobId(JOB), begin, ResultPage(TOTAL, RESULTS[begin:end_of_page])
            )
            known.update(range(begin, end_of_page))
        cached = cache.cached_page(
            JobId(JOB), after, most_results * RESULT_BYTES
        )
        end = after + len(cached.results)
        assert cached.results == RESULTS[after:end]
        assert set(range(after, end)) <= known
        assert len(cached.results) <= most_results
        if added:
            full = len(cached.results) == most_results and end in known
            assert cached.is_complete == (end >= TOTAL or full)
        else:
            assert not cached.is_complete

    check()


@given('a result cache of 1000 bytes')
def small_cache(context: Any) -> None:
    context.cache = ResultCache(max_bytes=1000)


@when('pages of 5 jobs of 300 bytes are added')
def five_added(context: Any) -> None:
    result = ItemResult(ItemId('i'), ItemState.COMPLETED, 'x' * 300)
    for number in range(5):
        page = ResultPage(1, (result,))
        context.cache.add_page(JobId(f'j{number}'), 0, page)


@then('the last 3 of them are cached')
def last_cached(context: Any) -> None:
    known = [
        number
        for number in range(5)
        if context.cache.cached_page(JobId(f'j{number}'), 0, 1000).results
    ]
    assert known == [2, 3, 4], known


async def read_page(site: Site, entry: str, after: int) -> list[dict[str, Any]]:
    """Return the results of one read from a position on."""
    page = await site.results(entry, JOB, after)
    assert isinstance(page, dict), page
    return list(page['results'])


@given('a site whose other entry has shown a whole job')
def whole_shown(context: Any) -> None:
    async def prepare(site: Site) -> str:
        await site.start()
        await submit_job(site, [[2, 2], [3, 3]])
        reader = other_entry(site, owner_of(site))
        context.all = await site.all_results(reader, JOB)
        assert len(context.all) == 4
        return reader

    context.prepare = prepare


@when('it is read there again from 3 positions')
def read_again(context: Any) -> None:
    async def scene(site: Site) -> None:
        reader = await context.prepare(site)
        owner = site.entries[owner_of(site)]
        messages: list[Any] = []
        service = owner._components.peer_service
        handle = service.handle

        async def recorded(message: Any) -> Any:
            messages.append(message)
            return await handle(message)

        setattr(service, 'handle', recorded)  # noqa: B010
        context.pages = [
            await read_page(site, reader, after) for after in (0, 1, 3)
        ]
        context.messages = messages

    play(scene)


@then('the pages are right, and the owner received no message')
def pages_right(context: Any) -> None:
    assert context.pages == [context.all[after:] for after in (0, 1, 3)]
    assert not context.messages, context.messages


@given('a site whose other entry has shown a part of a job')
def part_shown(context: Any) -> None:
    async def prepare(site: Site) -> str:
        await site.start()
        await submit_job(site, [[2, 2], [90, 90]])
        reader = other_entry(site, owner_of(site))
        await asyncio.sleep(0.5)
        context.part = await read_page(site, reader, 0)
        assert len(context.part) == 2
        return reader

    context.prepare = prepare


@when('the owner is killed and the store refuses all calls')
def owner_and_store_gone(context: Any) -> None:
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
