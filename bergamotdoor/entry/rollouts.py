"""Owns the weight rollouts of the services whose lease this entry holds."""

from __future__ import annotations

import datetime as dt
import functools
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor import utils
from bergamotdoor.entry.rollouts_service import (
    RolloutParts,
    RolloutView,
    ServiceRollout,
)
from bergamotdoor.entry.steps_index import CurrentIndex
from bergamotdoor.entry.steps_tasks import TaskSet
from bergamotdoor.types import UpstreamKind
from bergamotdoor.weights.swap_times import SwapTimes
from bergamotdoor.weights.waves import RolloutPlan, WaveRules

if TYPE_CHECKING:
    from bergamotdoor.entry.interfaces import OrderRunner
    from bergamotdoor.entry.steps_context import EntryContext
    from bergamotdoor.settings.document import RolloutRules, Service
    from bergamotdoor.settings.lookup import Index
    from bergamotdoor.store.protocols import ObjectStore
    from bergamotdoor.types import FencingToken, ServiceId, WeightVersion

_log: Final = logging.getLogger('bergamotdoor.rollouts')

_REVIEW: Final = dt.timedelta(milliseconds=500)  # noqa: WPS432 -- named here


class Holding:
    """One service's rollout while this entry holds its lease."""

    def __init__(
        self, token: FencingToken, plan: RolloutPlan, rollout: ServiceRollout
    ) -> None:
        self.token = token
        self.rollout = rollout
        self._plan = plan

    def configure(
        self, service: Service, index: Index, rules: RolloutRules
    ) -> None:
        """Take the engines and rules of the configuration in force."""
        self._plan.rules = _wave_rules(rules)
        self._plan.equip(
            (upstream.id for upstream in service.upstreams), index.leaving
        )
        self.rollout.order_timeout = utils.from_ms(rules.order_timeout_ms)


class RolloutOwner:
    """Brings engines to the published version, service by service.

    It never ends: an engine that comes back with an old version is
    ordered again, also when nothing new was published.

    Parameters
    ----------
    store
        The platform's object API.
    orders
        Reaches the engines through their sidecars.
    context
        This entry and its views.
    """

    def __init__(
        self, store: ObjectStore, orders: OrderRunner, context: EntryContext
    ) -> None:
        self._store = store
        self._orders = orders
        self._context = context
        self._index = CurrentIndex(context.configuration)
        self._times: dict[ServiceId, SwapTimes] = {}
        self._held: dict[ServiceId, Holding] = {}
        self._tasks = TaskSet()

    async def start(self) -> None:
        """Begin to claim leases and to give orders."""
        self._tasks.spawn('review', self._review())

    async def stop(self) -> None:
        """Give the leases up; orders under way end at their engines."""
        await self._tasks.close()
        for service in tuple(self._held):
            self._context.leases.want(_lease(service), wanted=False)
            await self._leave(service)

    def notice(self, service: ServiceId, version: WeightVersion) -> None:
        """Take the hint that a version was published."""
        holding = self._held.get(service)
        if holding is not None:
            holding.rollout.aim(version)

    def dump(self) -> tuple[RolloutView, ...]:
        """Return where each rollout stands."""
        return tuple(held.rollout.view() for held in self._held.values())

    async def _review(self) -> None:
        while True:  # noqa: WPS457 -- ends when stop() cancels it
            index = self._index.get()
            services = {} if index is None else _engine_services(index)
            for gone in self._held.keys() - services.keys():
                self._context.leases.want(_lease(gone), wanted=False)
                await self._leave(gone)
            for service in services.values():
                await self._review_service(service)
            await self._context.clock.sleep(_REVIEW)

    async def _review_service(self, service: Service) -> None:
        lease = _lease(service.id)
        token = self._context.claim(lease, lease)
        held = self._held.get(service.id)
        if held is not None and held.token != token:
            await self._leave(service.id)
        if token is not None and service.id not in self._held:
            self._take(service.id, token)
        self._configure(service)

    def _configure(self, service: Service) -> None:
        held = self._held.get(service.id)
        index = self._index.get()
        current = self._context.configuration.current()
        if held is None or index is None or current is None:
            return
        held.configure(service, index, current.document.rules.rollout)

    def _take(self, service: ServiceId, token: FencingToken) -> None:
        _log.info('rollouts: owning %s with token %d', service, token)
        times = self._times.setdefault(service, SwapTimes())
        plan = RolloutPlan(_NO_RULES, times)
        parts = RolloutParts(
            service=service,
            store=self._store,
            orders=self._orders,
            clock=self._context.clock,
            held=functools.partial(self._holds, service, token),
        )
        rollout = ServiceRollout(parts, plan, token)
        self._held[service] = Holding(token, plan, rollout)
        self._tasks.spawn(service, rollout.run())

    def _holds(self, service: ServiceId, token: FencingToken) -> bool:
        return self._context.leases.token(_lease(service)) == token

    async def _leave(self, service: ServiceId) -> None:
        _log.info('rollouts: no longer owning %s', service)
        self._tasks.cancel(service)
        await self._held.pop(service).rollout.close()


_NO_RULES: Final = WaveRules(min_serving_ratio=1, deadline=dt.timedelta())


def _engine_services(index: Index) -> dict[ServiceId, Service]:
    return {
        service.id: service
        for service in index.services.values()
        if service.kind is UpstreamKind.ENGINE
    }


def _wave_rules(rules: RolloutRules) -> WaveRules:
    return WaveRules(
        min_serving_ratio=rules.min_serving_ratio,
        deadline=utils.from_ms(rules.deadline_ms),
    )


def _lease(service: ServiceId) -> str:
    return f'weights.{service}'
