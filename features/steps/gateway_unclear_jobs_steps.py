"""Steps for jobs of which an entry can't tell whether they are stored."""

from __future__ import annotations

from collections import Counter
from typing import Any

from behave import given, then

from features.job_scenes import JOB, submit_job
from lab.site import Site, play
from lab.store import StoreMode

_GROUPS = [[2, 2], [3, 3]]


def _runs(site: Site) -> Counter[str]:
    """Return how often each item has reached an engine."""
    return Counter(
        run.request for engine in site.engines.values() for run in engine.seen
    )


@given('a site whose job is submitted again during an outage of the store')
def submit_again_during_outage(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start(entries=3)
        await submit_job(site, _GROUPS)
        site.store.mode = StoreMode.BUSY
        context.statuses = []
        for entry in sorted(site.entries):
            reply = await site.submit(entry, JOB, _GROUPS)
            context.statuses.append(None if reply is None else reply.status)
        site.store.mode = StoreMode.UP
        await site.all_results('entry-1', JOB)
        context.runs = _runs(site)

    play(scene)


@then('the entry that knows the owner accepts it, and every item runs once')
def known_job_is_accepted(context: Any) -> None:
    assert context.statuses == [202, 202, 202], context.statuses
    assert set(context.runs.values()) == {1}, context.runs
