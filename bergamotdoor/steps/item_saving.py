"""Saves the partial transcripts of a job's items for a later owner."""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

from bergamotdoor.objects.job_codec import Checkpoint

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.jobs.transcript import SavedTranscript
    from bergamotdoor.objects.job_store import JobStore
    from bergamotdoor.steps.job_run import JobRun
    from bergamotdoor.types import ItemId

#: Interval between two saves. One call of the store in each interval saves a
#: later owner as much generation time.
_SAVE_INTERVAL_S: Final = 1.5
_SAVE_INTERVAL: Final = dt.timedelta(seconds=_SAVE_INTERVAL_S)
#: The fewest events of a transcript that is saved, and the fewest new events
#: of all transcripts together for which a call of the store is made.
_MIN_EVENTS: Final = 25


async def save_open_items(run: JobRun, store: JobStore, clock: Clock) -> None:
    """Save the transcripts of open items at intervals, while items run.

    Failure: the owner is killed while a job waits for its longest items, or
    for the service that scores them. Symptom: these items start from their
    beginning at the next owner, and the training step misses its deadline.
    With a recent save they continue where they were.

    Parameters
    ----------
    run
        The job; the function returns once the job is no longer active here.
    store
        Store in which the transcripts are saved.
    clock
        Clock for the interval.
    """
    last_saved: dict[ItemId, SavedTranscript] = {}
    while run.active:
        await clock.sleep(_SAVE_INTERVAL)
        saved = run.items.saved_transcripts(_MIN_EVENTS)
        is_new = _count_new_events(
            saved, last_saved
        ) >= _MIN_EVENTS or _count_failures(saved) > _count_failures(last_saved)
        if run.active and is_new:
            last_saved = saved
            checkpoint = Checkpoint(saved, run.stored_job.record.term)
            await store.save(run.spec.job, checkpoint)


def _count_new_events(
    saved: dict[ItemId, SavedTranscript],
    last_saved: dict[ItemId, SavedTranscript],
) -> int:
    """Return how many events were added since the last save."""
    before = {item: len(one.texts) for item, one in last_saved.items()}
    return sum(
        len(one.texts) - before.get(item, 0) for item, one in saved.items()
    )


def _count_failures(saved: dict[ItemId, SavedTranscript]) -> int:
    return sum(one.failures for one in saved.values())
