"""Calls of one service: which are sent, wait, are refused or are hedged."""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

from bergamotdoor.queueing.call_queue import CallQueue
from bergamotdoor.queueing.forecast import (
    Capacity,
    measure_capacity,
    usual_latency,
)
from bergamotdoor.queueing.hedges import HedgeBudget
from bergamotdoor.queueing.limits import CallLimits
from bergamotdoor.queueing.ticket import (
    QueueRefusal,
    RefusalReason,
    RoomUse,
    Ticket,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from bergamotdoor.fleet.fleet import Fleet
    from bergamotdoor.fleet.loads import Loads
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.types import ServiceId

#: Bounds of the length of a queue. A longer one would hold calls for longer
#: than their callers wait, and cost memory for their bodies.
_MAX_CALLS_PER_SLOT: Final = 4
_MAX_QUEUE_LENGTH: Final = 256
#: Weight of the newest measurement in the mean service time.
_SMOOTHING: Final = 0.1
#: A service is over half full if its requests times this exceed its slots.
_HALF: Final = 2
_NO_TIME: Final = dt.timedelta()


class CallQueueing:
    """Limits and queues of the calls of one process.

    Parameters
    ----------
    loads
        Load and backoff of each upstream.
    """

    def __init__(self, loads: Loads) -> None:
        self.loads = loads
        self.limits = CallLimits(loads)
        #: Monotonic time by which the process stops, if it does.
        self.closes_at: dt.timedelta | None = None
        self._services: dict[ServiceId, ServiceCalls] = {}

    def of(self, service: ServiceId, fleet: Fleet) -> ServiceCalls:
        """Return the calls of a service."""
        if service not in self._services:
            self._services[service] = ServiceCalls(service, fleet, self)
        return self._services[service]

    def services(self) -> tuple[ServiceCalls, ...]:
        """Return all services to which calls were sent."""
        return tuple(self._services.values())


class ServiceCalls:
    """Calls of this process to one service.

    Parameters
    ----------
    service
        The service.
    fleet
        The registered upstreams.
    queueing
        The state of all services.
    """

    def __init__(
        self, service: ServiceId, fleet: Fleet, queueing: CallQueueing
    ) -> None:
        self.service = service
        self.queue = CallQueue()
        self.hedges = HedgeBudget()
        #: How many calls the upstreams have accepted.
        self.accepted_count = 0
        #: Whether a check of the waiting calls is scheduled.
        self.check_scheduled = False
        self._fleet = fleet
        self._queueing = queueing
        #: Mean time for which a call uses a slot; 0 while unmeasured.
        self._service_s = float()

    def record_service_time(self, duration: dt.timedelta) -> None:
        """Record for how long a call used a slot."""
        seconds = duration.total_seconds()
        if self._service_s:
            self._service_s += _SMOOTHING * (seconds - self._service_s)
        else:
            self._service_s = seconds

    def with_room(
        self,
        candidates: Sequence[Upstream],
        now: dt.timedelta,
        answer_by: dt.timedelta = dt.timedelta.max,
    ) -> list[Upstream]:
        """Return the candidates that may get one more call now.

        If all are closed after refusals for longer than the call has time,
        it may be sent as a probe.

        Parameters
        ----------
        candidates
            Upstreams that may get the call.
        now
            The monotonic time.
        answer_by
            Monotonic time by which an upstream must answer the call.
        """
        limits = self._queueing.limits
        with_room = limits.with_room(candidates, now)
        send_by = answer_by - self._usual_latency()
        capacity = measure_capacity(candidates, limits, _NO_TIME, now)
        if with_room or now + capacity.closed_for <= send_by:
            return with_room
        return limits.for_probe(candidates, now)

    def time_to_send(
        self, send_by: dt.timedelta, now: dt.timedelta
    ) -> dt.timedelta:
        """Return for how long a call may still be sent.

        A call that is sent later would not be answered before its time limit,
        or before the process stops.

        Parameters
        ----------
        send_by
            Monotonic time by which the call must be sent in any case.
        now
            The monotonic time.
        """
        closes_at = self._queueing.closes_at
        if closes_at is None:
            return send_by - now
        return min(send_by, closes_at - self._usual_latency()) - now

    def send_hedge(
        self, send: Callable[[], RoomUse], now: dt.timedelta
    ) -> bool:
        """Send a slow call to another upstream too, if it may be hedged.

        Hedges use slots that waiting calls need, so there are none while
        calls wait, and few while the service is over half full. Those that
        are sent below that do not use up the budget.

        Parameters
        ----------
        send
            Sends the call if an upstream has room.
        now
            The monotonic time.

        Returns
        -------
        bool
            Whether the call was sent.
        """
        if len(self.queue):
            return False
        upstreams = self._upstreams()
        slots = sum(one.slots for one in upstreams)
        loads = self._queueing.loads
        requests = sum(
            loads.of(one.upstream).estimated_requests(now) for one in upstreams
        )
        is_busy = requests * _HALF > slots
        if is_busy and not self.hedges.has_left(now):
            return False
        is_sent = send() is RoomUse.SENT
        if is_sent and is_busy:
            self.hedges.record_hedge(now)
        return is_sent

    def enter(
        self, ticket: Ticket, answer_by: dt.timedelta, now: dt.timedelta
    ) -> None:
        """Add a call to the queue, or refuse it at once.

        Parameters
        ----------
        ticket
            The call.
        answer_by
            Monotonic time by which an upstream must answer it.
        now
            The monotonic time.
        """
        ticket.send_by = answer_by - self._usual_latency()
        # Calls that wait although there is room go first.
        self.serve(now)
        self.queue.add(ticket)
        self.serve(now)
        self._refuse_on_entry(ticket, now)

    def serve(self, now: dt.timedelta) -> None:
        """Send the waiting calls for which there is room, in their order."""
        if not self.queue:
            return
        limits, upstreams = self._queueing.limits, self._upstreams()
        has_room = limits.take_calls(upstreams, now)
        for ticket in self.queue.in_order():
            # A call that was sent before may have room where others have none:
            # where an upstream that it can't use any more is closed.
            is_offered = has_room or not ticket.is_fresh
            if is_offered and self._offer_room(ticket, now) is RoomUse.SENT:
                has_room = limits.take_calls(upstreams, now)

    def refuse_late(self, now: dt.timedelta) -> None:
        """Refuse the calls whose time is no longer enough.

        Without any upstream, all are refused at once.
        """
        capacity = self.capacity(now)
        ahead = 0
        for ticket in self.queue.in_order():
            reason = self._reason_to_refuse(ticket, ahead, capacity, now)
            if reason is None:
                ahead += 1
            else:
                self._refuse(ticket, reason, ahead, now)

    def capacity(self, now: dt.timedelta) -> Capacity:
        """Return how fast calls leave the queue."""
        service_time = (
            dt.timedelta(seconds=self._service_s)
            if self._service_s
            else self._usual_latency()
        )
        return measure_capacity(
            self._upstreams(), self._queueing.limits, service_time, now
        )

    @property
    def max_length(self) -> int:
        """Maximum number of calls that wait."""
        slots = sum(one.slots for one in self._upstreams())
        return min(slots * _MAX_CALLS_PER_SLOT, _MAX_QUEUE_LENGTH)

    def _offer_room(self, ticket: Ticket, now: dt.timedelta) -> RoomUse:
        # A call whose time is over must not take the slot of another.
        if self.time_to_send(ticket.send_by, now) < _NO_TIME:
            self._refuse(ticket, RefusalReason.LATE, 0, now)
            return RoomUse.ENDED
        use = ticket.on_room()
        if use is RoomUse.SENT:
            self.queue.take(ticket)
        elif use is RoomUse.ENDED:
            self.queue.remove(ticket)
        return use

    def _refuse_on_entry(self, ticket: Ticket, now: dt.timedelta) -> None:
        last = self.queue.overflow(self.max_length)
        if last is not None:
            ahead = len(self.queue) - 1
            self._refuse(last, RefusalReason.FULL, ahead, now)
        is_gone = last is ticket
        own_ahead = None if is_gone else self.queue.calls_ahead(ticket)
        if own_ahead is None:
            return
        capacity = self.capacity(now)
        reason = self._reason_to_refuse(ticket, own_ahead, capacity, now)
        if reason is not None:
            self._refuse(ticket, reason, own_ahead, now)

    def _reason_to_refuse(
        self, ticket: Ticket, ahead: int, capacity: Capacity, now: dt.timedelta
    ) -> RefusalReason | None:
        if not capacity.slots:
            return RefusalReason.NO_UPSTREAM
        is_late = capacity.wait(ahead) > self.time_to_send(ticket.send_by, now)
        return RefusalReason.LATE if is_late else None

    def _refuse(
        self,
        ticket: Ticket,
        reason: RefusalReason,
        ahead: int,
        now: dt.timedelta,
    ) -> None:
        if not self.queue.remove(ticket):
            return
        capacity = self.capacity(now)
        length = len(self.queue)
        ticket.on_refusal(
            QueueRefusal(
                reason,
                length,
                capacity.wait(ahead),
                self.time_to_send(ticket.send_by, now),
                capacity.wait(length),
            )
        )

    def _usual_latency(self) -> dt.timedelta:
        return usual_latency(self._upstreams(), self._queueing.loads)

    def _upstreams(self) -> list[Upstream]:
        return list(self._fleet.of_service(self.service))
