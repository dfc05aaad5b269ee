"""The wait of calls for room at the upstreams of their service."""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor import utils
from bergamotdoor.forwarding.call import Attempt
from bergamotdoor.observe.events import Counted
from bergamotdoor.observe.metrics import Stage
from bergamotdoor.queueing.forecast import retry_delay
from bergamotdoor.queueing.ticket import (
    QueueRefusal,
    RefusalReason,
    RoomUse,
    Ticket,
)
from bergamotdoor.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from bergamotdoor.entry.context import Context
    from bergamotdoor.forwarding.call import Call
    from bergamotdoor.queueing.service_calls import ServiceCalls

#: Interval at which waiting calls are checked for room that no end of a
#: request shows: after a report, a backoff or a new registration.
_CHECK_INTERVAL_MS: Final = 20
_CHECK_INTERVAL: Final = dt.timedelta(milliseconds=_CHECK_INTERVAL_MS)

_log = logging.getLogger('bergamotdoor.gateway')


class QueuePlace:
    """Place of one call in the queue of its service.

    Parameters
    ----------
    context
        Services of the process.
    service_calls
        All calls to the service.
    call
        The call.
    send
        Sends the call if an upstream has room.
    """

    def __init__(
        self,
        context: Context,
        service_calls: ServiceCalls,
        call: Call,
        send: Callable[[], RoomUse],
    ) -> None:
        self._context = context
        self._service_calls = service_calls
        self._call = call
        self._send = send
        self._ticket = Ticket(
            call.account, call.priority, self._use_room, self._refuse
        )
        self._left = asyncio.Event()
        #: Why the call could not be sent, if that failed.
        self._error: Exception | None = None
        #: The refusal if the call was refused or is not admitted any more.
        self.refusal: Attempt | None = None

    def release(self) -> None:
        """Drop the references to the call, after its last wait.

        Failure: a call and its place refer to each other. Symptom: the body
        of each call is kept in memory until the cyclic collector runs.
        """
        self._send = _end_call
        self._ticket.on_room = _end_call
        self._ticket.on_refusal = _ignore_refusal

    def record_first_send(self) -> None:
        """Record that the call was sent without waiting."""
        self._service_calls.queue.charge(self._ticket)
        self._record_send()

    async def wait(self, answer_by: dt.timedelta) -> None:
        """Wait until the call has left the queue, whatever the reason.

        Parameters
        ----------
        answer_by
            Monotonic time by which an upstream must answer the call.
        """
        self._left.clear()
        self._error = None
        began_at = self._now()
        try:
            self._service_calls.enter(self._ticket, answer_by, began_at)
            await self._wait_in_queue(began_at)
        finally:
            # Failure: a caller leaves while its call waits. Symptom: the call
            # is sent for nobody and takes a slot from another.
            self._service_calls.queue.remove(self._ticket)
        if self._error is not None:
            raise self._error

    def retry_delay(self) -> dt.timedelta:
        """Return the delay after which the caller of a refused call retries."""
        capacity = self._service_calls.capacity(self._now())
        wait = capacity.wait(len(self._service_calls.queue))
        return retry_delay(wait, self._context.rng.random())

    async def _wait_in_queue(self, began_at: dt.timedelta) -> None:
        if self._left.is_set():
            return
        metrics = self._context.metrics
        service = self._service_calls.service
        metrics.count(Counted.CALL_QUEUED, service)
        schedule_check(self._context, self._service_calls)
        await self._left.wait()
        metrics.record(Stage.QUEUED, self._now() - began_at, service)

    def _use_room(self) -> RoomUse:
        """Send the call; an exception ends this call only.

        Failure: one call that waits cannot be sent. Symptom: the exception
        ends the check of all waiting calls, and none of them is sent.
        """
        try:
            use = self._send_admitted()
        except Exception as error:  # noqa: BLE001 `wait` raises it
            self._error = error
            use = RoomUse.ENDED
        if use is not RoomUse.NO_ROOM:
            self._left.set()
        return use

    def _send_admitted(self) -> RoomUse:
        response = self._call.readmit(self._service_calls.service)
        if response is not None:
            self.refusal = Attempt(
                Verdict.NOT_RUN, 'not admitted after its wait', answer=response
            )
            return RoomUse.ENDED
        use = self._send()
        if use is RoomUse.SENT:
            self._record_send()
        return use

    def _record_send(self) -> None:
        if self._ticket.is_fresh:
            self._ticket.is_fresh = False
            self._service_calls.hedges.record_call(self._now())

    def _refuse(self, refusal: QueueRefusal) -> None:
        self.refusal = Attempt(
            Verdict.NOT_RUN,
            refusal.reason.value,
            retry_after=retry_delay(
                refusal.drain_time, self._context.rng.random()
            ),
        )
        self._left.set()
        self._record_refusal(refusal)

    def _record_refusal(self, refusal: QueueRefusal) -> None:
        service = self._service_calls.service
        is_full = refusal.reason is RefusalReason.FULL
        self._context.metrics.count(
            Counted.CALL_REFUSED_FULL if is_full else Counted.CALL_REFUSED_LATE,
            service,
        )
        _log.info(
            'gateway: call %s to %s refused: %s, %d calls wait, '
            'forecast %d ms, %d ms left',
            self._call.request_id,
            service,
            refusal.reason.value,
            refusal.queue_length,
            utils.to_ms(refusal.wait),
            utils.to_ms(refusal.time_left),
        )

    def _now(self) -> dt.timedelta:
        return self._context.clock.elapsed()


def schedule_check(context: Context, service_calls: ServiceCalls) -> None:
    """Check the waiting calls of a service soon, while there are any."""
    if service_calls.check_scheduled or not service_calls.queue:
        return
    service_calls.check_scheduled = True
    asyncio.get_running_loop().call_later(
        _CHECK_INTERVAL.total_seconds(), _check, context, service_calls
    )


def _check(context: Context, service_calls: ServiceCalls) -> None:
    service_calls.check_scheduled = False
    now = context.clock.elapsed()
    try:
        service_calls.serve(now)
        service_calls.refuse_late(now)
    finally:
        schedule_check(context, service_calls)


def _end_call() -> RoomUse:
    """Send no call."""
    return RoomUse.ENDED


def _ignore_refusal(_: QueueRefusal) -> None:
    """Do nothing about the refusal of a call that has ended."""
