"""Helpers for scenarios in which a whole site runs a batch job."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from bergamotdoor.stored import Outcome
from bergamotdoor.types import JobId
from lab.outages import Loss, Outage, StoredWrite
from lab.store import StoreMode

if TYPE_CHECKING:
    from lab.site import Site

#: Id of the job that these helpers refer to.
JOB = 'j1'
#: Lengths of the items by group, in events: the first group is listed soon,
#: the second one runs for seconds.
SHORT_AND_LONG: Final = ([2, 2], [200, 200])


def parse_lengths(text: str) -> list[list[int]]:
    """Parse item lengths by group, such as ``2,2 and 200,200``."""
    return [
        [int(length) for length in group.split(',')]
        for group in text.split(' and ')
    ]


def lengths_of(groups: list[list[int]]) -> dict[str, int]:
    """Return the length of each item of the job, in events, by item id."""
    return {
        f'{JOB}.{group}.{number}': length
        for group, members in enumerate(groups)
        for number, length in enumerate(members)
    }


async def submit_job(
    site: Site,
    groups: list[list[int]],
    min_version: int = 1,
    score_path: str = '',
) -> None:
    """Submit the job and check that it is accepted.

    Parameters
    ----------
    site
        The site.
    groups
        Lengths of the items by group, in events.
    min_version
        The oldest weight version that the job accepts.
    score_path
        Path of the score calls; empty if the texts need no score.
    """
    response = await site.submit(
        'entry-0', JOB, groups, min_version, score_path
    )
    assert response is not None
    assert response.status == 202, response.status


def lose_record_write(site: Site) -> None:
    """Have an outage begin with the answer to the write of a job's record."""
    site.store.write_faults.outages.append(
        Outage(StoredWrite.RECORD, Loss.RESET, StoreMode.BUSY)
    )


def end_outages(site: Site) -> None:
    """Have the store answer all calls again."""
    site.store.write_faults.outages.clear()
    site.store.mode = StoreMode.UP


def owner_of(site: Site) -> str:
    """Return the name of the entry that owns the job in the store."""
    return str(site.store.table.specs('jobs')[JOB]['owner'])


def other_entry(site: Site, entry: str) -> str:
    """Return the name of another entry than the given one."""
    return next(name for name in sorted(site.ports) if name != entry)


def run_headers(site: Site, item: str) -> list[dict[str, str]]:
    """Return the headers of each request for an item at the engines."""
    return [
        seen.headers
        for engine in site.engines.values()
        for seen in engine.seen
        if seen.request == item
    ]


def running_requests(site: Site) -> list[str]:
    """Return the ids of the requests that engines are running."""
    return [
        request
        for engine in site.engines.values()
        for request in engine.running
    ]


async def take_over_at(site: Site, entry: str) -> None:
    """Have an entry take the job over, as if the owner did not answer."""
    finder = site.entries[entry]._components.finder
    record = await finder.find_record(JobId(JOB))
    assert not isinstance(record, Outcome)
    await finder.take_over(JobId(JOB), record)
    assert owner_of(site) == entry


async def end_job_at(site: Site, entry: str) -> None:
    """End the job and check that the entry confirms it."""
    response = await site.ask(entry, 'DELETE', f'/-/lots/{JOB}')
    assert response is not None
    assert response.status == 200, response.status


def is_whole(result: dict[str, Any], length: int) -> bool:
    """Return whether a result has all events of its item, in order."""
    item = result['id']
    expected = [f'{item}/{number}' for number in range(1, length + 1)]
    return bool(result['text'].split('\n') == expected)


async def read_at_each_entry(context: Any, site: Site) -> None:
    """Read all results at each entry into ``context.listed``."""
    context.listed = [
        await site.all_results(entry, JOB) for entry in sorted(site.entries)
    ]


def check_all_whole(
    results: list[dict[str, Any]], groups: list[list[int]], count: int
) -> None:
    """Check that all items are listed, each once and with its whole text.

    Parameters
    ----------
    results
        The listed results.
    groups
        Lengths of the items by group, in events.
    count
        Expected number of results.
    """
    lengths = lengths_of(groups)
    assert len(results) == count, results
    assert {result['id'] for result in results} == set(lengths)
    assert all(is_whole(result, lengths[result['id']]) for result in results)
