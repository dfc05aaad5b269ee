"""Notes how long operations on the store take, and how they fail."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from bergamotdoor.observe.metrics import Stage
from bergamotdoor.store.protocols import StoreFailure

if TYPE_CHECKING:
    import datetime as dt

    from bergamotdoor.clock import Clock
    from bergamotdoor.observe.metrics import Metrics

Outcome = TypeVar('Outcome')


class StoreMeasures:
    """Notes each operation; without metrics it notes nothing."""

    def __init__(self, clock: Clock, metrics: Metrics | None) -> None:
        self._clock = clock
        self._metrics = metrics

    def begin(self) -> dt.timedelta:
        """Return the time at which an operation begins."""
        return self._clock.elapsed()

    def noted(self, began: dt.timedelta, outcome: Outcome) -> Outcome:
        """Note the latency as ``Stage.STORE`` and count the problem."""
        if self._metrics is not None:
            self._metrics.record(Stage.STORE, self._clock.elapsed() - began)
            if isinstance(outcome, StoreFailure):
                self._metrics.count(outcome.problem)
        return outcome
