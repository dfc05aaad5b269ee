"""Keeps one engine at the published versions of its models."""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.fleet.orders import EngineReport, LoadMode, LoadOrder
from bergamotdoor.fleet.swap import turn_delay
from bergamotdoor.http.messages import (
    BodyBrokenError,
    BodyTooLargeError,
    ClientRequest,
    ClientResponse,
    Headers,
)
from bergamotdoor.objects.messages import Listing, Outcome
from bergamotdoor.platform import headers as names
from bergamotdoor.platform.engines import (
    order_body,
    parse_report,
    parse_upstream,
    parse_version,
)
from bergamotdoor.types import FencingToken, ModelId, WeightVersion

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.http.messages import Client
    from bergamotdoor.objects.client import ObjectClient
    from bergamotdoor.objects.messages import Change
    from bergamotdoor.settings.document import Address
    from bergamotdoor.types import NodeId

#: The engine is on this VM and answers in a millisecond.
_CALL_TIMEOUT: Final = dt.timedelta(seconds=1)
_POLL: Final = dt.timedelta(milliseconds=150)
#: A load takes 0.9 s, and longer beside others. An order whose effect does
#: not show by then was lost, or waits somewhere: it is given once more, and
#: the count of accepted orders keeps the first from taking effect as well.
_ORDER_PATIENCE: Final = dt.timedelta(milliseconds=700)
_MAX_REPORT_BYTES: Final = 1_048_576
_JSON: Final = ('content-type', 'application/json')

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
        client: Client,
        engine: Address,
        node: NodeId,
        clock: Clock,
    ) -> None:
        self._store = store
        self._client = client
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
        report = await self._report()
        if report is None or not self._behind(report):
            return
        listing = await self._store.listing(names.UPSTREAM_KIND, stale=True)
        if isinstance(listing, Outcome):
            return
        delay = turn_delay(_engines(listing), self._engine)
        await self._clock.sleep(delay)

    async def _catch_up(self) -> None:
        ordered_at: dt.timedelta | None = None
        while True:
            report = await self._report()
            if report is not None:
                behind = self._behind(report)
                if not behind:
                    return
                now = self._clock.elapsed()
                waited = ordered_at is None or (
                    now - ordered_at > _ORDER_PATIENCE
                )
                if waited and not report.loading:
                    ordered_at = now
                    await self._order(behind[0], report)
            await self._clock.sleep(_POLL)

    def _behind(self, report: EngineReport) -> list[ModelId]:
        return [
            model
            for model, version in report.versions.items()
            if version < self._published.get(model, WeightVersion(0))
        ]

    async def _order(self, model: ModelId, report: EngineReport) -> None:
        order = LoadOrder(
            model=model,
            version=self._published[model],
            mode=LoadMode.RETAIN,
            holder=self._node,
            fencing_token=self._token,
            accepted_orders=report.accepted_orders,
        )
        status = await self._call('POST', names.ORDER_PATH, order_body(order))
        _log.info(
            'agent: order: %s to version %d, token %d, after %d orders: %s',
            model,
            order.version,
            order.fencing_token,
            order.accepted_orders,
            'no answer' if status is None else status[0],
        )

    async def _report(self) -> EngineReport | None:
        answer = await self._call('GET', names.REPORT_PATH, b'')
        if answer is None or answer[0] != HTTPStatus.OK:
            return None
        try:
            return parse_report(answer[1])
        except msgspec.MsgspecError as error:
            _log.error('agent: report not understood: %s', error)
            return None

    async def _call(
        self, method: str, path: str, body: bytes
    ) -> tuple[int, bytes] | None:
        response = await self._client.send(
            ClientRequest(
                address=self._engine,
                method=method,
                target=path,
                headers=Headers.of([_JSON]),
                body=body,
                timeout=_CALL_TIMEOUT,
                close_ends_body=True,
            )
        )
        if not isinstance(response, ClientResponse):
            _log.warning('agent: %s %s: %s', method, path, response.detail)
            return None
        try:
            whole = await response.read_body(_MAX_REPORT_BYTES)
        except (BodyBrokenError, BodyTooLargeError) as error:
            _log.warning('agent: %s %s: %s', method, path, error)
            return None
        return response.status, whole


def _engines(listing: Listing) -> list[Upstream]:
    return [parse_upstream(item.name, item.spec) for item in listing.objects]
