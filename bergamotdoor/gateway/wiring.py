"""Construction of the components of an entry process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bergamotdoor.gateway.admission import Admission
from bergamotdoor.gateway.batch_handler import BatchHandler
from bergamotdoor.gateway.call_handler import CallHandler
from bergamotdoor.gateway.request_router import RequestRouter
from bergamotdoor.objects.job_store import JobStore
from bergamotdoor.peers.news_source import NewsSource
from bergamotdoor.reporting.usage_duty import UsageDuty
from bergamotdoor.steps import demand_reports, job_handoff
from bergamotdoor.steps.job_finder import JobFinder
from bergamotdoor.steps.job_reads import JobReadService
from bergamotdoor.steps.job_submission import JobSubmissionService
from bergamotdoor.steps.owner import JobOwner
from bergamotdoor.steps.peer_notifier import PeerNotifier
from bergamotdoor.steps.peer_service import PeerService

if TYPE_CHECKING:
    from bergamotdoor.entry.context import Context
    from bergamotdoor.entry.views import ManifestView
    from bergamotdoor.peers.access import StoreAccess
    from bergamotdoor.tasks import Tasks


class EntryComponents:
    """Components of an entry process that serve batch jobs and callers.

    Parameters
    ----------
    context
        The shared state of the process.
    access
        The clients for the store and for the other entries.
    manifests
        The view of the manifest.
    tasks
        The background tasks of the process.
    final_tasks
        The tasks that a planned stop completes, as time allows.
    """

    def __init__(
        self,
        context: Context,
        access: StoreAccess,
        manifests: ManifestView,
        tasks: Tasks,
        final_tasks: Tasks,
    ) -> None:
        self.store = JobStore(context.store)
        self.owner = JobOwner(context, self.store, manifests)
        self.finder = JobFinder(context, self.store, self.owner)
        self.notifier = PeerNotifier(
            self.finder,
            access.peers,
            access.directory,
            final_tasks,
            context.clock,
            context.settings.zone,
        )
        self.handoff = job_handoff.JobHandoff(
            self.owner,
            self.notifier,
            self.store,
            context.clock,
            final_tasks,
        )
        self.news_source = NewsSource(
            context.store, context.clock, tasks, access.sharing
        )
        access.news.own_source = self.news_source
        self.peer_service = PeerService(
            self.owner,
            self.finder,
            self.notifier,
            context,
            access.direct,
            self.news_source,
        )
        self.peer_service.register(
            context.load_sharing.message_type, context.load_sharing.take
        )
        #: ``None`` if this entry does not report usage.
        self.usage: UsageDuty | None = None
        if context.settings.duties is not None:
            self.usage = UsageDuty(
                context.settings, access, context.client, context.clock, tasks
            )
            for message_type in self.usage.messages:
                self.peer_service.register(message_type, self.usage.take)
        self.planner = demand_reports.connect_planner(
            context, manifests, access, tasks, self.owner, self.peer_service
        )
        self.router = self._make_router(context, access, manifests)

    async def resume_jobs(self) -> bool:
        """Resume the jobs that this node's previous process owned.

        Returns
        -------
        bool
            ``False`` if the store did not return the list of jobs.
        """
        jobs = await self.store.all_jobs(stale=False)
        if not isinstance(jobs, tuple):
            return False
        for found in jobs:
            if self.finder.is_own(found.record) and not found.status.ended:
                await self.finder.adopt(found)
        return True

    def _make_router(
        self, context: Context, access: StoreAccess, manifests: ManifestView
    ) -> RequestRouter:
        admission = Admission(context, manifests)
        submission_service = JobSubmissionService(
            context, self.store, self.owner, self.finder, self.notifier
        )
        read_service = JobReadService(
            self.owner, self.finder, access.peers, context.clock
        )
        counter = None if self.usage is None else self.usage.counter
        return RequestRouter(
            context,
            manifests,
            admission,
            CallHandler(context, counter),
            BatchHandler(submission_service, read_service, admission),
        )
