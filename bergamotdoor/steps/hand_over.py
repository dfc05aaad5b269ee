"""A step on its way from an owner that stops to the next one.

Failure: a planned stop of the owner in the middle of a step. Symptom: nobody
runs the step until the next owner has all of it, and a trainer whose step is
due in seconds misses it. By way of the store that took 1.9 s on busy links:
the stopping owner kept what the items had, and the next one asked for the
record, claimed it and loaded the step. So the stopping owner sends the step
as it has it; the next one only claims the record. The items are kept in the
store beside that, for the case that nobody takes the step.
"""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor.jobs.ledger import Ledger
from bergamotdoor.jobs.messages import JobStatus
from bergamotdoor.objects.job_codec import FoundJob, LoadedJob
from bergamotdoor.peers.messages import TakeOver

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.objects.job_store import JobStore
    from bergamotdoor.peers.messages import AdoptJob
    from bergamotdoor.steps.job_run import JobRun
    from bergamotdoor.steps.other_entries import OtherEntries
    from bergamotdoor.steps.owner import JobOwner

#: How long a step is held while others are asked to run it. Failure: neither
#: the store nor other entries answer. Symptom: readers find an owner that
#: lives, so nobody takes the step over, and its items are at no engine for
#: 3 to 6 s. Other entries answer within a second or not at all.
_HOLD_S: Final = 1
_MS: Final = dt.timedelta(milliseconds=1)

_log = logging.getLogger('bergamotdoor.gateway')


class HandOver:
    """Hands the steps of a process that stops on to others.

    Parameters
    ----------
    owner
        Runs them until then.
    others
        The entries that are asked to go on.
    store
        Keeps what the items have.
    clock
        Tells how long that takes.
    """

    def __init__(
        self,
        owner: JobOwner,
        others: OtherEntries,
        store: JobStore,
        clock: Clock,
    ) -> None:
        self._owner = owner
        self._others = others
        self._store = store
        self._clock = clock

    async def run(self) -> None:
        """Stop all items; return once others run them or none will.

        Readers are served from the stopped steps meanwhile.
        """
        runs = self._owner.take_no_more()
        await asyncio.gather(*(self._hand_over(run) for run in runs))

    async def _hand_over(self, run: JobRun) -> None:
        message = _handed(run)
        run.stop()
        handing = asyncio.gather(
            self._others.hand_on(message), self._keep(message)
        )
        await asyncio.wait((handing,), timeout=_HOLD_S)
        self._owner.forget(run.spec.job)
        await handing

    async def _keep(self, message: TakeOver) -> None:
        began = self._clock.elapsed()
        job = message.spec.job
        await self._store.keep_partial(job, message.partial)
        _log.info(
            'gateway: job %s: %d items kept for the next owner after %d ms',
            job,
            len(message.partial),
            (self._clock.elapsed() - began) // _MS,
        )


def _handed(run: JobRun) -> TakeOver:
    return TakeOver(
        record=run.found.record,
        revision=run.found.revision,
        spec=run.spec,
        results=run.ledger.behind(0),
        next_number=run.ledger.next_number,
        partial=run.items.saved(1),
    )


def found_in(message: TakeOver | AdoptJob) -> FoundJob:
    """Return the record of a step that is handed on."""
    return FoundJob(
        message.spec.job, message.record, JobStatus(), message.revision
    )


def loaded_in(message: TakeOver) -> LoadedJob:
    """Return what the stopping owner has of a step."""
    ledger = Ledger.restored(message.results, message.next_number)
    return LoadedJob(message.spec, ledger, message.partial)
