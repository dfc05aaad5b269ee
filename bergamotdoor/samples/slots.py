"""The samples of a step: waiting, running or finished."""

from __future__ import annotations

import datetime as dt
import heapq
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from bergamotdoor.samples.events import BatchSample, HeldRun
from bergamotdoor.samples.plan import SampleSpec, StepPlan
from bergamotdoor.types import (
    GroupId,
    RequestId,
    SampleId,
    UpstreamId,
    WeightVersion,
)

if TYPE_CHECKING:
    from collections.abc import Iterator


class Run(msgspec.Struct):
    """One attempt in flight.

    ``published`` is the current version when it began, hence the highest
    that its first token can have; 0 where another owner began it.
    """

    request: RequestId
    sample: SampleId
    began: dt.timedelta
    published: WeightVersion = WeightVersion(0)
    upstream: UpstreamId | None = None
    #: A second run of a straggler.
    hedge: bool = False
    #: The sidecars were asked which of them has it.
    sought: bool = False


class Slot(msgspec.Struct):
    """One sample's state."""

    spec: SampleSpec
    order: int
    #: When it may be dispatched; None while it runs or is finished.
    ready_at: dt.timedelta | None = None
    runs: dict[RequestId, Run] = msgspec.field(default_factory=dict)
    finished: BatchSample | None = None
    #: Which sidecar still holds the finished answer.
    origin: HeldRun | None = None
    #: How long its longest run took.
    took: dt.timedelta = dt.timedelta()
    #: Failed runs since the last success.
    failures: int = 0
    #: Runs that an engine refused for good.
    rejections: int = 0
    #: No second run is begun before this.
    hedge_after: dt.timedelta = dt.timedelta()

    def may_hedge(self, now: dt.timedelta) -> bool:
        """Return whether a second run may begin beside the first."""
        return len(self.runs) < 2 and now >= self.hedge_after

    @property
    def group(self) -> GroupId:
        """The group that the sample belongs to."""
        return self.spec.group.group


class _Waiting(NamedTuple):
    """A sample that waits, in the order in which it goes."""

    ready_at: dt.timedelta
    longest_first: dt.timedelta
    order: int
    sample: SampleId


class SlotTable:
    """All slots of a step, and counts that stay right with each change."""

    def __init__(self, plan: StepPlan, now: dt.timedelta) -> None:
        self.slots: dict[SampleId, Slot] = {}
        self.unfinished = plan.sample_count
        self._runs: dict[RequestId, Run] = {}
        self._waiting: list[_Waiting] = []
        for order, spec in enumerate(plan.samples()):
            self.slots[spec.sample] = Slot(spec, order)
            self.wait(self.slots[spec.sample], now)

    @property
    def in_flight(self) -> int:
        """How many runs are in flight."""
        return len(self._runs)

    def begin(self, run: Run) -> None:
        """Count a run; its sample no longer waits."""
        slot = self.slots[run.sample]
        assert slot.finished is None, f'{run.sample} runs though finished'
        slot.ready_at = None
        slot.runs[run.request] = run
        self._runs[run.request] = run

    def end(self, request: RequestId, now: dt.timedelta) -> Run | None:
        """Take a run off the table; None if it is not on it."""
        run = self._runs.pop(request, None)
        if run is not None:
            slot = self.slots[run.sample]
            slot.runs.pop(request)
            slot.took = max(slot.took, now - run.began)
        return run

    def run(self, request: RequestId) -> Run | None:
        """Return a run in flight."""
        return self._runs.get(request)

    def running(self) -> Iterator[Run]:
        """Yield the runs as they are now, safe against changes."""
        yield from tuple(self._runs.values())

    def finish(
        self, slot: Slot, sample: BatchSample, origin: HeldRun | None
    ) -> None:
        """Keep a sample's answer."""
        assert slot.finished is None, f'{sample.sample} is finished twice'
        slot.ready_at = None
        slot.finished = sample
        slot.origin = origin
        slot.failures = 0
        self.unfinished -= 1

    def reopen(self, slot: Slot, now: dt.timedelta) -> None:
        """Drop a finished answer and have the sample run again."""
        assert slot.finished is not None, 'only a finished sample reopens'
        slot.finished = None
        slot.origin = None
        self.unfinished += 1
        self.wait(slot, now)

    def wait(self, slot: Slot, until: dt.timedelta) -> None:
        """Queue a sample, unless another run of it goes on."""
        if slot.runs:
            return
        slot.ready_at = until
        # Drawn alike, a sample takes as long as before: those that take
        # longest go first, or the step waits for them at its end.
        longest_first = -slot.took
        heapq.heappush(
            self._waiting,
            _Waiting(until, longest_first, slot.order, slot.spec.sample),
        )

    def next_ready(self, now: dt.timedelta) -> Slot | None:
        """Return the first slot that may be dispatched, if any."""
        while self._waiting and self._waiting[0].ready_at <= now:
            first = self._waiting[0]
            slot = self.slots[first.sample]
            if slot.ready_at == first.ready_at:
                return slot
            heapq.heappop(self._waiting)
        return None

    def finished(self) -> Iterator[Slot]:
        """Yield the finished slots in the trainer's order."""
        for slot in self.slots.values():
            if slot.finished is not None:
                yield slot
