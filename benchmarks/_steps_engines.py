"""Engines in virtual time, for the benchmark of steps.

A run takes its tokens times a time per token that grows with the engine's
load. Token counts are heavy-tailed and belong to the sample: a second run
of it is as long as the first.
"""

from __future__ import annotations

import heapq
import itertools
import random
from typing import TYPE_CHECKING, Final, NamedTuple

import msgspec

from bergamotdoor.samples.events import RunFinished
from bergamotdoor.types import RequestId, UpstreamId, WeightVersion
from bergamotdoor.utils import hrw_order
from bergamotdoor.wire.messages import VersionSpan

if TYPE_CHECKING:
    from collections.abc import Callable

    from bergamotdoor.samples.actions import Dispatch

#: Runs that one engine takes at once.
SLOTS: Final = 64

_TOKEN_S: Final = 0.02
_MEDIAN_TOKENS: Final = 600
_SIGMA: Final = 0.8
_MOST_TOKENS: Final = 8192


class _Due(NamedTuple):
    """Work at a moment; `order` keeps equal moments in order."""

    when: float
    order: int
    work: Callable[[], None]


class Timeline:
    """Virtual time in seconds, and what happens when."""

    def __init__(self) -> None:
        self.now = float()
        self._numbers = itertools.count()
        self._queue: list[_Due] = []

    def at(self, delay_s: float, work: Callable[[], None]) -> None:
        """Have `work` done in `delay_s` seconds."""
        when = self.now + delay_s
        heapq.heappush(self._queue, _Due(when, next(self._numbers), work))

    def step(self) -> None:
        """Do what is next."""
        due = heapq.heappop(self._queue)
        self.now = due.when
        due.work()


class Engine(msgspec.Struct):
    """One engine."""

    upstream: UpstreamId
    version: int = 1
    slowness: float = 1
    #: Takes work and never finishes it.
    hung: bool = False
    swapped_s: float = 0
    running: dict[RequestId, float] = msgspec.field(default_factory=dict)


class EngineFleet:
    """Places runs as an entry would, and ends them in time.

    Parameters
    ----------
    timeline
        Virtual time.
    count
        How many engines.
    prefer_fresh
        Whether the version that a run prefers counts.
    """

    def __init__(
        self, timeline: Timeline, count: int, *, prefer_fresh: bool
    ) -> None:
        self.engines = {
            f'engine-{number}': Engine(UpstreamId(f'engine-{number}'))
            for number in range(count)
        }
        self.runs = 0
        self._timeline = timeline
        self._prefer_fresh = prefer_fresh

    def begin(
        self, action: Dispatch, report: Callable[[RunFinished], None]
    ) -> bool:
        """Run a sample; False if every engine is full."""
        engine = self._place(action)
        if engine is None:
            return False
        self.runs += 1
        engine.running[action.request] = self._timeline.now
        if not engine.hung:
            tokens = tokens_of(action.spec.sample)
            load = 1 + len(engine.running) / SLOTS
            taken_s = tokens * _TOKEN_S * load * engine.slowness
            self._timeline.at(
                taken_s, lambda: self._end(engine, action, tokens, report)
            )
        return True

    def cancel(self, request: RequestId) -> None:
        """Stop a run."""
        for engine in self.engines.values():
            engine.running.pop(request, None)

    def swap(self, name: str, version: int) -> None:
        """Have an engine serve another version from now on."""
        engine = self.engines[name]
        engine.version = version
        engine.swapped_s = self._timeline.now

    def _place(self, action: Dispatch) -> Engine | None:
        order = [
            self.engines[name]
            for name in hrw_order(action.affinity, self.engines)
        ]
        free = [
            engine
            for engine in order
            if len(engine.running) < SLOTS
            and engine.upstream not in action.avoid
        ]
        floor = action.version_floor if self._prefer_fresh else 0
        fresh = [engine for engine in free if engine.version >= floor]
        return next(iter([*fresh, *free]), None)

    def _end(
        self,
        engine: Engine,
        action: Dispatch,
        tokens: int,
        report: Callable[[RunFinished], None],
    ) -> None:
        began_s = engine.running.pop(action.request, None)
        if began_s is None:
            return
        spans = self._spans(engine, began_s, tokens)
        report(RunFinished(action.request, engine.upstream, '', spans, tokens))

    def _spans(
        self, engine: Engine, began_s: float, tokens: int
    ) -> tuple[VersionSpan, ...]:
        """Split the tokens where the engine swapped during the run."""
        newest = WeightVersion(engine.version)
        if engine.swapped_s <= began_s:
            return (VersionSpan(newest, tokens),)
        share = (engine.swapped_s - began_s) / (self._timeline.now - began_s)
        before = min(max(int(tokens * share), 1), tokens - 1)
        return (
            VersionSpan(WeightVersion(newest - 1), before),
            VersionSpan(newest, tokens - before),
        )


def tokens_of(sample: str) -> int:
    """Return how many tokens a sample has; the same in every run."""
    drawn = random.Random(sample).lognormvariate(0, _SIGMA)
    return max(2, min(int(drawn * _MEDIAN_TOKENS), _MOST_TOKENS))
