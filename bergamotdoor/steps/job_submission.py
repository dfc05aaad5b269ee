"""Submission of batch jobs, their assignment to an entry, and their end."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from bergamotdoor.calls.accounts import NO_ACCOUNT
from bergamotdoor.jobs.ledger import Ledger
from bergamotdoor.jobs.messages import JobRecord
from bergamotdoor.objects.job_codec import LoadedJob
from bergamotdoor.observe.events import Counted
from bergamotdoor.peers.directory import home_order
from bergamotdoor.stored import Outcome

if TYPE_CHECKING:
    from bergamotdoor.entry.context import Context
    from bergamotdoor.jobs.messages import JobSpec
    from bergamotdoor.objects.job_store import JobStore, Submitted
    from bergamotdoor.steps.job_finder import JobFinder
    from bergamotdoor.steps.owner import JobOwner
    from bergamotdoor.steps.peer_notifier import PeerNotifier
    from bergamotdoor.types import AccountId, JobId


class JobSubmissionService:
    """Service that submits jobs to the store and ends them.

    Parameters
    ----------
    context
        Services and settings of the process.
    store
        Store of the jobs.
    owner
        The jobs that this process owns.
    finder
        Cache of job owners.
    notifier
        Client that notifies other entries of jobs.
    """

    def __init__(
        self,
        context: Context,
        store: JobStore,
        owner: JobOwner,
        finder: JobFinder,
        notifier: PeerNotifier,
    ) -> None:
        self._context = context
        self._store = store
        self._owner = owner
        self._finder = finder
        self._notifier = notifier

    async def submit(self, spec: JobSpec) -> Outcome | None:
        """Store a job and have its preferred owner run it.

        A job that was submitted before is not stored again.

        Returns
        -------
        Outcome or None
            ``None`` once the job is stored; FOREIGN if the job belongs to
            another client account; UNCLEAR if this or an earlier submission
            may have stored it; NOT_DONE if this process knows of no
            submission that may have stored it.
        """
        record = self._first_record(spec)
        try:
            with self._finder.unclear_jobs.submitting(spec.job):
                submitted = await self._store.submit(spec, record)
        except asyncio.CancelledError:
            # The client has left, or this process stops. A write may have
            # been under way.
            self._add_unclear(spec.job)
            raise
        outcome = (
            self._resolve_failure(spec, submitted)
            if isinstance(submitted, Outcome)
            else self._accept(spec, submitted)
        )
        if outcome is not None:
            self._context.metrics.count(_counted(outcome))
        return outcome

    def may_be_stored(self, job: JobId) -> bool:
        """Return whether a job may be in the store, by what is known here."""
        return self._finder.may_be_stored(job)

    async def end(self, job: JobId) -> Outcome | None:
        """End a job and stop its owner; ``None`` once the end is stored."""
        found = await self._store.end(job)
        if isinstance(found, Outcome):
            return found
        self._owner.end(job)
        # This process may run the job, or may have run it before, although
        # another entry is its owner now.
        record = None if found is None else found.record
        if record is not None:
            self._finder.cache_record(job, record)
        self._notifier.notify_of_end(job, record)
        return None

    def _accept(self, spec: JobSpec, submitted: Submitted) -> Outcome | None:
        """Have a job that is in the store run."""
        self._finder.unclear_jobs.discard(spec.job)
        found = submitted.found
        if _is_foreign(found.record, spec.account):
            return Outcome.FOREIGN
        self._finder.cache_record(found.job, found.record, spec.model)
        self._notifier.announce_owner(found, spec.model)
        if not submitted.created:
            if not found.status.ended:
                self._notifier.ensure_running(spec, found.record)
        elif not self._finder.is_own(found.record):
            self._notifier.send_to_preferred_owner(found, spec)
        elif self._owner.get(found.job) is None:
            self._owner.adopt(found, LoadedJob(spec, Ledger()))
        return None

    def _resolve_failure(
        self, spec: JobSpec, outcome: Outcome
    ) -> Outcome | None:
        """Return what a client is told if the store has not taken the job.

        An earlier submission of the job may have been successful, or may
        have been left unclear.
        """
        record = self._finder.recent_record(spec.job)
        if record is not None:
            if _is_foreign(record, spec.account):
                return Outcome.FOREIGN
            self._notifier.ensure_running(spec, record)
            return None
        if outcome is Outcome.UNCLEAR:
            self._add_unclear(spec.job)
        elif spec.job in self._finder.unclear_jobs:
            return Outcome.UNCLEAR
        return outcome

    def _add_unclear(self, job: JobId) -> None:
        self._finder.unclear_jobs.add(job)
        self._notifier.announce_unclear(job)

    def _first_record(self, spec: JobSpec) -> JobRecord:
        """Return the first record of a job, which names its preferred owner."""
        node = self._context.settings.node
        own = self._context.own_entry
        entries = dict(self._notifier.directory.entries)
        if not self._owner.stopping:
            entries[node] = own
        order = home_order(spec.model, entries, self._context.settings.zone)
        preferred = order[0] if order else node
        address = entries.get(preferred, own).address
        return JobRecord(preferred, address, 1, 0, spec.account)


def _counted(outcome: Outcome) -> Counted:
    if outcome is Outcome.UNCLEAR:
        return Counted.JOB_UNCLEAR
    if outcome is Outcome.FOREIGN:
        return Counted.JOB_FOREIGN
    return Counted.JOB_REFUSED


def _is_foreign(record: JobRecord, account: AccountId) -> bool:
    return record.account not in (NO_ACCOUNT, account)
