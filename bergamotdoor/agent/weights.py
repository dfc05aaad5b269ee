"""Keeps one engine at the published versions of its models."""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.fleet.orders import LoadMode, LoadOrder
from bergamotdoor.fleet.swap import turn_delay
from bergamotdoor.objects.messages import Listing, Outcome
from bergamotdoor.platform import headers as names
from bergamotdoor.platform.engines import parse_upstream, parse_version
from bergamotdoor.types import FencingToken, ModelId, WeightVersion

if TYPE_CHECKING:
    from bergamotdoor.agent.engine import EngineClient
    from bergamotdoor.clock import Clock
    from bergamotdoor.fleet.orders import EngineReport
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.objects.client import ObjectClient
    from bergamotdoor.objects.messages import Change
    from bergamotdoor.types import NodeId

_POLL_MS: Final = 150
_POLL: Final = dt.timedelta(milliseconds=_POLL_MS)
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
    """

    def __init__(
        self,
        store: ObjectClient,
        engine: EngineClient,
        node: NodeId,
        clock: Clock,
    ) -> None:
        self._store = store
        self._engine = engine
        self._node = node
        self._clock = clock
        self._published: dict[ModelId, WeightVersion] = {}
        self._token = FencingToken(0)
        self._changed = asyncio.Event()

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
            await self._take_turn()
            await self._catch_up()

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

    async def _take_turn(self) -> None:
        report = await self._engine.report()
        if report is None or not self._behind(report):
            return
        listing = await self._store.listing(names.UPSTREAM_KIND, stale=True)
        if isinstance(listing, Outcome):
            return
        delay = turn_delay(_engines(listing), self._engine.address)
        await self._clock.sleep(delay)

    async def _catch_up(self) -> None:
        """Give orders until the engine has every published version."""
        next_order_at = self._clock.elapsed()
        while True:
            report = await self._engine.report()
            behind = [] if report is None else self._behind(report)
            if report is not None and not behind:
                return
            now = self._clock.elapsed()
            if report is not None and now >= next_order_at:
                next_order_at = now + _ORDER_PATIENCE
                await self._order(behind[0], report)
            await self._clock.sleep(_POLL)

    def _behind(self, report: EngineReport) -> list[ModelId]:
        return [
            model
            for model, version in report.versions.items()
            if version < self._published.get(model, WeightVersion(0))
        ]

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
