"""Finds the process that owns a job, or makes this one its owner.

The owner is asked first, since it knows a result within milliseconds after it
was stored. If the owner can't be reached, the entry that needs it takes the
job over. A second owner costs engine time and nothing else, since the store
assigns the positions of results.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.observe import subjects
from bergamotdoor.steps.job_run import RunState
from bergamotdoor.steps.unclear_jobs import UnclearJobs
from bergamotdoor.stored import Outcome

if TYPE_CHECKING:
    import datetime as dt
    from collections.abc import Callable

    from bergamotdoor.entry.context import Context
    from bergamotdoor.jobs.messages import JobRecord
    from bergamotdoor.objects.job_codec import FoundJob, LoadedJob
    from bergamotdoor.objects.job_store import JobStore
    from bergamotdoor.settings.document import Address
    from bergamotdoor.steps.job_run import JobRun
    from bergamotdoor.steps.owner import JobOwner
    from bergamotdoor.types import JobId, ModelId

#: The most job records that are cached; each takes some 300 bytes.
_MAX_CACHED_RECORDS: Final = 2048
#: The most models for which the owner's address is cached.
_MAX_CACHED_MODELS: Final = 256

_log = logging.getLogger('bergamotdoor.gateway')


class JobFinder:
    """Cache of job owners; takes over jobs whose owner is gone.

    Parameters
    ----------
    context
        Services and settings of the process.
    store
        Store of the jobs.
    owner
        The jobs that this process owns.
    """

    def __init__(
        self, context: Context, store: JobStore, owner: JobOwner
    ) -> None:
        self._context = context
        self._store = store
        self._owner = owner
        #: Called with each job that this process has taken over and loaded.
        #: A former owner that is alive may run the job until then.
        self.on_takeover: Callable[[FoundJob], None] = _ignore
        self._retention = context.settings.retention
        #: Jobs that may be in the store, although their record is unknown.
        self.unclear_jobs = UnclearJobs(context.clock, self._retention)
        self._records: dict[JobId, JobRecord] = {}
        #: When the first record of each job was cached.
        self._cached_at: dict[JobId, dt.timedelta] = {}
        #: Addresses of the owners of each model's newest job.
        self._newest_owners: dict[ModelId, Address] = {}

    def is_own(self, record: JobRecord) -> bool:
        """Return whether a job's record names this process as the owner."""
        return record.owner == self._context.settings.node

    def owner_of_model(self, model: ModelId) -> Address | None:
        """Return the address of the owner of a model's newest job.

        It is ``None`` if no job of the model is known.
        """
        return self._newest_owners.get(model)

    def cache_record(
        self, job: JobId, record: JobRecord, model: ModelId | None = None
    ) -> None:
        """Cache a job's record, unless a record of a later term is known.

        Parameters
        ----------
        job
            The job.
        record
            Its record, which names the owner.
        model
            The job's model, if the job is the newest one of the model.
        """
        if model is not None:
            self._newest_owners.pop(model, None)
            self._newest_owners[model] = record.address
            if len(self._newest_owners) > _MAX_CACHED_MODELS:
                self._newest_owners.pop(next(iter(self._newest_owners)))
        known = self._records.pop(job, None)
        if known is not None and known.term > record.term:
            record = known
        self._records[job] = record
        self._cached_at.setdefault(job, self._context.clock.elapsed())
        if len(self._records) > _MAX_CACHED_RECORDS:
            oldest = next(iter(self._records))
            self._records.pop(oldest)
            self._cached_at.pop(oldest)

    def is_newest(self, job: JobId, record: JobRecord) -> bool:
        """Return whether no record of a later term is known for a job."""
        known = self._records.get(job)
        return known is None or known.term <= record.term

    def recent_record(self, job: JobId) -> JobRecord | None:
        """Return a job's record from the cache, if the job must still exist.

        It is ``None`` if no record is cached, or if one has been cached for
        longer than a job can be read: the job may have been removed since.
        """
        cached_at = self._cached_at.get(job)
        now = self._context.clock.elapsed()
        if cached_at is None or now - cached_at > self._retention:
            return None
        return self._records.get(job)

    def may_be_stored(self, job: JobId) -> bool:
        """Return whether a job is in the store, as far as it is known here."""
        return job in self.unclear_jobs or self.recent_record(job) is not None

    async def find_record(self, job: JobId) -> JobRecord | Outcome:
        """Return a job's record, from the cache or the store.

        It is ABSENT if there is no such job.
        """
        known = self._records.get(job)
        if known is not None:
            return known
        found = await self._fetch(job)
        return found if isinstance(found, Outcome) else found.record

    async def resume(self, job: JobId) -> JobRun | Outcome:
        """Continue a job that an earlier process of this node owned.

        Return NOT_DONE if its record names another node.
        """
        found = await self._fetch(job)
        if isinstance(found, Outcome):
            return found
        if self.is_own(found.record):
            return await self.adopt(found)
        return Outcome.NOT_DONE

    async def take_over(
        self, job: JobId, unresponsive: JobRecord
    ) -> JobRun | Outcome:
        """Take over a job whose owner does not answer.

        Parameters
        ----------
        job
            The job.
        unresponsive
            The record that names the owner which did not answer.

        Returns
        -------
        JobRun or Outcome
            The job as it runs here, or the reason why it does not: ABSENT if
            there is no such job, NOT_DONE if another process has taken it
            over before or a call of the store has failed.
        """
        found = await self._fetch(job)
        if isinstance(found, Outcome):
            return found
        if self.is_own(found.record) or found.status.ended:
            return await self.adopt(found)
        if found.record.term > unresponsive.term:
            # Another process took it over first. The next read goes there.
            return Outcome.NOT_DONE
        _log.warning(
            'gateway: job %s: owner %s does not answer, taking over',
            job,
            found.record.owner,
        )
        claimed = await self._claim(found, replaces_owner=True)
        if isinstance(claimed, Outcome):
            return claimed
        run = await self.adopt(claimed)
        if not isinstance(run, Outcome):
            self.on_takeover(claimed)
        return run

    async def adopt(self, found: FoundJob) -> JobRun | Outcome:
        """Load a job from the store and run it; an ended job is only served.

        Return NOT_DONE if the job could not be loaded, or this process stops.
        """
        with subjects.about(job=found.job):
            return await self._adopt(found)

    async def accept_handoff(
        self, found: FoundJob, loaded: LoadedJob
    ) -> JobRun | Outcome:
        """Run a job whose stopping owner has sent its whole state.

        Parameters
        ----------
        found
            The job's record as the stopping owner knew it.
        loaded
            The job's body, results and partial transcripts.
        """
        claimed = await self._claim(found, replaces_owner=False)
        if isinstance(claimed, Outcome):
            return claimed
        return self._owner.adopt(claimed, loaded)

    async def _adopt(self, found: FoundJob) -> JobRun | Outcome:
        if self._owner.stopping and not found.status.ended:
            return Outcome.NOT_DONE
        known = self._owner.get(found.job)
        if known is not None and known.state is RunState.RUNNING:
            known.update_record(found)
            return known
        started_at = self._context.clock.elapsed()
        loaded = await self._store.load(found.job)
        if isinstance(loaded, Outcome):
            return Outcome.NOT_DONE
        return self._owner.adopt(
            found, msgspec.structs.replace(loaded, read_at=started_at)
        )

    async def _claim(
        self, found: FoundJob, *, replaces_owner: bool
    ) -> FoundJob | Outcome:
        """Become a job's owner in the store; NOT_DONE if that failed."""
        if self._owner.stopping:
            return Outcome.NOT_DONE
        own = self._context.own_record(
            found.record, replaces_owner=replaces_owner
        )
        claimed = await self._store.claim(found, own)
        if isinstance(claimed, Outcome):
            return claimed
        self.cache_record(claimed.job, claimed.record)
        if not self.is_own(claimed.record):
            return Outcome.NOT_DONE
        return claimed

    async def _fetch(self, job: JobId) -> FoundJob | Outcome:
        """Read a job's record from the store and cache it."""
        found = await self._store.find(job)
        if not isinstance(found, Outcome):
            self.cache_record(job, found.record)
        return found


def _ignore(found: FoundJob) -> None:
    """Do nothing; stands for a callback that is not set."""
