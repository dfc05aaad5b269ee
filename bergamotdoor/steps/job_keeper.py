"""Keeps what a job's open items have, for an owner that comes after."""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.jobs.transcript import SavedTranscript
    from bergamotdoor.objects.job_store import JobStore
    from bergamotdoor.steps.job_run import JobRun
    from bergamotdoor.types import ItemId

#: How often open items are kept, and from how many events on. One call
#: every so often saves a second owner as much time.
_EVERY_S: Final = 1.5
_EVERY: Final = dt.timedelta(seconds=_EVERY_S)
_LEAST_EVENTS: Final = 25
#: How long a job is held to keep what its items have when it is handed over.
_HAND_OVER_S: Final = 1

_log = logging.getLogger('bergamotdoor.gateway')


async def keep_open_items(run: JobRun, store: JobStore, clock: Clock) -> None:
    """Keep what open items have so far, as long as items run.

    Failure: the owner is killed while a step waits for its longest items,
    or for the service that scores them. Symptom: they begin anew at the next
    owner, and the step misses its time. Kept every so often, they go on
    where they were.
    """
    kept: dict[ItemId, SavedTranscript] = {}
    while run.active:
        await clock.sleep(_EVERY)
        saved = run.items.saved(_LEAST_EVENTS)
        if run.active and _gain(saved, kept) >= _LEAST_EVENTS:
            kept = saved
            await store.keep_partial(run.spec.job, saved)


def _gain(
    saved: dict[ItemId, SavedTranscript], kept: dict[ItemId, SavedTranscript]
) -> int:
    """Return how many events are there that were not kept before."""
    before = {item: len(one.texts) for item, one in kept.items()}
    return sum(
        len(one.texts) - before.get(item, 0) for item, one in saved.items()
    )


async def hand_over(run: JobRun, store: JobStore) -> None:
    """Stop, and keep all that the next owner can go on with.

    Failure: the store can't be reached by any way. Symptom: readers find
    an owner that lives while its items are at no engine, for as long as
    all calls take. What was kept before is no older than ``_EVERY``, so a
    longer wait would cost more than it can save.
    """
    saved = run.items.saved(1)
    run.stop()
    try:
        async with asyncio.timeout(_HAND_OVER_S):
            await store.keep_partial(run.spec.job, saved)
    except TimeoutError:
        _log.warning('gateway: job %s: not kept in time', run.spec.job)
