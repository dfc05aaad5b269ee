"""Keeps what a job's open items have, for an owner that comes after."""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

from bergamotdoor.jobs.messages import ItemResult, ItemState
from bergamotdoor.jobs.transcript import SavedTranscript

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.objects.job_codec import LoadedJob
    from bergamotdoor.objects.job_store import JobStore
    from bergamotdoor.steps.job_run import JobRun

#: How often long items are kept, and from how many events on. One call
#: every so often saves a second owner as much time.
_EVERY_S: Final = 1.5
_EVERY: Final = dt.timedelta(seconds=_EVERY_S)
_LEAST_EVENTS: Final = 25


async def keep_long_items(run: JobRun, store: JobStore, clock: Clock) -> None:
    """Keep what long items have so far, as long as items run.

    Failure: the owner is killed while a step waits for its longest items.
    Symptom: they begin anew at the next owner, and the step misses its
    time. Kept every so often, they go on where they were.
    """
    kept = 0
    while run.active:
        await clock.sleep(_EVERY)
        long = run.saved(_LEAST_EVENTS)
        count = sum(len(saved.texts) for saved in long.values())
        if run.active and count - kept >= _LEAST_EVENTS:
            kept = count
            await store.keep_partial(run.spec.job, long)


async def hand_over(run: JobRun, store: JobStore) -> None:
    """Stop, and keep all that the next owner can go on with."""
    saved = run.saved(1)
    for result in run.board.unlisted():
        texts = tuple(result.text.split('\n'))
        saved[result.item] = SavedTranscript(
            texts, result.versions, len(texts), whole=True
        )
    run.end()
    await store.keep_partial(run.spec.job, saved)


def restore_whole(run: JobRun, loaded: LoadedJob) -> None:
    """Take the texts that the owner before had made whole."""
    for item, saved in loaded.partial.items():
        if saved.whole and item not in run.ledger:
            text = '\n'.join(saved.texts)
            run.finish(
                ItemResult(item, ItemState.COMPLETED, text, saved.versions)
            )
