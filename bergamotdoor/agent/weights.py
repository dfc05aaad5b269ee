"""Keeps one engine's weights at the published versions of its models."""

from __future__ import annotations

import asyncio
import contextlib
import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor.agent.assignment import AssignmentView
from bergamotdoor.fleet.orders import LoadMode, LoadOrder
from bergamotdoor.objects.reader import ObjectReader
from bergamotdoor.platform.engines import parse_version
from bergamotdoor.types import FencingToken, ModelId, WeightVersion

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from bergamotdoor.agent.engine import EngineClient
    from bergamotdoor.clock import Clock
    from bergamotdoor.fleet.orders import EngineReport
    from bergamotdoor.objects.client import ObjectClient
    from bergamotdoor.stored import Change, Listing, StoredObject
    from bergamotdoor.types import NodeId

#: How often the engine is checked if no new version is published.
_CHECK_INTERVAL_S: Final = 1
#: The interval of reading the engine's report while a load is outstanding.
_REPORT_INTERVAL_MS: Final = 150
_REPORT_INTERVAL: Final = dt.timedelta(milliseconds=_REPORT_INTERVAL_MS)
#: The delay after which an order is sent again if the engine neither loads
#: nor has the version: the order was lost or is delayed. The count of
#: accepted orders in both orders prevents the first one from taking effect as
#: well. A load takes 0.9 s, longer while other engines load; no order is sent
#: during a load.
_ORDER_RETRY_MS: Final = 700
_ORDER_RETRY_DELAY: Final = dt.timedelta(milliseconds=_ORDER_RETRY_MS)

#: How many versions the weights may be behind the published one and still be
#: used: a job submitted when a version is published accepts the one before.
_MAX_USABLE_LAG: Final = 1

_log = logging.getLogger('bergamotdoor.agent')


class WeightsAgent:
    """The only sender of load orders to the engine on its VM.

    Failure: two processes send orders to one engine, and one of them knows
    an older published version. Symptom: the engine returns to that version.
    Only the process on the engine's own VM sends orders, so no lease is
    needed. The fencing token is the store's revision, which only increases,
    also across restarts of this process.

    Parameters
    ----------
    store
        The store of the published versions and the registered engines.
    engine
        The client of the engine on this VM.
    node
        The name of this VM, sent as the holder in each order.
    clock
        The clock for delays and intervals.
    announce
        The coroutine function that announces a version before the engine is
        ordered to load it.
    loaded
        The callback that receives each version which the engine has loaded.
    """

    def __init__(
        self,
        store: ObjectClient,
        engine: EngineClient,
        node: NodeId,
        clock: Clock,
        announce: Callable[[ModelId, WeightVersion], Awaitable[None]],
        loaded: Callable[[ModelId, WeightVersion], None],
    ) -> None:
        self._engine = engine
        self._node = node
        self._clock = clock
        self._announce = announce
        self._on_loaded = loaded
        self._published: dict[ModelId, WeightVersion] = {}
        self._reader = ObjectReader(_log, 'agent')
        self._token = FencingToken(0)
        #: The latest start time that the engine has reported.
        self._engine_started_at = dt.timedelta()
        self._versions_changed = asyncio.Event()
        self._assignment = AssignmentView(store, engine.address, clock)

    def reset(self, listing: Listing) -> None:
        """Add a listing of all published versions to the known ones."""
        for stored in listing.objects:
            self._add_version(stored)
        self._advance_token(listing.revision)
        self._versions_changed.set()

    def apply(self, changes: tuple[Change, ...]) -> None:
        """Add newly published versions."""
        for change in changes:
            if not change.removed:
                self._add_version(change.stored)
                self._advance_token(change.stored.revision)
        self._versions_changed.set()

    def interrupted(self, failed_at: dt.timedelta) -> None:
        """Keep the known versions while the store is unreachable."""

    async def run(self) -> None:
        """Load the published versions until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_CHECK_INTERVAL_S):
                    await self._versions_changed.wait()
            self._versions_changed.clear()
            await self._load_versions()

    async def _load_versions(self) -> None:
        """Load the published versions into the engine if it is behind.

        Failure: the engine restarts, or executes an order that was sent
        before its restart. Symptom: it has old weights until the next
        version is published, and gets no items of any job. Its report is
        read every second; the request does not leave the VM.
        """
        if not self._published:
            return
        await self._assignment.refresh()
        for model in sorted(self._assignment.current.models()):
            await self._load_version(model)

    def _add_version(self, stored: StoredObject) -> None:
        found = self._reader.read(stored, parse_version)
        if found is None:
            return
        known = self._published.get(found.model, WeightVersion(0))
        self._published[found.model] = max(known, found.version)

    def _advance_token(self, revision: int) -> None:
        self._token = FencingToken(max(self._token, revision))

    async def _load_version(self, model: ModelId) -> None:
        """Send orders until the engine has a model's published version."""
        report = await self._read_report()
        if report is None or not self._is_behind(report, model):
            return
        await self._wait_for_turn(model, report)
        if self._assignment.current.is_shared:
            # Announced once: each announcement closes the engine for a while,
            # and an engine that refuses its orders would stay closed.
            await self._announce(model, self._published[model])
        next_order_at = self._clock.elapsed()
        ordered_start_at = self._engine_started_at
        while report is None or self._is_behind(report, model):
            now = self._clock.elapsed()
            # An engine that restarted has lost the orders sent before.
            due = (
                now >= next_order_at
                or self._engine_started_at != ordered_start_at
            )
            if report is not None and due:
                next_order_at = now + _ORDER_RETRY_DELAY
                ordered_start_at = self._engine_started_at
                await self._send_order(model, report)
            await self._clock.sleep(_REPORT_INTERVAL)
            report = await self._read_report()
        self._on_loaded(model, report.versions[model])

    async def _wait_for_turn(
        self, model: ModelId, report: EngineReport
    ) -> None:
        """Wait until it is the engine's turn to load a version.

        Failure: an engine waits for its turn while the next version is
        published, or has missed some versions while the store was down.
        Symptom: the next job doesn't accept its weights either, and on a
        site with 15 engines per model the last engines serve no job for
        seconds. An engine whose weights no job accepts therefore loads at
        once: it could run no items while it waits.
        """
        now = self._clock.elapsed()
        until = now + self._assignment.current.turn_delay(model)
        while now < until and not self._has_unusable_weights(report, model):
            await self._clock.sleep(min(_REPORT_INTERVAL, until - now))
            now = self._clock.elapsed()

    def _has_unusable_weights(
        self, report: EngineReport, model: ModelId
    ) -> bool:
        """Return whether no job accepts the engine's weights any more."""
        published = self._published.get(model, WeightVersion(0))
        return published - report.versions[model] > _MAX_USABLE_LAG

    async def _read_report(self) -> EngineReport | None:
        """Return the engine's report.

        ``None`` if it can't be read, or was written before the latest
        known start of the engine.
        """
        report = await self._engine.report()
        if report is None or report.started < self._engine_started_at:
            return None
        if report.started > self._engine_started_at:
            _log.info('agent: the engine started at %s', report.started)
            self._engine_started_at = report.started
        return report

    def _is_behind(self, report: EngineReport, model: ModelId) -> bool:
        known = report.versions.get(model)
        published = self._published.get(model, WeightVersion(0))
        return known is not None and known < published

    async def _send_order(self, model: ModelId, report: EngineReport) -> None:
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
