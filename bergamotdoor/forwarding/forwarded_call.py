"""The attempts of one call, and its wait while no upstream has room."""

from __future__ import annotations

import asyncio
import datetime as dt
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.calls.attempts import CallAttempts
from bergamotdoor.calls.manifest import RouteKind
from bergamotdoor.fleet.quarantine import CALL_STRIKE_LIMIT
from bergamotdoor.forwarding.attempt import send_call
from bergamotdoor.forwarding.call import Attempt, Call
from bergamotdoor.forwarding.counted import start_counted_call
from bergamotdoor.forwarding.waiting import QueuePlace
from bergamotdoor.observe.events import Counted
from bergamotdoor.queueing.ticket import RoomUse
from bergamotdoor.types import UpstreamId
from bergamotdoor.verdict import Verdict

if TYPE_CHECKING:
    from bergamotdoor.entry.context import Context
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.types import ServiceId

#: Interval at which a call that waits for its copy checks its own time.
_COPY_CHECK_INTERVAL_MS: Final = 50
_COPY_CHECK_INTERVAL: Final = dt.timedelta(milliseconds=_COPY_CHECK_INTERVAL_MS)
_NO_TIME: Final = dt.timedelta()


class ForwardedCall:
    """One call, and its attempts at the upstreams of a service.

    Parameters
    ----------
    context
        Services of the process.
    call
        The call.
    service
        The service whose upstreams may get it.
    """

    def __init__(
        self, context: Context, call: Call, service: ServiceId
    ) -> None:
        self._context = context
        self._call = call
        self._fingerprint = call.fingerprint
        self._service = service
        self._attempts = CallAttempts(call.rules, context.settings.zone)
        self._service_calls = context.queueing.of(service, context.fleet)
        self._place = QueuePlace(
            context, self._service_calls, call, self._begin_attempt
        )
        #: Attempts in flight, with the monotonic time of their beginning.
        self._in_flight: dict[asyncio.Task[Attempt], dt.timedelta] = {}
        #: Number of upstreams that ran the call and responded that it failed.
        self._failures = 0
        self._last_attempt = Attempt(Verdict.NOT_RUN, 'no upstream')

    async def run(self) -> Attempt:
        """Send the call to one upstream after another.

        A hedged request is sent beside one that takes long.
        """
        try:
            outcome = await self._run_attempts()
        finally:
            self._place.release()
            for task, sent_at in self._in_flight.items():
                task.cancel()
                self._record_run(sent_at)
        return msgspec.structs.replace(outcome, failures=self._failures)

    async def _run_attempts(self) -> Attempt:
        is_sent = await self._next_attempt()
        while self._in_flight:
            for attempt in await self._wait_for_attempts(after_send=is_sent):
                if not attempt.failed:
                    return attempt
                self._record_attempt(attempt)
            if self._attempts.is_out_of_time(self._now()):
                return Attempt(self._attempts.verdict, 'out of time')
            is_sent = await self._next_attempt()
        return self._final_attempt()

    async def _next_attempt(self) -> bool:
        """Send the call to one more upstream; return whether it was sent.

        The call waits in the queue if no upstream has room, or if other calls
        wait. A hedged request never waits.
        """
        if not self._in_flight:
            await self._wait_for_copies()
        now = self._now()
        if not self._candidates(now):
            return False
        if self._in_flight:
            return self._service_calls.send_hedge(self._begin_attempt, now)
        if not self._service_calls.queue:
            if self._begin_attempt() is RoomUse.SENT:
                self._place.record_first_send()
                return True
        await self._place.wait(now + self._attempts.time_left(now))
        return bool(self._in_flight)

    async def _wait_for_copies(self) -> None:
        """Wait while a copy of the call runs, if the call is suspected."""
        runs = self._context.request_runs
        while (
            self._context.quarantine.known_strikes(self._fingerprint)
            and runs.is_running(self._fingerprint)
            and self._time_to_send(self._now()) > _NO_TIME
        ):
            # The process may begin to stop meanwhile.
            await runs.wait_for_end(self._fingerprint, _COPY_CHECK_INTERVAL)

    def _time_to_send(self, now: dt.timedelta) -> dt.timedelta:
        send_by = now + self._attempts.time_left(now)
        return self._service_calls.time_to_send(send_by, now)

    def _candidates(self, now: dt.timedelta) -> list[Upstream]:
        """Return the upstreams that may get the call, full ones included.

        Failure: a process stops while a call waits for its copy to end.
        Symptom: the call is cut off, or sent too late to be answered. It is
        refused instead, so that its caller goes to another process.
        """
        if self._quarantine_time() or not self._attempts.may_begin_attempt(now):
            return []
        if self._time_to_send(now) <= _NO_TIME:
            return []
        fleet = self._context.fleet
        return self._attempts.untried(fleet.of_service(self._service))

    def _begin_attempt(self) -> RoomUse:
        """Send the call to one more upstream that has room."""
        now = self._now()
        candidates = self._candidates(now)
        if not candidates:
            return RoomUse.ENDED
        upstream = self._attempts.begin_attempt(
            self._service_calls.with_room(
                candidates, now, now + self._attempts.time_left(now)
            ),
            self._context.loads,
            now,
        )
        if upstream is None:
            return RoomUse.NO_ROOM
        work = send_call(
            self._context, self._call, upstream, self._attempts.time_left(now)
        )
        # The attempt counts in the load before its task begins. Otherwise
        # calls that start together would all choose the same upstream.
        task = start_counted_call(self._context, upstream, work)
        self._context.request_runs.track(self._fingerprint, task)
        self._in_flight[task] = now
        return RoomUse.SENT

    def _record_run(self, sent_at: dt.timedelta) -> None:
        """Record when an upstream may have begun to run the call."""
        known = self._call.ran_at
        if self._call.route.kind is RouteKind.STREAM:
            # A stream counts as running from its first token on.
            sent_at = self._now()
        self._call.ran_at = sent_at if known is None else min(known, sent_at)

    def _quarantine_time(self) -> dt.timedelta:
        """Return how much longer the call is in quarantine.

        The number of strikes that the attempts use is updated too.
        """
        quarantine = self._context.quarantine
        if not quarantine:
            return _NO_TIME
        fingerprint = self._fingerprint
        self._attempts.strike_count = quarantine.known_strikes(fingerprint)
        return quarantine.remaining_time(
            fingerprint, CALL_STRIKE_LIMIT, self._now()
        )

    async def _wait_for_attempts(self, *, after_send: bool) -> list[Attempt]:
        """Return the attempts that ended; empty after a timeout."""
        wait_time = self._attempts.wait_time(self._now(), after_send=after_send)
        done, _ = await asyncio.wait(
            self._in_flight,
            timeout=wait_time.total_seconds(),
            return_when=asyncio.FIRST_COMPLETED,
        )
        attempts = []
        for task in done:
            sent_at = self._in_flight.pop(task)
            attempts.append(task.result())
            if attempts[-1].verdict is not Verdict.NOT_RUN:
                self._record_run(sent_at)
        return attempts

    def _record_attempt(self, attempt: Attempt) -> None:
        refused_by = UpstreamId(attempt.upstream) if attempt.refused else None
        self._attempts.end_attempt(
            attempt.verdict, refused_by, self._service_calls.accepted_count
        )
        self._call.possible_runs = self._attempts.possible_runs
        self._failures += attempt.failures
        if attempt.answer is not None or self._last_attempt.answer is None:
            self._last_attempt = attempt

    def _now(self) -> dt.timedelta:
        return self._context.clock.elapsed()

    def _final_attempt(self) -> Attempt:
        """Return the attempt that decides the call when none succeeded."""
        refusal = self._place.refusal
        if refusal is not None and self._attempts.verdict is Verdict.NOT_RUN:
            return refusal
        retry_after = self._quarantine_time()
        if retry_after and self._last_attempt.answer is None:
            self._context.metrics.count(Counted.CALL_QUARANTINED, self._service)
            strikes = self._attempts.strike_count
            return Attempt(
                self._attempts.verdict,
                f'in quarantine, {strikes} upstreams ended under it',
                self._last_attempt.upstream,
                retry_after=retry_after,
            )
        if self._last_attempt.answer is None and self._attempts.possible_runs:
            return Attempt(
                Verdict.MAY_HAVE_RUN,
                self._last_attempt.detail,
                self._last_attempt.upstream,
            )
        if self._last_attempt.refused:
            return msgspec.structs.replace(
                self._last_attempt, retry_after=self._place.retry_delay()
            )
        return self._last_attempt
