"""Tells the planner of a service what the models of this owner require."""

from __future__ import annotations

import datetime as dt
import logging
import math
from typing import TYPE_CHECKING, Final

from bergamotdoor.calls.manifest import (
    DEFAULT_TOKENS_PER_EVENT,
    pick_service,
)
from bergamotdoor.fleet.demand import (
    INTERVAL_LIFETIME,
    StepDemands,
    step_tokens,
)
from bergamotdoor.peers.demand_messages import DemandTold, PacesKnown
from bergamotdoor.steps.capacity_planner import CapacityPlanner
from bergamotdoor.steps.planned_service import (
    models_of_service,
    planner_order,
)

if TYPE_CHECKING:
    from bergamotdoor.entry.context import Context
    from bergamotdoor.entry.views import ManifestView
    from bergamotdoor.peers.access import StoreAccess
    from bergamotdoor.peers.messages import PeerReply
    from bergamotdoor.steps.job_run import JobRun
    from bergamotdoor.steps.owner import JobOwner
    from bergamotdoor.steps.peer_service import PeerService
    from bergamotdoor.tasks import Tasks
    from bergamotdoor.types import NodeId, ServiceId, UpstreamId

#: To how many entries a demand is told until one of them answers. The next
#: step's demand is told a few seconds later anyway.
_MAX_ATTEMPTS: Final = 3
#: How long an entry that did not answer is asked after the others.
_SILENCE_S: Final = 60
_SILENCE: Final = dt.timedelta(seconds=_SILENCE_S)
_MS_PER_S: Final = 1000

_log = logging.getLogger('bergamotdoor.gateway')


class DemandReports:
    """Measures the demand of models and tells it to the planner.

    Parameters
    ----------
    context
        Services of the process.
    manifests
        The current manifest, with the routes of the jobs.
    access
        The clients for other entries, and their addresses.
    tasks
        Background tasks of the process.
    planner
        The planner of this process, which may be the one to be told.
    """

    def __init__(
        self,
        context: Context,
        manifests: ManifestView,
        access: StoreAccess,
        tasks: Tasks,
        planner: CapacityPlanner,
    ) -> None:
        self._context = context
        self._manifests = manifests
        self._access = access
        self._tasks = tasks
        self._planner = planner
        self._steps = StepDemands()
        #: Monotonic time at which each entry last did not answer.
        self._silent_at: dict[NodeId, dt.timedelta] = {}

    def add_job(self, run: JobRun) -> None:
        """Measure the demand of a job that this process begins to run.

        It is told only where several models share the engines. A demand of 0
        is told of a job without a due time, whose demand is not known.
        """
        route = self._manifests.batch_route(run.spec)
        if route is None:
            return
        service = pick_service(route, 0)
        models = models_of_service(self._context.fleet, service)
        if run.spec.model not in models or len(models) == 1:
            return
        tokens = step_tokens(item.expected_tokens for item in run.spec.items)
        due_after_s = route.due_after.total_seconds()
        demand = (
            tokens / DEFAULT_TOKENS_PER_EVENT / due_after_s
            if due_after_s
            else float(0)
        )
        now = self._context.clock.elapsed()
        self._steps.add(run.spec.model, demand, now)
        due = self._steps.pop_due(run.spec.model, now)
        if due is not None:
            message = DemandTold(
                service, run.spec.model, due, self._measured_ms(service, now)
            )
            self._tasks.start(self._tell(message))

    def _measured_ms(
        self, service: ServiceId, now: dt.timedelta
    ) -> dict[UpstreamId, float]:
        """Return the recently measured event intervals of a service."""
        measured_s = self._context.speeds.measured_since(
            now - INTERVAL_LIFETIME
        )
        return {
            upstream.upstream: measured_s[upstream.upstream] * _MS_PER_S
            for upstream in self._context.fleet
            if upstream.service == service and upstream.upstream in measured_s
        }

    async def _tell(self, message: DemandTold) -> None:
        """Tell a demand to the first entry in the order that answers.

        Failure: the planner has ended or is paused, or is of a release that
        does not know the message. Symptom: the plan is never changed. The
        next entry in the order plans meanwhile.
        """
        entries = self._access.directory.with_own
        order = planner_order(message.service, entries)
        for node in self._answering_first(order)[:_MAX_ATTEMPTS]:
            reply = await self._ask(node, message)
            if reply is None:
                self._silent_at[node] = self._context.clock.elapsed()
            accepted = isinstance(reply, PacesKnown)
            _log.info(
                'gateway: demand of model %s, %.1f events/s, told to %s: %s',
                message.model,
                message.demand_events_s,
                node,
                'accepted' if accepted else 'not accepted',
            )
            if isinstance(reply, PacesKnown):
                self._learn(reply)
                return

    def _answering_first(self, order: list[NodeId]) -> list[NodeId]:
        """Return the entries, those without an answer lately last.

        Failure: as many entries as are asked have ended, and are registered
        for some time. Symptom: nobody is told of the demand meanwhile.
        """
        now = self._context.clock.elapsed()
        self._silent_at = {
            node: silent_at
            for node, silent_at in self._silent_at.items()
            if now - silent_at < _SILENCE
        }
        return sorted(order, key=self._silent_at.__contains__)

    async def _ask(self, node: NodeId, message: DemandTold) -> PeerReply | None:
        if node == self._context.settings.node:
            return self._planner.answer(message)
        entry = self._access.directory.entries.get(node)
        if entry is None:
            return None
        return await self._access.peers.ask(entry.address, message)

    def _learn(self, reply: PacesKnown) -> None:
        """Use the intervals of engines that exist."""
        existing = {upstream.upstream for upstream in self._context.fleet}
        self._context.speeds.learn(
            {
                upstream: interval_ms / _MS_PER_S
                for upstream, interval_ms in reply.intervals_ms.items()
                if upstream in existing and 0 < interval_ms < math.inf
            }
        )


def connect_planner(
    context: Context,
    manifests: ManifestView,
    access: StoreAccess,
    tasks: Tasks,
    owner: JobOwner,
    peer_service: PeerService,
) -> CapacityPlanner:
    """Return the planner of this process, told of demand from now on.

    Parameters
    ----------
    context
        Services of the process.
    manifests
        The current manifest.
    access
        The clients for other entries, and their addresses.
    tasks
        Background tasks of the process.
    owner
        The jobs of this process, whose demand is measured.
    peer_service
        Receives the demands that other entries tell.
    """
    planner = CapacityPlanner(context, access.directory, tasks, owner)
    reports = DemandReports(context, manifests, access, tasks, planner)
    peer_service.register(DemandTold, planner.answer)
    owner.on_adoption = reports.add_job
    return planner
