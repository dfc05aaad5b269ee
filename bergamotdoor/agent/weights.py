"""Keeps one engine at the published versions of its models."""

from __future__ import annotations

import asyncio
import contextlib
import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor.fleet.orders import LoadMode, LoadOrder
from bergamotdoor.fleet.swap import Roster
from bergamotdoor.objects.reader import ObjectReader
from bergamotdoor.platform import headers as names
from bergamotdoor.platform.engines import parse_upstream, parse_version
from bergamotdoor.stored import Listing, Outcome
from bergamotdoor.types import FencingToken, ModelId, WeightVersion

if TYPE_CHECKING:
    from collections.abc import Callable

    from bergamotdoor.agent.engine import EngineClient
    from bergamotdoor.clock import Clock
    from bergamotdoor.fleet.orders import EngineReport
    from bergamotdoor.objects.client import ObjectClient
    from bergamotdoor.stored import Change, StoredObject
    from bergamotdoor.types import NodeId

#: How often an engine is looked at that nothing is known to be new for.
_LOOK_S: Final = 1
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

#: How many versions behind the published one weights are still taken: a
#: step that is asked with the news of a version takes the one before.
_USABLE_LAG: Final = 1

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
        self._reader = ObjectReader(_log, 'agent')
        self._token = FencingToken(0)
        #: The engine's last start that was seen.
        self._started = dt.timedelta()
        self._changed = asyncio.Event()
        self._roster = Roster((), engine.address)
        self._roster_until = dt.timedelta()

    def reset(self, listing: Listing) -> None:
        """Take all published versions."""
        for stored in listing.objects:
            self._take(stored)
        self._raise_token(listing.revision)
        self._changed.set()

    def apply(self, changes: tuple[Change, ...]) -> None:
        """Take newly published versions."""
        for change in changes:
            if not change.removed:
                self._take(change.stored)
                self._raise_token(change.stored.revision)
        self._changed.set()

    def interrupted(self) -> None:
        """Keep what is known."""

    async def run(self) -> None:
        """Follow the published versions until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_LOOK_S):
                    await self._changed.wait()
            self._changed.clear()
            await self._look()

    async def _look(self) -> None:
        """Bring the engine to the published versions, if it is behind.

        Failure: the engine starts again, or carries an order out that was
        given to its last start. Symptom: it has old weights until the next
        version is published, and none of a step's items. It is asked every
        second; the question does not leave the VM.
        """
        if not self._published:
            return
        await self._refresh_roster()
        for model in sorted(self._roster.models()):
            await self._catch_up(model)

    def _take(self, stored: StoredObject) -> None:
        found = self._reader.read(stored, parse_version)
        if found is None:
            return
        known = self._published.get(found.model, WeightVersion(0))
        self._published[found.model] = max(known, found.version)

    def _raise_token(self, revision: int) -> None:
        self._token = FencingToken(max(self._token, revision))

    async def _refresh_roster(self) -> None:
        now = self._clock.elapsed()
        if now < self._roster_until:
            return
        listing = await self._store.listing(names.UPSTREAM_KIND, stale=True)
        if isinstance(listing, Outcome):
            return
        found = (
            self._reader.read(stored, parse_upstream)
            for stored in listing.objects
        )
        engines = (upstream for upstream in found if upstream is not None)
        self._roster = Roster(engines, self._engine.address)
        self._roster_until = now + _ROSTER_AGE

    async def _catch_up(self, model: ModelId) -> None:
        """Give orders until the engine has a model's published version."""
        report = await self._report()
        if report is None or not self._behind(report, model):
            return
        await self._wait_for_turn(model, report)
        next_order_at = self._clock.elapsed()
        ordered_start = self._started
        while report is None or self._behind(report, model):
            now = self._clock.elapsed()
            # What was ordered of its last start it does not know of.
            due = now >= next_order_at or self._started != ordered_start
            if report is not None and due:
                next_order_at = now + _ORDER_PATIENCE
                ordered_start = self._started
                await self._order(model, report)
            await self._clock.sleep(_POLL)
            report = await self._report()
        self._loaded(model, report.versions[model])

    async def _wait_for_turn(
        self, model: ModelId, report: EngineReport
    ) -> None:
        """Wait until the engine may load, or no step can use it before.

        Failure: an engine waits for its turn while the next version is
        named, or was down with the store for some versions. Symptom: the
        next step takes neither its weights, and on a site of 15 engines a
        model the last ones are at no step's service for seconds. It loads
        at once then: there is nothing that it could run meanwhile.
        """
        now = self._clock.elapsed()
        until = now + self._roster.turn_delay(model)
        while now < until and not self._useless(report, model):
            await self._clock.sleep(min(_POLL, until - now))
            now = self._clock.elapsed()

    def _useless(self, report: EngineReport, model: ModelId) -> bool:
        """Return whether steps take none of an engine's weights any more."""
        published = self._published.get(model, WeightVersion(0))
        return published - report.versions[model] > _USABLE_LAG

    async def _report(self) -> EngineReport | None:
        """Return the engine's state; None if it, or its newest, is unknown."""
        report = await self._engine.report()
        if report is None or report.started < self._started:
            return None
        if report.started > self._started:
            _log.info('agent: the engine began at %s', report.started)
            self._started = report.started
        return report

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
