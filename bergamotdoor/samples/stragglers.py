"""How long samples usually take, and which runs are stragglers."""

from __future__ import annotations

import bisect
import datetime as dt
from collections import Counter
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.samples.suspects import UpstreamRecords

if TYPE_CHECKING:
    from bergamotdoor.samples.plan import StepPlan
    from bergamotdoor.samples.rules import AssemblyRules
    from bergamotdoor.samples.slots import Run, Slot, SlotTable
    from bergamotdoor.types import GroupId, UpstreamId

#: How often the sidecars are asked at most where stragglers are.
SEARCH_INTERVAL: Final = dt.timedelta(seconds=5)

_LEAST_FINISHED: Final = 3
_LEAST_BUDGET: Final = 2
#: On an upstream that keeps up, this much beyond late is stuck.
_STUCK_RATIO: Final = 4
#: Before the median is known: this share has to be finished, and the
#: longest of these, times the ratio, counts as usual.
_EARLY_SHARE: Final = 0.125
_EARLY_RATIO: Final = 2
#: Before anything is known: this share of the step's time is usual,
#: unless the trainer's last step tells more.
_BLIND_SHARE: Final = 0.125


class _Durations(msgspec.Struct):
    """Sorted durations of the finished ones among `size` runs."""

    size: int
    spans: list[dt.timedelta] = msgspec.field(default_factory=list)

    def median(self) -> dt.timedelta | None:
        """Return the median over all, once half of them are finished.

        The median of the finished ones alone is too low: the short ones
        finish first. Once half are finished, the middle one is known.
        """
        middle = (self.size - 1) // 2
        if len(self.spans) < max(_LEAST_FINISHED, middle + 1):
            return None
        return self.spans[middle]

    def early(self) -> dt.timedelta | None:
        """Return a guess, once some are finished.

        Failure: an engine hangs that holds most of the step's samples, so
        that half of them never finish. Symptom: without a median no run
        is a straggler, and the step waits for its deadline. Enough: what
        the finished ones took, with a margin, stands in for the median.
        """
        if len(self.spans) < max(_LEAST_FINISHED, self.size * _EARLY_SHARE):
            return None
        return self.spans[-1] * _EARLY_RATIO


class StragglerWatch:
    """Knows the usual durations of a step and the budget for hedges.

    The budget bounds second runs that turn out useless: one whose answer
    counts is given back, so that an engine that hangs with a large share
    of the step can't use the budget up.

    Parameters
    ----------
    plan
        The step.
    rules
        Its bounds.
    """

    def __init__(self, plan: StepPlan, rules: AssemblyRules) -> None:
        share = plan.sample_count * rules.hedge_budget_ratio
        self.budget = max(_LEAST_BUDGET, int(share))
        self._ratio = rules.hedge_ratio
        self._deadline = rules.deadline
        whole = rules.deadline - rules.began
        self._blind = rules.usual or whole * _BLIND_SHARE
        self._step = _Durations(plan.sample_count)
        self._groups = {
            group.group: _Durations(group.samples) for group in plan.groups
        }
        self._records = UpstreamRecords()
        self._next_search = rules.began
        self._seek = False
        self.suspects: frozenset[UpstreamId] = frozenset()

    def finished(self, run: Run, slot: Slot, now: dt.timedelta) -> None:
        """Learn from a run that ended well."""
        late = self._overrun(run, slot, now) > self._ratio
        duration = now - run.began
        bisect.insort(self._step.spans, duration)
        bisect.insort(self._groups[slot.group].spans, duration)
        if run.upstream is not None:
            self._records.finished(run.upstream, late=late)

    def usual(self, group: GroupId) -> dt.timedelta:
        """Return a group's usual duration, as well as it is known."""
        return (
            self._groups[group].median()
            or self._step.median()
            or self._step.early()
            or self._blind
        )

    def median(self) -> dt.timedelta | None:
        """Return the step's median, once half of it is finished."""
        return self._step.median()

    def left(
        self, unfinished: int, width: int, now: dt.timedelta
    ) -> dt.timedelta:
        """Estimate how long `unfinished` samples take, `width` at a time."""
        middle = self._step.median()
        if middle is None:
            return max(self._deadline - now, dt.timedelta())
        rounds = max(1, -(-unfinished // max(width, 1)))
        return middle * rounds

    def review(self, table: SlotTable, now: dt.timedelta) -> list[Run]:
        """Return the stragglers worth a second run, worst first.

        Also finds the upstreams that lag behind, see ``suspects``.
        """
        late = [
            (overrun, run)
            for run in table.running()
            if (overrun := self._overrun(run, table.slots[run.sample], now))
            > self._ratio
        ]
        self._seek = any(not (run.upstream or run.sought) for _, run in late)
        self.suspects = self._records.suspects(
            Counter(run.upstream for _, run in late if run.upstream)
        )
        late.sort(key=_by_overrun, reverse=True)
        return [
            run
            for overrun, run in late
            if self._worth(run, overrun, now)
            and table.slots[run.sample].may_hedge(now)
        ]

    def seeks(self, now: dt.timedelta) -> bool:
        """Return whether to ask now where stragglers are, and note it.

        Asking goes to every sidecar of the service, so not at each tick.
        """
        if not self._seek or now < self._next_search:
            return False
        self._next_search = now + SEARCH_INTERVAL
        return True

    def _overrun(self, run: Run, slot: Slot, now: dt.timedelta) -> float:
        """How many times the usual duration a run has taken."""
        usual = max(self.usual(slot.group), dt.timedelta.resolution)
        return (now - run.began) / usual

    def _worth(self, run: Run, overrun: float, now: dt.timedelta) -> bool:
        """Whether a second run has a chance to end first.

        On an upstream that keeps up, a late run is long, and its second
        run is drawn alike and just as long. So there only what is far
        beyond the tail counts as stuck, or whatever is late once a
        failure could not be made good in time.
        """
        if run.upstream is None:
            # No sidecar has it: it was lost on its way.
            return run.sought
        if run.upstream in self.suspects:
            return True
        if overrun > self._ratio * _STUCK_RATIO:
            return True
        return self._deadline - now < now - run.began


def _by_overrun(late: tuple[float, Run]) -> float:
    return late[0]
