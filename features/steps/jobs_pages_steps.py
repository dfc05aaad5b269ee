"""Steps for pages of bergamotdoor.jobs.ledger."""

from __future__ import annotations

from typing import Any

from behave import given, then

from bergamotdoor.jobs import ItemResult, ItemState, Ledger
from bergamotdoor.jobs.ledger import page_limit_bytes
from bergamotdoor.jobs.messages import ResultRecord
from bergamotdoor.types import ItemId


@given('{count:d} results of {size_kb:d} kB and a link of {mbps:d} Mbit/s')
def results(context: Any, count: int, size_kb: int, mbps: int) -> None:
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
def all_there(context: Any) -> None:
    assert len(context.page) == context.count, len(context.page)


@then('a page holds at most {most:d} bytes')
def at_most(context: Any, most: int) -> None:
    size = sum(len(result.text) for result in context.page)
    assert 0 < size <= most, size
