"""Rolls the published version out to the engines of one service."""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.clock import Clock
from bergamotdoor.entry.interfaces import OrderRunner
from bergamotdoor.entry.steps_records import WEIGHTS, Versioned, decode
from bergamotdoor.entry.steps_tasks import TaskSet, wait_set
from bergamotdoor.store.protocols import (
    ObjectStore,
    StoreFailure,
    StoreProblem,
)
from bergamotdoor.types import (
    ABSENT,
    FencingToken,
    ServiceId,
    UpstreamId,
    WeightVersion,
)
from bergamotdoor.verdict import Failure, Reason, Verdict
from bergamotdoor.weights.versions import PublishedWeights

if TYPE_CHECKING:
    from bergamotdoor.weights.waves import LoadOrder, RolloutPlan
    from bergamotdoor.wire.messages import OrderResult

_log: Final = logging.getLogger('bergamotdoor.rollouts')

#: How long one watch of the published version waits at the store.
_WATCH: Final = dt.timedelta(seconds=10)
_RETRY: Final = dt.timedelta(seconds=1)
#: How often the plan is asked without news.
_REVIEW: Final = dt.timedelta(milliseconds=500)  # noqa: WPS432 -- named here


_UNCLEAR: Final = Failure(
    Verdict.MAY_HAVE_RUN, Reason.UNSETTLED, 'the order ended without a result'
)


class RolloutParts(msgspec.Struct, frozen=True, kw_only=True):
    """What a rollout is made of.

    Parameters
    ----------
    service
        Whose engines.
    store
        Where versions are published.
    orders
        Reaches the engines through their sidecars.
    clock
        Reads the time.
    held
        Whether the lease is still held under the same token.
    """

    service: ServiceId
    store: ObjectStore
    orders: OrderRunner
    clock: Clock
    held: Callable[[], bool]


class LaggingEngine(msgspec.Struct, frozen=True):
    """An engine that does not serve the published version, for dumps."""

    upstream: UpstreamId
    version: WeightVersion
    health: str
    failures: int


class RolloutView(msgspec.Struct, frozen=True):
    """Where a service's rollout stands."""

    service: str
    target: WeightVersion
    fencing_token: FencingToken
    fenced: bool
    lagging: tuple[LaggingEngine, ...]


class ServiceRollout:
    """Carries out one service's plan while its lease is held.

    Parameters
    ----------
    parts
        What it is made of.
    plan
        Says which engine to order next.
    token
        Goes with every order; a sidecar that has seen a higher one
        refuses, so a holder that was paused can do no harm.
    """

    def __init__(
        self, parts: RolloutParts, plan: RolloutPlan, token: FencingToken
    ) -> None:
        self._parts = parts
        self._plan = plan
        self._token = token
        self._tasks = TaskSet()
        self._news = asyncio.Event()
        self.order_timeout = dt.timedelta()

    async def run(self) -> None:
        """Watch the published version and order until cancelled."""
        self._tasks.spawn('watch', self._watch())
        while not self._plan.fenced:
            self._news.clear()
            self._review()
            await wait_set(self._news, _REVIEW)
        _log.warning(
            'rollouts: token %d of %s is outdated',
            self._token,
            self._parts.service,
        )

    async def close(self) -> None:
        """Give no more orders; those under way end at their engines."""
        await self._tasks.close()

    def aim(self, version: WeightVersion) -> None:
        """Take a version that was published."""
        self._plan.aim(version, self._parts.clock.elapsed())
        self._news.set()

    def view(self) -> RolloutView:
        """Return where the rollout stands."""
        target = self._plan.target
        return RolloutView(
            self._parts.service,
            target,
            self._token,
            self._plan.fenced,
            tuple(
                LaggingEngine(
                    engine.upstream,
                    engine.version,
                    engine.health.value,
                    engine.failures,
                )
                for engine in self._plan.engines()
                if not engine.up_to_date(target)
            ),
        )

    def _review(self) -> None:
        """Give the orders that are due, if the lease is still held."""
        if not self._parts.held():
            return
        now = self._parts.clock.elapsed()
        loads = self._parts.orders.loads(self._parts.service)
        self._plan.report(loads, now)
        for order in self._plan.orders(now):
            self._tasks.spawn(order.upstream, self._order(order))

    async def _order(self, order: LoadOrder) -> None:
        _log.info('rollouts: %s to %d', order.upstream, order.version)
        outcome: OrderResult | Failure = _UNCLEAR
        try:
            outcome = await self._parts.orders.load_weights(
                order.upstream, order.version, self._token, self.order_timeout
            )
        finally:
            # Also when the call breaks: an order without an end would
            # keep the engine from ever being ordered again.
            self._end(order, outcome)

    def _end(self, order: LoadOrder, outcome: OrderResult | Failure) -> None:
        now = self._parts.clock.elapsed()
        if isinstance(outcome, Failure):
            self._plan.failed(outcome, order.upstream, now)
        else:
            self._plan.answered(outcome, order.upstream, now)
        self._news.set()

    async def _watch(self) -> None:
        """Follow the published version; the first look finds the current."""
        seen = ABSENT
        while True:  # noqa: WPS457 -- ends when close() cancels it
            found = await self._parts.store.watch(
                WEIGHTS, self._parts.service, seen, _WATCH
            )
            if isinstance(found, StoreFailure):
                if found.problem is not StoreProblem.NO_CHANGE:
                    await self._parts.clock.sleep(_RETRY)
                continue
            seen = found.version
            published = decode(found, PublishedWeights)
            if isinstance(published, Versioned) and published.record:
                self.aim(published.record.version)
