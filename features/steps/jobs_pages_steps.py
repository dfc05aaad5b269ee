"""Steps for pages of results in bergamotdoor.jobs.ledger."""

from __future__ import annotations

import asyncio
from typing import Any

from behave import given, then

from bergamotdoor.jobs import ItemResult, ItemState, Ledger
from bergamotdoor.jobs.ledger import page_limit_bytes
from bergamotdoor.jobs.messages import ResultRecord
from bergamotdoor.types import ItemId
from lab.site import Site, play


@given('{count:d} results of {size_kb:d} kB and a link of {mbps:d} Mbit/s')
def page_of_results(context: Any, count: int, size_kb: int, mbps: int) -> None:
    found = tuple(
        ItemResult(
            ItemId(str(number)), ItemState.COMPLETED, 'x' * 1000 * size_kb
        )
        for number in range(count)
    )
    ledger = Ledger([ResultRecord('w', found)])
    context.count = count
    context.page = ledger.page(0, page_limit_bytes(mbps))


@then('one page holds them all')
def all_in_one_page(context: Any) -> None:
    assert len(context.page) == context.count, len(context.page)


@then('a page holds at most {most:d} bytes')
def page_is_at_most(context: Any, most: int) -> None:
    size = sum(len(result.text) for result in context.page)
    assert 0 < size <= most, size


@given('a site whose entries have links of 30 Mbit/s, and 500 kB of results')
def slow_links(context: Any) -> None:
    # The engines repeat the item's id in each event, so a long id makes the
    # results large.
    job = 'j' * 300

    async def scene(site: Site) -> None:
        site.link_mbps = 30
        await site.start(engines=3)
        reply = await site.submit(
            'entry-0', job, [[150, 150, 150, 150] for _ in range(3)]
        )
        assert reply is not None
        await asyncio.sleep(8)
        owner = site.store.table.specs('jobs')[job]['owner']
        context.page = await site.results(owner, job)

    play(scene)


@then("one read at the job's owner returns them all")
def all_in_one_read(context: Any) -> None:
    texts = [result['text'] for result in context.page['results']]
    assert len(texts) == 12, len(texts)
    assert sum(map(len, texts)) > 500_000
