"""Carries out orders to the engine and watches its weights."""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from typing import Final

import msgspec

from bergamotdoor import utils
from bergamotdoor.settings.document import RolloutRules
from bergamotdoor.sidecar.orders import OrderBook
from bergamotdoor.sidecar.provenance import EngineState
from bergamotdoor.sidecar.upstream import StaleToken, SwapUnclear, Upstream
from bergamotdoor.store.protocols import (
    ObjectStore,
    StoredObject,
    StoreProblem,
)
from bergamotdoor.types import FencingToken, ServiceId
from bergamotdoor.verdict import Failure, Reason, Verdict
from bergamotdoor.wire.messages import LoadWeights, OrderOutcome, OrderResult

_LOG: Final = logging.getLogger('bergamotdoor.sidecar')
_READ_TIMEOUT: Final = dt.timedelta(seconds=2)
_STORE_RETRY_MS: Final = 1_000


class _Lease(msgspec.Struct, frozen=True):
    """What is read of a lease object; the rest is its holder's."""

    fencing_token: FencingToken


class EngineControl:
    """The only one to give orders to this engine.

    An order outlives the link it came on: whoever asks again with the
    same order id gets its result.

    Parameters
    ----------
    upstream
        The engine.
    store
        Where the lease of the service's rollout is.
    service
        Whose lease it is.
    """

    def __init__(
        self, upstream: Upstream, store: ObjectStore, service: ServiceId
    ) -> None:
        self.book = OrderBook()
        self.order_timeout = utils.from_ms(RolloutRules().order_timeout_ms)
        self._upstream = upstream
        self._store = store
        self._service = service
        self._task: asyncio.Task[OrderResult] | None = None

    async def load_weights(self, order: LoadWeights) -> OrderResult:
        """Carry out an order, join it, or repeat its result."""
        known = self.book.known_result(order.order_id)
        if known is not None:
            return known
        if self._task is not None and self.book.in_progress(order.order_id):
            return await asyncio.shield(self._task)
        failure = await self._read_lease() or self.book.begin(order)
        if failure is not None:
            _LOG.info('sidecar: refused an order: %s', failure.detail)
            return self.book.refusal(order.order_id, failure)
        self._task = asyncio.create_task(self._carry_out(order))
        return await asyncio.shield(self._task)

    async def observe(self) -> None:
        """Read the engine's weights, unless an order is changing them."""
        if self.book.busy:
            return
        swap_count = self.book.swap_count
        report = await self._upstream.weights(_READ_TIMEOUT)
        # An order that began meanwhile knows better.
        if not self.book.busy and self.book.swap_count == swap_count:
            self.book.observed(report)

    async def state(self) -> EngineState | None:
        """Read the engine's weights now; None while they may change."""
        if self.book.busy:
            return None
        swap_count = self.book.swap_count
        report = await self._upstream.weights(_READ_TIMEOUT)
        if report is None:
            return None
        return EngineState(report.version, report.whole, swap_count)

    async def stop(self) -> None:
        """Let go of an order in progress; the engine may finish it."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _read_lease(self) -> Failure | None:
        if self.book.highest is not None:
            return None
        stored = await self._store.read('lease', f'weights.{self._service}')
        if isinstance(stored, StoredObject):
            lease = msgspec.json.decode(stored.body, type=_Lease)
            self.book.lease_read(lease.fencing_token)
            return None
        if stored.problem is StoreProblem.NOT_FOUND:
            # Nobody has ever taken the lease, so any token is higher.
            self.book.lease_read(FencingToken(0))
            return None
        return Failure(
            Verdict.NOT_RUN,
            Reason.STORE_UNAVAILABLE,
            'the lease can not be read since this sidecar started',
            _STORE_RETRY_MS,
        )

    async def _carry_out(self, order: LoadWeights) -> OrderResult:
        try:
            result = await self._swap(order)
        except BaseException:
            self.book.end(self._unclear(order, 'the sidecar stopped'))
            raise
        self.book.end(result)
        return result

    async def _swap(self, order: LoadWeights) -> OrderResult:
        # Failure: the order before this one ended without an answer, and
        # the engine may or may not have swapped. Symptom: two swaps at
        # once. Enough: its actual weights are read before each order.
        before = await self._upstream.weights(_READ_TIMEOUT)
        self.book.observed(before)
        if before is None:
            return self.book.refusal(order.order_id, _unreachable())
        if before.whole and before.version == order.version:
            return self._done(order)
        self.book.swap_ordered()
        answer = await self._upstream.swap(
            order.version, order.fencing_token, self.order_timeout
        )
        self.book.observed(await self._upstream.weights(_READ_TIMEOUT))
        if isinstance(answer, StaleToken):
            failure = self.book.engine_saw(answer.highest)
            return self.book.refusal(order.order_id, failure)
        if self.book.whole and self.book.version == order.version:
            return self._done(order)
        detail = answer.detail if isinstance(answer, SwapUnclear) else ''
        return self._unclear(order, detail)

    def _done(self, order: LoadWeights) -> OrderResult:
        return OrderResult(order.order_id, OrderOutcome.DONE, self.book.version)

    def _unclear(self, order: LoadWeights, detail: str) -> OrderResult:
        found = self.book.version
        failure = Failure(
            Verdict.MAY_HAVE_RUN,
            Reason.UPSTREAM_BROKE,
            f'ordered version {order.version}, found {found}: {detail}',
        )
        return OrderResult(order.order_id, OrderOutcome.FAILED, found, failure)


def _unreachable() -> Failure:
    return Failure(
        Verdict.NOT_RUN,
        Reason.UPSTREAM_UNREACHABLE,
        'the engine does not tell its weights',
        _STORE_RETRY_MS,
    )
