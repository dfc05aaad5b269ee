"""Metrics and the state of a process, on request."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.fleet.quarantine import CALL_STRIKES
from bergamotdoor.gateway.refusals import plain
from bergamotdoor.http.messages import Headers, HttpResponse
from bergamotdoor.observe.call_counts import StoreCalls
from bergamotdoor.observe.dump import DumpRegistry
from bergamotdoor.observe.exposition import exposition
from bergamotdoor.reporting.usage_duty import DutyState
from bergamotdoor.types import Fingerprint, Generation, JobId, UpstreamId

if TYPE_CHECKING:
    from bergamotdoor.entry.context import Context
    from bergamotdoor.entry.views import ManifestView
    from bergamotdoor.http.messages import HttpRequest
    from bergamotdoor.observe.call_counts import CallCounts
    from bergamotdoor.reporting.usage_duty import UsageDuty
    from bergamotdoor.steps.owner import JobOwner

METRICS_PATH: Final = '/metrics'
STATE_PATH: Final = '/state'


class UpstreamState(msgspec.Struct, frozen=True):
    """What an entry thinks of one upstream."""

    upstream: UpstreamId
    service: str
    draining: bool
    in_flight: int
    busy: int
    resting: bool
    event_interval_s: float
    versions: dict[str, int]


class JobState(msgspec.Struct, frozen=True):
    """How far a job is that this entry owns."""

    job: JobId
    term: int
    ended: bool
    items: int
    listed: int
    running: int


class QuarantinedState(msgspec.Struct, frozen=True):
    """A request that an entry suspects of ending upstreams."""

    fingerprint: Fingerprint
    #: Upstreams that ended under it in a chain.
    strikes: int
    #: For how long a call is held back; an item is from one strike more on.
    rest_s: float


class GatewayState(msgspec.Struct, frozen=True):
    """The state of an entry."""

    generation: Generation | None
    upstreams: tuple[UpstreamState, ...]
    jobs: tuple[JobState, ...]
    #: Calls of the store since the start, the most frequent first.
    store_calls: tuple[StoreCalls, ...] = ()
    #: Those that rest longest first.
    quarantine: tuple[QuarantinedState, ...] = ()
    #: How long ago the manifest was known to be current; None is never.
    manifest_proof_s: float | None = None
    #: Who reports usage; None where nobody does, or is not known to.
    duty: DutyState | None = None


class GatewayInspector:
    """Shows an entry's metrics and state."""

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
        """Answer with metrics or state."""
        if request.target == METRICS_PATH:
            text = exposition(
                self._context.metrics.snapshot(), self._store_calls
            )
            return plain(HTTPStatus.OK, text)
        if request.target == STATE_PATH:
            return HttpResponse(
                status=int(HTTPStatus.OK),
                headers=Headers.of([('content-type', 'application/json')]),
                body=self._dumps.collect(),
            )
        return plain(HTTPStatus.NOT_FOUND, 'metrics or state')

    def dump(self) -> GatewayState:
        """Return the state now."""
        manifest = self._manifests.manifest
        return GatewayState(
            None if manifest is None else manifest.generation,
            tuple(self._upstreams()),
            tuple(self._jobs()),
            tuple(self._store_calls),
            tuple(self._quarantined()),
            self._proof_s(),
            None if self._usage is None else self._usage.state,
        )

    def _proof_s(self) -> float | None:
        proven_at = self._manifests.proven_at
        if proven_at is None:
            return None
        return (self._context.clock.uptime() - proven_at).total_seconds()

    def _quarantined(self) -> list[QuarantinedState]:
        now = self._context.clock.elapsed()
        quarantine = self._context.quarantine
        states = [
            QuarantinedState(
                fingerprint,
                quarantine.strikes(fingerprint),
                quarantine.rest(fingerprint, CALL_STRIKES, now).total_seconds(),
            )
            for fingerprint in quarantine.suspected()
        ]
        return sorted(states, key=lambda state: state.rest_s, reverse=True)

    def _upstreams(self) -> list[UpstreamState]:
        now = self._context.clock.elapsed()
        states = []
        for upstream in self._context.fleet:
            name = upstream.upstream
            load = self._context.loads.of(name)
            states.append(
                UpstreamState(
                    name,
                    upstream.service,
                    upstream.draining,
                    load.in_flight,
                    load.busy(now),
                    load.resting(now),
                    self._context.speeds.interval_s(name),
                    {
                        model: self._context.fleet.version(name, model)
                        for model in upstream.versions
                    },
                )
            )
        return states

    def _jobs(self) -> list[JobState]:
        return [
            JobState(
                run.spec.job,
                run.found.record.term,
                run.ended,
                len(run.spec.items),
                len(run.ledger),
                len(run.running),
            )
            for run in self._owner.runs()
        ]
