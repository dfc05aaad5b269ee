"""Calls of one service: which are sent, wait, are refused or are hedged."""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

from bergamotdoor.queueing.call_queue import CallQueue
from bergamotdoor.queueing.forecast import Capacity, measure_capacity
from bergamotdoor.queueing.hedges import HedgeBudget
from bergamotdoor.queueing.limits import CallLimits
from bergamotdoor.queueing.ticket import (
    QueueRefusal,
    RefusalReason,
    RoomUse,
    Ticket,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

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
#: Latency and service time before the first measurement.
_DEFAULT_LATENCY_S: Final = 0.03
#: A service is over half full if its requests times this exceed its slots.
_HALF: Final = 2


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
        known = self._services.get(service)
        if known is None:
            known = ServiceCalls(service, fleet, self)
            self._services[service] = known
        return known

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
        self, candidates: Iterable[Upstream], now: dt.timedelta
    ) -> list[Upstream]:
        """Return the candidates that may get one more call now."""
        return self._queueing.limits.with_room(candidates, now)

    def may_hedge(self, now: dt.timedelta) -> bool:
        """Return whether a slow call may be sent to another upstream too.

        Hedges use slots that waiting calls need, so there are none while
        calls wait, and few while the service is over half full.
        """
        if len(self.queue):
            return False
        upstreams = self._upstreams()
        slots = sum(one.slots for one in upstreams)
        loads = self._queueing.loads
        requests = sum(
            loads.of(one.upstream).estimated_requests(now) for one in upstreams
        )
        return requests * _HALF <= slots or self.hedges.has_left(now)

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
        self._refuse_overflow(now)
        self._refuse_if_late(ticket, now)

    def serve(self, now: dt.timedelta) -> None:
        """Send the waiting calls for which there is room, in their order."""
        if not self.queue or not self.with_room(self._upstreams(), now):
            return
        for ticket in self.queue.in_order():
            use = ticket.on_room()
            if use is RoomUse.SENT:
                self.queue.take(ticket)
            elif use is RoomUse.ENDED:
                self.queue.remove(ticket)
            elif ticket.is_fresh:
                # It may be sent to any upstream, so there is no more room.
                return

    def refuse_late(self, now: dt.timedelta) -> None:
        """Refuse the calls whose time is no longer enough."""
        capacity = self.capacity(now)
        ahead = 0
        for ticket in self.queue.in_order():
            if capacity.wait(ahead) > self._time_left(ticket, now):
                self._refuse(ticket, RefusalReason.LATE, ahead, now)
            else:
                ahead += 1

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

    def limit_of(self, upstream: Upstream, now: dt.timedelta) -> int:
        """Return how many calls may be in flight at an upstream."""
        return self._queueing.limits.limit(upstream, now)

    @property
    def max_length(self) -> int:
        """Maximum number of calls that wait."""
        slots = sum(one.slots for one in self._upstreams())
        return min(slots * _MAX_CALLS_PER_SLOT, _MAX_QUEUE_LENGTH)

    def _refuse_overflow(self, now: dt.timedelta) -> None:
        last = self.queue.overflow(self.max_length)
        if last is not None:
            ahead = len(self.queue) - 1
            self._refuse(last, RefusalReason.FULL, ahead, now)

    def _refuse_if_late(self, ticket: Ticket, now: dt.timedelta) -> None:
        ahead = self.queue.calls_ahead(ticket)
        if ahead is None:
            return
        wait = self.capacity(now).wait(ahead)
        if wait > self._time_left(ticket, now):
            self._refuse(ticket, RefusalReason.LATE, ahead, now)

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
                self._time_left(ticket, now),
                capacity.wait(length),
            )
        )

    def _time_left(self, ticket: Ticket, now: dt.timedelta) -> dt.timedelta:
        closes_at = self._queueing.closes_at
        if closes_at is None:
            return ticket.send_by - now
        return min(ticket.send_by, closes_at - self._usual_latency()) - now

    def _usual_latency(self) -> dt.timedelta:
        loads = self._queueing.loads
        known = [
            latency_s
            for one in self._upstreams()
            if (latency_s := loads.of(one.upstream).latency_s)
        ]
        mean_s = sum(known) / len(known) if known else _DEFAULT_LATENCY_S
        return dt.timedelta(seconds=mean_s)

    def _upstreams(self) -> list[Upstream]:
        return list(self._fleet.of_service(self.service))
