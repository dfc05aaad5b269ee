"""Metrics and state of an entry process, shown on request."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.fleet.quarantine import CALL_STRIKE_LIMIT
from bergamotdoor.gateway.responses import text_response
from bergamotdoor.http.messages import Headers, HttpResponse
from bergamotdoor.observe.call_counts import StoreCalls
from bergamotdoor.observe.dump import DumpRegistry
from bergamotdoor.observe.exposition import exposition
from bergamotdoor.reporting.usage_duty import DutyState
from bergamotdoor.types import Fingerprint, Generation, JobId, UpstreamId

if TYPE_CHECKING:
    import datetime as dt

    from bergamotdoor.entry.context import Context
    from bergamotdoor.entry.views import ManifestView
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.http.messages import HttpRequest
    from bergamotdoor.observe.call_counts import CallCounts
    from bergamotdoor.reporting.usage_duty import UsageDuty
    from bergamotdoor.steps.owner import JobOwner

METRICS_PATH: Final = '/metrics'
STATE_PATH: Final = '/state'
_USUAL_PERCENT: Final = 100


class UpstreamState(msgspec.Struct, frozen=True):
    """State of one upstream as an entry sees it.

    ``in_flight`` counts the requests that this entry has sent there, and
    ``busy`` estimates all requests that the upstream has. A ``resting``
    upstream gets no requests for a while, since it refused or failed some.
    ``event_interval_s`` is the time between two events of an item, in
    seconds, and ``versions`` holds the weight version of each model.
    """

    upstream: UpstreamId
    service: str
    draining: bool
    in_flight: int
    busy: int
    resting: bool
    event_interval_s: float
    versions: dict[str, int]
    #: Time that work takes on its VM now and over the last seconds, in
    #: percent of the usual time.
    pace_percent: int = _USUAL_PERCENT
    steady_pace_percent: int = _USUAL_PERCENT
    #: Number of requests that other entries have told of.
    told: int = 0
    #: Age of the newest load figure in seconds; ``None`` if none is in use.
    figure_age_s: float | None = None


class JobState(msgspec.Struct, frozen=True):
    """Progress of a job that this entry owns.

    ``items`` counts all items of the job, ``listed`` those with a listed
    result and ``running`` those that run at an engine.
    """

    job: JobId
    term: int
    ended: bool
    items: int
    listed: int
    running: int


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
    """

    def __init__(
        self,
        context: Context,
        manifests: ManifestView,
        owner: JobOwner,
        store_calls: CallCounts,
        usage: UsageDuty | None,
    ) -> None:
        self._store_calls = store_calls
        self._context = context
        self._manifests = manifests
        self._owner = owner
        self._usage = usage
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
            tuple(self._collect_upstreams()),
            tuple(self._collect_jobs()),
            tuple(self._store_calls),
            tuple(self._collect_quarantined()),
            self._proof_age_s(),
            None if self._usage is None else self._usage.state,
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
                quarantine.count_strikes(fingerprint),
                quarantine.remaining_time(
                    fingerprint, CALL_STRIKE_LIMIT, now
                ).total_seconds(),
            )
            for fingerprint in quarantine.suspected_requests()
        ]
        return sorted(states, key=lambda state: state.rest_s, reverse=True)

    def _collect_upstreams(self) -> list[UpstreamState]:
        now = self._context.clock.elapsed()
        return [
            self._upstream_state(upstream, now)
            for upstream in self._context.fleet
        ]

    def _upstream_state(
        self, upstream: Upstream, now: dt.timedelta
    ) -> UpstreamState:
        name = upstream.upstream
        load = self._context.loads.of(name)
        pace = load.known.pace
        age = load.known.figure_age(now)
        return UpstreamState(
            name,
            upstream.service,
            upstream.draining,
            load.in_flight,
            load.estimated_requests(now),
            load.is_in_backoff(now),
            self._context.speeds.interval_s(name),
            {
                model: self._context.fleet.version(name, model)
                for model in upstream.versions
            },
            round(pace.fast * _USUAL_PERCENT),
            round(pace.steady(now) * _USUAL_PERCENT),
            load.known.told_requests(now),
            None if age is None else age.total_seconds(),
        )

    def _collect_jobs(self) -> list[JobState]:
        return [
            JobState(
                run.spec.job,
                run.stored_job.record.term,
                run.ended,
                len(run.spec.items),
                len(run.ledger),
                len(run.running),
            )
            for run in self._owner.runs()
        ]
