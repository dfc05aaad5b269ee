"""Everything that the assembly of one step knows."""

from __future__ import annotations

import datetime as dt
import itertools
from typing import TYPE_CHECKING, Final

from bergamotdoor.samples.actions import CancelRun, Dispatch, ForgetRun
from bergamotdoor.samples.commit import CommitState
from bergamotdoor.samples.pacing import DispatchWindow, retry_delay
from bergamotdoor.samples.plan import request_id
from bergamotdoor.samples.provenance import oldest_version, span_problem
from bergamotdoor.samples.slots import Run, Slot, SlotTable
from bergamotdoor.samples.stragglers import StragglerWatch

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bergamotdoor.samples.actions import Action
    from bergamotdoor.samples.events import BatchSample, RunFinished
    from bergamotdoor.samples.freshness import Freshness
    from bergamotdoor.samples.pacing import RandomSource
    from bergamotdoor.samples.plan import StepPlan
    from bergamotdoor.samples.rules import AssemblyRules
    from bergamotdoor.types import UpstreamId

_NOWHERE: Final[frozenset[UpstreamId]] = frozenset()
_LEAST_DEADLINE: Final = dt.timedelta(minutes=1)


class StepState:
    """The step's slots, pace, stragglers and batch, and their changes.

    Parameters
    ----------
    plan
        The step.
    rules
        Its bounds.
    freshness
        The trainer's view of the published versions.
    rng
        Where the jitter of retries comes from.
    """

    def __init__(
        self,
        plan: StepPlan,
        rules: AssemblyRules,
        freshness: Freshness,
        rng: RandomSource,
    ) -> None:
        self.freshness = freshness
        self.table = SlotTable(plan, rules.began)
        self.commit = CommitState()
        self.window = DispatchWindow(rules.slots)
        self.stragglers = StragglerWatch(plan, rules)
        self._plan = plan
        self._rules = rules
        self._rng = rng
        self._numbers = itertools.count(1)

    @property
    def full(self) -> bool:
        """Whether as many runs are in flight as the engines take."""
        return self.table.in_flight >= self.window.limit

    def dispatch(self, slot: Slot, now: dt.timedelta) -> Dispatch:
        """Begin a sample's run, beside the rest of its group.

        Away from upstreams that lag, unless that has failed: where the
        others are gone, a slow one is better than none.
        """
        affinity = self._plan.prefix + slot.group
        avoid = _NOWHERE if slot.failures else self.stragglers.suspects
        return self._dispatch(slot, affinity, avoid, now)

    def hedge(self, run: Run, now: dt.timedelta) -> Dispatch:
        """Begin a second run of a straggler, away from the first.

        Where the first one is unknown the group's affinity would lead
        back to it, so the second one goes wherever there is room.
        """
        slot = self.table.slots[run.sample]
        self.stragglers.budget -= 1
        suspects = self.stragglers.suspects
        if run.upstream is None:
            return self._dispatch(slot, '', suspects, now)
        affinity = self._plan.prefix + slot.group
        return self._dispatch(slot, affinity, suspects | {run.upstream}, now)

    def usable(self, answer: RunFinished) -> bool:
        """Return whether an answer's origin is known and fresh enough."""
        if span_problem(answer.spans, answer.token_count) is not None:
            return False
        return not self.freshness.too_old(oldest_version(answer.spans))

    def again(
        self, slot: Slot, retry_after_ms: int | None, now: dt.timedelta
    ) -> None:
        """Have a sample whose run failed wait for its next one."""
        slot.failures += 1
        delay = retry_delay(slot.failures, retry_after_ms, self._rng)
        slot.hedge_after = now + delay
        self.table.wait(slot, now + delay)

    def replace_old(self, now: dt.timedelta) -> Iterator[Action]:
        """Run again what the newest version has made too old."""
        for slot in tuple(self.table.finished()):
            origin = slot.origin
            if not self._too_old(slot):
                continue
            self.table.reopen(slot, now)
            if origin is not None:
                yield ForgetRun(origin.request, origin.upstream)
        for run in self.table.running():
            # Its first token is no newer than what was published when it
            # began, so by now its answer would be refused.
            if run.published and self.freshness.too_old(run.published):
                self.table.end(run.request, now)
                self.table.wait(self.table.slots[run.sample], now)
                yield CancelRun(run.request)

    def batch(self) -> tuple[BatchSample, ...]:
        """Return the whole batch, every sample once and fresh enough."""
        slots = tuple(self.table.finished())
        whole = self._plan.sample_count
        assert len(slots) == whole, f'{len(slots)} samples of {whole}'
        assert not any(map(self._too_old, slots)), 'a sample is too old'
        return tuple(
            slot.finished for slot in slots if slot.finished is not None
        )

    def _dispatch(
        self,
        slot: Slot,
        affinity: str,
        avoid: frozenset[UpstreamId],
        now: dt.timedelta,
    ) -> Dispatch:
        request = request_id(slot.spec.sample, self._next_attempt())
        published = self.freshness.current
        second = bool(slot.runs)
        self.table.begin(
            Run(request, slot.spec.sample, now, published, hedge=second)
        )
        left = self.stragglers.left(
            self.table.unfinished, self.window.limit, now
        )
        return Dispatch(
            request,
            slot.spec,
            affinity=affinity,
            avoid=avoid,
            version_floor=self.freshness.floor(now + left),
            deadline=max(self._rules.deadline - now, _LEAST_DEADLINE),
            hedge=second,
        )

    def _next_attempt(self) -> str:
        namespace = self._rules.namespace
        number = next(self._numbers)
        return f'{namespace}-{number}'

    def _too_old(self, slot: Slot) -> bool:
        assert slot.finished is not None, f'{slot.spec} has no answer'
        return self.freshness.too_old(oldest_version(slot.finished.spans))
