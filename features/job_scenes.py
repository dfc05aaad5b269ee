"""What scenarios of batch jobs on whole sites share."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from bergamotdoor.stored import Outcome
from bergamotdoor.types import JobId

if TYPE_CHECKING:
    from lab.site import Site

JOB = 'j1'
#: Its first group is listed soon, its second one runs for seconds.
SHORT_AND_LONG: Final = ([2, 2], [200, 200])


def parsed(text: str) -> list[list[int]]:
    """Read groups of item lengths, as scenarios write them."""
    return [
        [int(length) for length in group.split(',')]
        for group in text.split(' and ')
    ]


def lengths_of(groups: list[list[int]]) -> dict[str, int]:
    """Return the length of each item of the job."""
    return {
        f'{JOB}.{group}.{number}': length
        for group, members in enumerate(groups)
        for number, length in enumerate(members)
    }


async def handed_in(
    site: Site,
    groups: list[list[int]],
    least: int = 1,
    score_path: str = '',
) -> None:
    """Hand the job in; it must be taken."""
    reply = await site.submit('entry-0', JOB, groups, least, score_path)
    assert reply is not None
    assert reply.status == 202, reply.status


def owner_of(site: Site) -> str:
    """Return the entry that the store names as the job's owner."""
    return str(site.store.table.specs('jobs')[JOB]['owner'])


def other(site: Site, entry: str) -> str:
    """Return an entry besides one."""
    return next(name for name in sorted(site.ports) if name != entry)


def starts(site: Site, item: str) -> list[dict[str, str]]:
    """Return the runs of an item, as the engines saw them."""
    return [
        seen.headers
        for engine in site.engines.values()
        for seen in engine.seen
        if seen.request == item
    ]


def at_work(site: Site) -> list[str]:
    """Return the requests that engines work on."""
    return [
        request
        for engine in site.engines.values()
        for request in engine.running
    ]


async def taken_over_by(site: Site, entry: str) -> None:
    """Do what an entry does when the owner does not answer."""
    finder = site.entries[entry]._parts.finder
    record = await finder.record(JobId(JOB))
    assert not isinstance(record, Outcome)
    await finder.take_over(JobId(JOB), record)
    assert owner_of(site) == entry


async def end_at(site: Site, entry: str) -> None:
    """End the job; it must be confirmed."""
    reply = await site.ask(entry, 'DELETE', f'/-/lots/{JOB}')
    assert reply is not None
    assert reply.status == 200, reply.status


def whole(result: dict[str, Any], length: int) -> bool:
    item = result['id']
    expected = [f'{item}/{number}' for number in range(1, length + 1)]
    return bool(result['text'].split('\n') == expected)


async def listed_at_both(context: Any, site: Site) -> None:
    context.listed = [
        await site.all_results(entry, JOB) for entry in sorted(site.entries)
    ]


def check_whole(
    results: list[dict[str, Any]], groups: list[list[int]], count: int
) -> None:
    """Check that all items are listed, each once and whole."""
    lengths = lengths_of(groups)
    assert len(results) == count, results
    assert {result['id'] for result in results} == set(lengths)
    assert all(whole(result, lengths[result['id']]) for result in results)
