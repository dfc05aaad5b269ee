"""What scenarios of batch jobs on whole sites share."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lab.site import Site

JOB = 'j1'


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
