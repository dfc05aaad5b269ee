"""Replay of calls to one service through the decisions of its queue."""

from __future__ import annotations

import datetime as dt
import functools
import heapq
import itertools
import random
from typing import TYPE_CHECKING, Any

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

SERVICE = ServiceId('desk')
_CHECK_MS = 20


class ReplayedCall(msgspec.Struct, eq=False):
    """One attempt of a caller, and what became of it."""

    account: str
    arrived_ms: float
    patience_ms: float
    priority: int = 0
    retries: int = 0
    sent_ms: float | None = None
    refused_ms: float | None = None
    left: bool = False


class Replay:
    """Upstreams with a fixed service time, and the calls that are sent."""

    def __init__(
        self, count: int = 3, slots: int = 6, work_ms: float = 50
    ) -> None:
        self.loads = Loads()
        self.queueing = CallQueueing(self.loads)
        self.fleet = Fleet()
        for upstream in upstreams(count, service=SERVICE, slots=slots):
            self.fleet.put(upstream)
        self.service_calls = self.queueing.of(SERVICE, self.fleet)
        self.work_ms = work_ms
        self.now_ms: float = 0
        self.calls: list[ReplayedCall] = []
        self.in_flight = 0
        self._rng = random.Random(7)
        self._events: list[tuple[float, int, Callable[[], Any]]] = []
        self._numbers = itertools.count()

    @property
    def now(self) -> dt.timedelta:
        """The present."""
        return dt.timedelta(milliseconds=self.now_ms)

    def at(self, time_ms: float, act: Callable[[], Any]) -> None:
        """Schedule an event."""
        heapq.heappush(self._events, (time_ms, next(self._numbers), act))

    def plan(self, call: ReplayedCall) -> None:
        """Let a call arrive at its time."""
        self.at(call.arrived_ms, functools.partial(self.arrive, call))

    def run(self, until_ms: float = float('inf')) -> None:
        """Run the events up to a time, and check the queue while it is used."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, act = heapq.heappop(self._events)
            act()

    def arrive(self, call: ReplayedCall) -> Ticket:
        """Let a call arrive; it is sent, waits or is refused."""
        self.calls.append(call)
        ticket = Ticket(
            AccountId(call.account),
            call.priority,
            lambda: self._send(call),
            lambda refusal: self._refuse(call, refusal),
        )
        queue = self.service_calls.queue
        if not queue and self._send(call) is RoomUse.SENT:
            queue.charge(ticket)
            return ticket
        patience = dt.timedelta(milliseconds=call.patience_ms)
        self.service_calls.enter(ticket, self.now + patience, self.now)
        self._schedule_check()
        return ticket

    def check(self) -> None:
        """Check the waiting calls, as an entry does at each interval."""
        self.service_calls.check_scheduled = False
        self.service_calls.serve(self.now)
        self.service_calls.refuse_late(self.now)
        self._schedule_check()

    def _schedule_check(self) -> None:
        if self.service_calls.queue and not self.service_calls.check_scheduled:
            self.service_calls.check_scheduled = True
            self.at(self.now_ms + _CHECK_MS, self.check)

    def _send(self, call: ReplayedCall) -> RoomUse:
        upstreams_with_room = self.service_calls.with_room(
            self.fleet.of_service(SERVICE), self.now
        )
        if not upstreams_with_room:
            return RoomUse.NO_ROOM
        assert call.sent_ms is None, 'sent twice'
        assert call.refused_ms is None, 'sent after its refusal'
        assert not call.left, 'sent although its caller has left'
        assert self.now_ms <= call.arrived_ms + call.patience_ms, 'sent late'
        call.sent_ms = self.now_ms
        upstream = upstreams_with_room[0]
        self.loads.of(upstream.upstream).begin_request()
        self.queueing.limits.of(upstream.upstream).begin()
        self.in_flight += 1
        self.at(self.now_ms + self.work_ms, lambda: self._end(upstream))
        return RoomUse.SENT

    def _end(self, upstream: Upstream) -> None:
        load = self.loads.of(upstream.upstream)
        load.end_request()
        load.record_response(dt.timedelta(milliseconds=self.work_ms))
        self.queueing.limits.of(upstream.upstream).end()
        self.in_flight -= 1
        work = dt.timedelta(milliseconds=self.work_ms)
        self.service_calls.record_service_time(work)
        self.service_calls.serve(self.now)

    def _refuse(self, call: ReplayedCall, refusal: QueueRefusal) -> None:
        assert call.sent_ms is None, 'refused after it was sent'
        assert call.refused_ms is None, 'refused twice'
        call.refused_ms = self.now_ms
        if not call.retries:
            return
        delay = retry_delay(refusal.drain_time, self._rng.random())
        again_ms = self.now_ms + delay / dt.timedelta(milliseconds=1)
        again = ReplayedCall(
            call.account, again_ms, call.patience_ms, call.priority
        )
        self.plan(again)
