"""Finds the process that runs a job, or makes this one run it.

The owner is asked first: it knows each result milliseconds after it was
stored. If it can't be reached, the entry that needs it takes the job over.
A second owner costs engine time and nothing else, since positions are
given by the store.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.steps.job_run import RunState
from bergamotdoor.stored import Outcome

if TYPE_CHECKING:
    from bergamotdoor.entry.context import Context
    from bergamotdoor.jobs.messages import JobRecord
    from bergamotdoor.objects.job_codec import FoundJob, LoadedJob
    from bergamotdoor.objects.job_store import JobStore
    from bergamotdoor.settings.document import Address
    from bergamotdoor.steps.job_run import JobRun
    from bergamotdoor.steps.owner import JobOwner
    from bergamotdoor.types import JobId, ModelId

#: Owners of jobs that are remembered; each takes some 300 bytes.
_MOST_OWNERS: Final = 2048
#: Models whose trainers' entries are remembered.
_MOST_MODELS: Final = 256

_log = logging.getLogger('bergamotdoor.gateway')


class JobFinder:
    """Knows who owns which job, and takes over what nobody runs.

    Parameters
    ----------
    context
        Which process this is.
    store
        Where jobs are kept.
    owner
        Runs this process's jobs.
    """

    def __init__(
        self, context: Context, store: JobStore, owner: JobOwner
    ) -> None:
        self._context = context
        self._store = store
        self._owner = owner
        self._records: dict[JobId, JobRecord] = {}
        self._owners: dict[ModelId, Address] = {}

    def is_own(self, record: JobRecord) -> bool:
        """Return whether a record names this process."""
        return record.owner == self._context.settings.node

    def owner_of(self, model: ModelId) -> Address | None:
        """Return where the newest job of a model is run; None is not known."""
        return self._owners.get(model)

    def remember(
        self, job: JobId, record: JobRecord, model: ModelId | None = None
    ) -> None:
        """Take who owns a job; an older record is of no interest."""
        if model is not None:
            self._owners.pop(model, None)
            self._owners[model] = record.address
            if len(self._owners) > _MOST_MODELS:
                self._owners.pop(next(iter(self._owners)))
        known = self._records.pop(job, None)
        if known is not None and known.term > record.term:
            record = known
        self._records[job] = record
        if len(self._records) > _MOST_OWNERS:
            self._records.pop(next(iter(self._records)))

    def is_newest(self, job: JobId, record: JobRecord) -> bool:
        """Return whether no later owner of a job is known."""
        known = self._records.get(job)
        return known is None or known.term <= record.term

    async def record(self, job: JobId) -> JobRecord | Outcome:
        """Return who owns a job; ABSENT if there is no such job."""
        known = self._records.get(job)
        if known is not None:
            return known
        found = await self._find(job)
        return found if isinstance(found, Outcome) else found.record

    async def resume(self, job: JobId) -> JobRun | Outcome:
        """Go on with a job of this node's last process."""
        found = await self._find(job)
        if isinstance(found, Outcome):
            return found
        if self.is_own(found.record):
            return await self.adopt(found)
        return Outcome.NOT_DONE

    async def take_over(
        self, job: JobId, silent: JobRecord
    ) -> JobRun | Outcome:
        """Run a job whose owner does not answer.

        Parameters
        ----------
        job
            Which one.
        silent
            The record whose owner was asked.
        """
        found = await self._find(job)
        if isinstance(found, Outcome):
            return found
        if self.is_own(found.record) or found.status.ended:
            return await self.adopt(found)
        if found.record.term > silent.term:
            # Another process was faster: the next read goes there.
            return Outcome.NOT_DONE
        _log.warning(
            'gateway: job %s: owner %s does not answer, taking over',
            job,
            found.record.owner,
        )
        claimed = await self._claim(found)
        if isinstance(claimed, Outcome):
            return claimed
        return await self.adopt(claimed)

    async def adopt(self, found: FoundJob) -> JobRun | Outcome:
        """Load a job and run it, or serve it if it is ended."""
        if self._owner.stopping and not found.status.ended:
            return Outcome.NOT_DONE
        known = self._owner.get(found.job)
        if known is not None and known.state is RunState.RUNNING:
            known.take_record(found)
            return known
        began = self._context.clock.elapsed()
        loaded = await self._store.load(found.job)
        if isinstance(loaded, Outcome):
            return Outcome.NOT_DONE
        return self._owner.adopt(
            found, msgspec.structs.replace(loaded, read_at=began)
        )

    async def take_handed(
        self, found: FoundJob, loaded: LoadedJob
    ) -> JobRun | Outcome:
        """Run a job that its owner, which stops, hands on with all it has."""
        claimed = await self._claim(found)
        if isinstance(claimed, Outcome):
            return claimed
        return self._owner.adopt(claimed, loaded)

    async def _claim(self, found: FoundJob) -> FoundJob | Outcome:
        """Become a job's owner in the store; NOT_DONE if another one is."""
        if self._owner.stopping:
            return Outcome.NOT_DONE
        later = msgspec.structs.replace(
            found.record, term=found.record.term + 1
        )
        own = self._context.own_record(later)
        claimed = await self._store.claim(found, own)
        if isinstance(claimed, Outcome):
            return claimed
        self.remember(claimed.job, claimed.record)
        if not self.is_own(claimed.record):
            return Outcome.NOT_DONE
        return claimed

    async def _find(self, job: JobId) -> FoundJob | Outcome:
        found = await self._store.find(job)
        if not isinstance(found, Outcome):
            self.remember(job, found.record)
        return found
