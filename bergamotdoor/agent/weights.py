"""Keeps one engine at the published versions of its models."""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.fleet.orders import LoadMode, LoadOrder
from bergamotdoor.fleet.swap import Roster
from bergamotdoor.platform import headers as names
from bergamotdoor.platform.engines import parse_upstream, parse_version
from bergamotdoor.stored import Listing, Outcome
from bergamotdoor.types import FencingToken, ModelId, WeightVersion

if TYPE_CHECKING:
    from collections.abc import Callable

    from bergamotdoor.agent.engine import EngineClient
    from bergamotdoor.clock import Clock
    from bergamotdoor.fleet.orders import EngineReport
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.objects.client import ObjectClient
    from bergamotdoor.stored import Change
    from bergamotdoor.types import NodeId

_POLL_MS: Final = 150
_POLL: Final = dt.timedelta(milliseconds=_POLL_MS)
#: How long the list of engines is taken as true. Engines come and go
#: rarely, and a stale list costs a tenth of a call.
_ROSTER_AGE: Final = dt.timedelta(seconds=5)
#: A load takes 0.9 s, and longer beside others. An order whose effect does
#: not show by then was lost, or waits somewhere: it is given once more, and
#: the count of accepted orders keeps the first from taking effect as well.
_ORDER_PATIENCE_MS: Final = 700
_ORDER_PATIENCE: Final = dt.timedelta(milliseconds=_ORDER_PATIENCE_MS)

_log = logging.getLogger('bergamotdoor.agent')


class WeightsAgent:
    """The only one that gives orders to the engine on its VM.

    Failure: two processes order one engine, each from another state of
    knowledge. Symptom: the engine goes back to an older version. Nobody
    but the process on the engine's own VM gives orders, so no lease is
    needed. Its fencing token is the store's revision, which only grows,
    also over restarts of this process.

    Parameters
    ----------
    store
        Where versions are published and engines registered.
    engine
        The engine.
    node
        The holder that orders name.
    clock
        For turns and patience.
    loaded
        Told of each version that the engine has taken.
    """

    def __init__(
        self,
        store: ObjectClient,
        engine: EngineClient,
        node: NodeId,
        clock: Clock,
        loaded: Callable[[ModelId, WeightVersion], None],
    ) -> None:
        self._store = store
        self._engine = engine
        self._node = node
        self._clock = clock
        self._loaded = loaded
        self._published: dict[ModelId, WeightVersion] = {}
        self._token = FencingToken(0)
        self._changed = asyncio.Event()
        self._roster = Roster((), engine.address)
        self._roster_until = dt.timedelta()

    def reset(self, listing: Listing) -> None:
        """Take all published versions."""
        for stored in listing.objects:
            self._take(stored.spec)
        self._raise_token(listing.revision)
        self._changed.set()

    def apply(self, changes: tuple[Change, ...]) -> None:
        """Take newly published versions."""
        for change in changes:
            if not change.removed:
                self._take(change.stored.spec)
                self._raise_token(change.stored.revision)
        self._changed.set()

    def interrupted(self) -> None:
        """Keep what is known."""

    async def run(self) -> None:
        """Follow the published versions until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            await self._refresh_roster()
            for model in sorted(self._roster.models()):
                await self._catch_up(model)

    def _take(self, spec: bytes) -> None:
        try:
            model, version = parse_version(spec)
        except msgspec.MsgspecError as error:
            _log.error('agent: version not understood: %s', error)
            return
        known = self._published.get(model, WeightVersion(0))
        self._published[model] = max(known, version)

    def _raise_token(self, revision: int) -> None:
        self._token = FencingToken(max(self._token, revision))

    async def _refresh_roster(self) -> None:
        now = self._clock.elapsed()
        if now < self._roster_until:
            return
        listing = await self._store.listing(names.UPSTREAM_KIND, stale=True)
        if isinstance(listing, Outcome):
            return
        self._roster = Roster(_engines(listing), self._engine.address)
        self._roster_until = now + _ROSTER_AGE

    async def _catch_up(self, model: ModelId) -> None:
        """Give orders until the engine has a model's published version."""
        report = await self._engine.report()
        if report is None or not self._behind(report, model):
            return
        await self._clock.sleep(self._roster.turn_delay(model))
        next_order_at = self._clock.elapsed()
        while report is None or self._behind(report, model):
            now = self._clock.elapsed()
            if report is not None and now >= next_order_at:
                next_order_at = now + _ORDER_PATIENCE
                await self._order(model, report)
            await self._clock.sleep(_POLL)
            report = await self._engine.report()
        self._loaded(model, report.versions[model])

    def _behind(self, report: EngineReport, model: ModelId) -> bool:
        known = report.versions.get(model)
        published = self._published.get(model, WeightVersion(0))
        return known is not None and known < published

    async def _order(self, model: ModelId, report: EngineReport) -> None:
        if report.loading:
            return
        order = LoadOrder(
            model=model,
            version=self._published[model],
            mode=LoadMode.RETAIN,
            holder=self._node,
            fencing_token=self._token,
            accepted_orders=report.accepted_orders,
        )
        status = await self._engine.give(order)
        _log.info(
            'agent: order: %s to version %d, token %d, after %d orders: %s',
            model,
            order.version,
            order.fencing_token,
            order.accepted_orders,
            'no answer' if status is None else status,
        )


def _engines(listing: Listing) -> list[Upstream]:
    return [parse_upstream(item.name, item.spec) for item in listing.objects]
