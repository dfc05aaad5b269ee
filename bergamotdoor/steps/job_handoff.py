"""Handoff of jobs from an owner that stops to another entry.

Failure: the owner of a job is stopped as planned in the middle of a training
step. Symptom: no process runs the job until the next owner has loaded it, and
a trainer with a step deadline of a few seconds misses it. A handoff through
the store took 1.9 s on busy links: the stopping owner saved the partial
transcripts of the items, then the next owner read the job's record, claimed
it and loaded the job. So the stopping owner sends the whole state of the job
in one message, and the next owner only claims the record. The partial
transcripts are also saved in the store, in case no entry accepts the job.
"""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor.jobs.ledger import Ledger
from bergamotdoor.jobs.messages import JobStatus
from bergamotdoor.objects.job_codec import Checkpoint, FoundJob, LoadedJob
from bergamotdoor.observe import subjects
from bergamotdoor.peers.messages import JobOwned, TakeOver

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.objects.job_store import JobStore
    from bergamotdoor.peers.messages import AdoptJob
    from bergamotdoor.steps.job_run import JobRun
    from bergamotdoor.steps.owner import JobOwner
    from bergamotdoor.steps.peer_notifier import PeerNotifier
    from bergamotdoor.tasks import Tasks

#: How long a stopping owner serves the readers of a job during its handoff,
#: before it drops the job. Failure: neither the store nor other entries
#: answer. Symptom: readers reach an owner that is alive, so no entry takes the
#: job over, and its items run at no engine for 3 to 6 s. Other entries answer
#: within a second or not at all.
_SERVE_DURING_HANDOFF_S: Final = 1
_MILLISECOND: Final = dt.timedelta(milliseconds=1)

_log = logging.getLogger('bergamotdoor.gateway')


class JobHandoff:
    """Hands off the jobs of a stopping process to other entries.

    Failure: a process loads or stores a job when its stop begins. Symptom: it
    adopts the job after the others were handed off, runs it until it ends,
    and no process runs it from then on until a reader asks for it. So such a
    job is handed off as soon as it is adopted.

    Parameters
    ----------
    owner
        The running jobs of this process.
    notifier
        Client that offers a job to other entries.
    store
        Store in which the partial transcripts of the items are saved.
    clock
        Clock for the duration in the log.
    tasks
        Tasks that a planned stop completes.
    """

    def __init__(
        self,
        owner: JobOwner,
        notifier: PeerNotifier,
        store: JobStore,
        clock: Clock,
        tasks: Tasks,
    ) -> None:
        self._owner = owner
        self._notifier = notifier
        self._store = store
        self._clock = clock
        owner.on_late_adoption = lambda run: tasks.start(self._hand_off(run))

    async def hand_off_jobs(self) -> None:
        """Stop all items and hand off their jobs.

        Return once other entries have accepted the jobs or all offers have
        failed. Until then, but no longer than a second, readers are served
        from the stopped jobs.
        """
        runs = self._owner.stop_accepting_jobs()
        await asyncio.gather(*(self._hand_off(run) for run in runs))

    async def _hand_off(self, run: JobRun) -> None:
        with subjects.about(job=run.spec.job, action='handoff'):
            await self._offer_and_save(run)

    async def _offer_and_save(self, run: JobRun) -> None:
        message = _takeover_message(run)
        run.stop()
        handoff = asyncio.gather(
            self._notifier.offer_job(message), self._save_items(message)
        )
        await asyncio.wait((handoff,), timeout=_SERVE_DURING_HANDOFF_S)
        self._owner.drop_job(run.spec.job)
        await handoff

    async def _save_items(self, message: TakeOver) -> None:
        started_at = self._clock.elapsed()
        job = message.spec.job
        await self._store.save(
            job, Checkpoint(message.partial, message.record.term)
        )
        _log.info(
            'gateway: job %s: %d items kept for the next owner after %d ms',
            job,
            len(message.partial),
            (self._clock.elapsed() - started_at) // _MILLISECOND,
        )


def _takeover_message(run: JobRun) -> TakeOver:
    return TakeOver(
        record=run.stored_job.record,
        revision=run.stored_job.revision,
        spec=run.spec,
        results=run.ledger.results_from(0),
        next_number=run.ledger.next_number,
        partial=run.items.saved_transcripts(1),
    )


def found_job_in(message: TakeOver | AdoptJob | JobOwned) -> FoundJob:
    """Return the job's record that a message carries."""
    job = message.job if isinstance(message, JobOwned) else message.spec.job
    return FoundJob(job, message.record, JobStatus(), message.revision)


def loaded_job_in(message: TakeOver) -> LoadedJob:
    """Return the job's body, results and partial transcripts of a message."""
    ledger = Ledger.from_results(message.results, message.next_number)
    return LoadedJob(message.spec, ledger, message.partial)
