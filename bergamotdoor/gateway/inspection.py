"""Metrics and state of an entry process, shown on request."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.fleet.quarantine import CALL_STRIKE_LIMIT
from bergamotdoor.gateway.responses import text_response
from bergamotdoor.gateway.upstream_state import (
    QueueState,
    UpstreamState,
    collect_queues,
    collect_upstreams,
)
from bergamotdoor.http.messages import Headers, HttpRequest, HttpResponse
from bergamotdoor.observe.call_counts import CallCounts, StoreCalls
from bergamotdoor.observe.dump import DumpRegistry
from bergamotdoor.observe.exposition import exposition
from bergamotdoor.reporting.usage_duty import DutyState
from bergamotdoor.steps.planned_service import PlanState
from bergamotdoor.types import Fingerprint, Generation, JobId

if TYPE_CHECKING:
    from bergamotdoor.entry.context import Context
    from bergamotdoor.entry.views import ManifestView
    from bergamotdoor.reporting.usage_duty import UsageDuty
    from bergamotdoor.steps.capacity_planner import CapacityPlanner
    from bergamotdoor.steps.job_run import JobRun
    from bergamotdoor.steps.owner import JobOwner

METRICS_PATH: Final = '/metrics'
STATE_PATH: Final = '/state'


class JobState(msgspec.Struct, frozen=True):
    """Progress of a job that this entry owns.

    ``items`` counts all items of the job, ``listed`` those with a listed
    result and ``running`` those that run at an engine. ``kept_groups`` and
    ``deferred_groups`` count the groups with open items. ``forecast_s`` is
    the time until the target of the job is expected to be complete, in
    seconds; ``None`` without a forecast.
    """

    job: JobId
    term: int
    ended: bool
    items: int
    listed: int
    running: int
    kept_groups: int = 0
    deferred_groups: int = 0
    forecast_s: float | None = None


class QuarantinedState(msgspec.Struct, frozen=True):
    """A request that an entry suspects of ending upstreams."""

    fingerprint: Fingerprint
    #: How many upstreams ended under the request in a chain.
    strikes: int
    #: How long a call is still held back, in seconds. An item is held back
    #: from one strike more on.
    rest_s: float


class GatewayState(msgspec.Struct, frozen=True):
    """The state of an entry."""

    generation: Generation | None
    upstreams: tuple[UpstreamState, ...]
    jobs: tuple[JobState, ...]
    #: Counts of calls to the store since the start, most frequent first.
    store_calls: tuple[StoreCalls, ...] = ()
    #: Suspected requests, those held back for the longest time first.
    quarantine: tuple[QuarantinedState, ...] = ()
    #: How long ago the manifest was last known to be current, in seconds;
    #: ``None`` if it never was.
    manifest_proof_s: float | None = None
    #: The duty to report usage; ``None`` if usage is not reported or the
    #: holder of the duty is not known.
    duty: DutyState | None = None
    #: Services of which this entry was told demands, with their plans.
    plans: tuple[PlanState, ...] = ()
    #: Queues of calls, by service.
    queues: tuple[QueueState, ...] = ()


class GatewayInspector:
    """Handler of requests for an entry's metrics and state.

    Parameters
    ----------
    context
        The shared state of the process.
    manifests
        The view of the manifest.
    owner
        The owner of this entry's batch jobs.
    store_calls
        The counts of calls to the store.
    usage
        The usage reporting; ``None`` if this entry does not report usage.
    planner
        The planner of this entry.
    """

    def __init__(
        self,
        context: Context,
        manifests: ManifestView,
        owner: JobOwner,
        store_calls: CallCounts,
        usage: UsageDuty | None,
        planner: CapacityPlanner,
    ) -> None:
        self._store_calls = store_calls
        self._context = context
        self._manifests = manifests
        self._owner = owner
        self._usage = usage
        self._planner = planner
        self._dumps = DumpRegistry()
        self._dumps.register('gateway', self)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the metrics, the state, or 404 for any other path."""
        if request.target == METRICS_PATH:
            text = exposition(
                self._context.metrics.snapshot(), self._store_calls
            )
            return text_response(HTTPStatus.OK, text)
        if request.target == STATE_PATH:
            return HttpResponse(
                status=int(HTTPStatus.OK),
                headers=Headers.of([('content-type', 'application/json')]),
                body=self._dumps.collect(),
            )
        return text_response(HTTPStatus.NOT_FOUND, 'metrics or state')

    def dump(self) -> GatewayState:
        """Return the present state."""
        manifest = self._manifests.manifest
        return GatewayState(
            None if manifest is None else manifest.generation,
            tuple(collect_upstreams(self._context)),
            tuple(self._collect_jobs()),
            tuple(self._store_calls),
            tuple(self._collect_quarantined()),
            self._proof_age_s(),
            None if self._usage is None else self._usage.state,
            self._planner.states(),
            tuple(collect_queues(self._context)),
        )

    def _proof_age_s(self) -> float | None:
        proven_at = self._manifests.proven_at
        if proven_at is None:
            return None
        return (self._context.clock.uptime() - proven_at).total_seconds()

    def _collect_quarantined(self) -> list[QuarantinedState]:
        now = self._context.clock.elapsed()
        quarantine = self._context.quarantine
        states = [
            QuarantinedState(
                fingerprint,
                quarantine.known_strikes(fingerprint),
                quarantine.remaining_time(
                    fingerprint, CALL_STRIKE_LIMIT, now
                ).total_seconds(),
            )
            for fingerprint in quarantine.suspected_requests()
        ]
        return sorted(states, key=lambda state: state.rest_s, reverse=True)

    def _collect_jobs(self) -> list[JobState]:
        return [self._job_state(run) for run in self._owner.runs()]

    def _job_state(self, run: JobRun) -> JobState:
        planner = self._owner.planner
        forecast = planner.forecast_of(run.spec.job) if run.active else None
        target_in = planner.target_in(run.spec.job) if run.active else None
        return JobState(
            run.spec.job,
            run.stored_job.record.term,
            run.ended,
            len(run.spec.items),
            len(run.ledger),
            len(run.running),
            0 if forecast is None else len(forecast.kept),
            0 if forecast is None else len(forecast.deferred),
            None if target_in is None else target_in.total_seconds(),
        )
