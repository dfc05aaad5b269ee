"""Replay of calls to one service through the decisions of its queue."""

from __future__ import annotations

import datetime as dt
import functools
import heapq
import itertools
import random
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from bergamotdoor.fleet.fleet import Fleet
from bergamotdoor.fleet.loads import Loads
from bergamotdoor.queueing.forecast import retry_delay
from bergamotdoor.queueing.service_calls import CallQueueing
from bergamotdoor.queueing.ticket import QueueRefusal, RoomUse, Ticket
from bergamotdoor.types import AccountId, ServiceId
from features.fleet_scenes import upstreams

if TYPE_CHECKING:
    from collections.abc import Callable

    from bergamotdoor.fleet.upstreams import Upstream

_SERVICE = ServiceId('desk')
_CHECK_MS = 20
_MS = dt.timedelta(milliseconds=1)


class _Event(NamedTuple):
    time_ms: float
    number: int
    act: Callable[[], Any]


class ReplayedCall(msgspec.Struct, eq=False):
    """One attempt of a caller, and what became of it."""

    account: str
    arrived_ms: float
    patience_ms: float
    priority: int = 0
    #: How often the caller retries, and how often an upstream refuses.
    retries: int = 0
    upstream_refusals: int = 0
    sent_ms: float | None = None
    refused_ms: float | None = None
    left: bool = False
    ticket: Ticket | None = None


class Replay:
    """Upstreams with a fixed service time, and the calls that are sent."""

    def __init__(
        self, count: int = 3, slots: int = 6, work_ms: float = 50
    ) -> None:
        self.loads = Loads()
        self.queueing = CallQueueing(self.loads)
        self.fleet = Fleet()
        for upstream in upstreams(count, service=_SERVICE, slots=slots):
            self.fleet.put(upstream)
        self.service_calls = self.queueing.of(_SERVICE, self.fleet)
        self.work = work_ms * _MS
        self.now = dt.timedelta()
        self.calls: list[ReplayedCall] = []
        self.in_flight = 0
        self._rng = random.Random(7)
        self._events: list[_Event] = []
        self._numbers = itertools.count()

    @property
    def now_ms(self) -> float:
        return self.now / _MS

    def at(self, time_ms: float, act: Callable[[], Any]) -> None:
        event = _Event(time_ms, next(self._numbers), act)
        heapq.heappush(self._events, event)

    def plan(self, call: ReplayedCall) -> None:
        self.at(call.arrived_ms, functools.partial(self._arrive, call))

    def run(self, until_ms: float = float('inf')) -> None:
        while self._events and self._events[0][0] <= until_ms:
            time_ms, _, act = heapq.heappop(self._events)
            self.now = time_ms * _MS
            act()

    def leave(self, call: ReplayedCall) -> None:
        if call.ticket and self.service_calls.queue.remove(call.ticket):
            call.left = True

    def _arrive(self, call: ReplayedCall) -> None:
        self.calls.append(call)
        call.ticket = Ticket(
            AccountId(call.account),
            call.priority,
            lambda: self._send(call),
            lambda refusal: self._refuse(call, refusal),
        )
        queue = self.service_calls.queue
        if not queue and self._send(call) is RoomUse.SENT:
            queue.charge(call.ticket)
        else:
            self._wait(call)

    def _wait(self, call: ReplayedCall) -> None:
        assert call.ticket is not None
        answer_by = (call.arrived_ms + call.patience_ms) * _MS
        self.service_calls.enter(call.ticket, answer_by, self.now)
        if not self.service_calls.check_scheduled:
            self.service_calls.check_scheduled = True
            self.at(self.now_ms + _CHECK_MS, self._check)

    def _check(self) -> None:
        self.service_calls.serve(self.now)
        self.service_calls.refuse_late(self.now)
        self.service_calls.check_scheduled = bool(self.service_calls.queue)
        if self.service_calls.check_scheduled:
            self.at(self.now_ms + _CHECK_MS, self._check)

    def _send(self, call: ReplayedCall) -> RoomUse:
        with_room = self.service_calls.with_room(
            list(self.fleet.of_service(_SERVICE)), self.now
        )
        if not with_room:
            return RoomUse.NO_ROOM
        assert call.sent_ms is None, 'sent twice'
        assert call.refused_ms is None, 'sent after its refusal'
        assert not call.left, 'sent although its caller has left'
        waited_ms = self.now_ms - call.arrived_ms
        assert waited_ms <= call.patience_ms, 'sent after its deadline'
        call.sent_ms = self.now_ms
        self.loads.of(with_room[0].upstream).begin_request()
        self.queueing.limits.of(with_room[0].upstream).begin()
        self.in_flight += 1
        end = functools.partial(self._end, call, with_room[0])
        self.at((self.now + self.work) / _MS, end)
        return RoomUse.SENT

    def _end(self, call: ReplayedCall, upstream: Upstream) -> None:
        load = self.loads.of(upstream.upstream)
        calls = self.queueing.limits.of(upstream.upstream)
        load.end_request()
        calls.end()
        self.in_flight -= 1
        if call.upstream_refusals:
            call.upstream_refusals -= 1
            call.sent_ms = None
            load.record_refusal(self.now)
            calls.record_refusal(upstream.slots, self.now)
            self._wait(call)
        else:
            load.record_response(self.work)
            self.service_calls.record_service_time(self.work)
        self.service_calls.serve(self.now)

    def _refuse(self, call: ReplayedCall, refusal: QueueRefusal) -> None:
        assert call.sent_ms is None, 'refused after it was sent'
        assert call.refused_ms is None, 'refused twice'
        call.refused_ms = self.now_ms
        if call.retries:
            delay = retry_delay(refusal.drain_time, self._rng.random())
            again_ms = self.now_ms + delay / _MS
            self.plan(ReplayedCall(call.account, again_ms, call.patience_ms))
