"""Forwarding of a call to one upstream after another until one responds."""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor import utils
from bergamotdoor.calls.attempts import CallAttempts
from bergamotdoor.calls.manifest import RouteKind, pick_service
from bergamotdoor.fleet.quarantine import CALL_STRIKE_LIMIT
from bergamotdoor.forwarding.attempt import send_call
from bergamotdoor.forwarding.call import Attempt, Call
from bergamotdoor.forwarding.counted import start_counted
from bergamotdoor.observe.events import Counted
from bergamotdoor.observe.metrics import Stage
from bergamotdoor.verdict import Verdict

if TYPE_CHECKING:
    from bergamotdoor.entry.context import Context
    from bergamotdoor.types import ServiceId

_NO_TIME: Final = dt.timedelta()

_log = logging.getLogger('bergamotdoor.gateway')


class Forwarder:
    """Forwards calls of callers, and score calls of trainers' items.

    Parameters
    ----------
    context
        Services of the process.
    """

    def __init__(self, context: Context) -> None:
        self._context = context

    async def forward(self, call: Call) -> Attempt:
        """Return the attempt that decides a call.

        It has the response of an upstream, or the reason why there is none.
        """
        service = pick_service(call.route, self._context.rng.random())
        outcome = await _ForwardedCall(self._context, call, service).run()
        latency = self._context.clock.elapsed() - call.began
        _log.info(
            'gateway: call %s: %s by %s after %d ms, route %s, status %s',
            call.request_id,
            outcome.detail,
            outcome.upstream,
            utils.to_ms(latency),
            call.route.name,
            outcome.answer.status if outcome.answer else '-',
        )
        self._count_call(outcome, service, latency)
        if outcome.served and self._context.quarantine:
            self._context.quarantine.clear_strikes(call.fingerprint)
        return outcome

    def _count_call(
        self, outcome: Attempt, service: ServiceId, latency: dt.timedelta
    ) -> None:
        metrics = self._context.metrics
        metrics.record(Stage.TOTAL, latency, service)
        if outcome.answer is None:
            refused = outcome.verdict is Verdict.NOT_RUN
            counted = Counted.CALL_REFUSED if refused else Counted.CALL_UNCLEAR
        else:
            counted = Counted.CALL_ANSWERED
        metrics.count(counted, service)


class _ForwardedCall:
    """One call, and its attempts at the upstreams of a service."""

    def __init__(
        self, context: Context, call: Call, service: ServiceId
    ) -> None:
        self._context = context
        self._call = call
        self._service = service
        self._attempts = CallAttempts(call.rules, context.settings.zone)
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
            for task, sent_at in self._in_flight.items():
                task.cancel()
                self._record_run(sent_at)
        return msgspec.structs.replace(outcome, failures=self._failures)

    async def _run_attempts(self) -> Attempt:
        while self._begin_attempt() or self._in_flight:
            for attempt in await self._wait_for_attempts():
                if not attempt.failed:
                    return attempt
                self._record_attempt(attempt)
            if self._attempts.is_out_of_time(self._now()):
                return Attempt(self._attempts.verdict, 'out of time')
        return self._final_attempt()

    def _begin_attempt(self) -> bool:
        """Send the call to one more upstream; return whether it was sent."""
        if self._quarantine_time():
            return False
        upstreams = self._context.fleet.of_service(self._service)
        now = self._now()
        upstream = self._attempts.begin_attempt(
            upstreams, self._context.loads, now
        )
        if upstream is None:
            return False
        work = send_call(
            self._context, self._call, upstream, self._attempts.time_left(now)
        )
        # The attempt counts in the load before its task begins. Otherwise
        # calls that start together would all choose the same upstream.
        load = self._context.loads.of(upstream.upstream)
        self._in_flight[start_counted(load, work)] = now
        return True

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
        fingerprint = self._call.fingerprint
        self._attempts.strike_count = quarantine.count_strikes(fingerprint)
        return quarantine.remaining_time(
            fingerprint, CALL_STRIKE_LIMIT, self._now()
        )

    async def _wait_for_attempts(self) -> list[Attempt]:
        """Return the attempts that ended; empty after a timeout."""
        wait_time = self._attempts.wait_time(self._now())
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
        self._attempts.end_attempt(attempt.verdict)
        self._failures += attempt.failures
        if attempt.answer is not None or self._last_attempt.answer is None:
            self._last_attempt = attempt

    def _now(self) -> dt.timedelta:
        return self._context.clock.elapsed()

    def _final_attempt(self) -> Attempt:
        """Return the attempt that decides the call when none succeeded."""
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
        return self._last_attempt
