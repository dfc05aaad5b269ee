"""Sends a call to upstreams until one answers it."""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor import utils
from bergamotdoor.calls.manifest import RouteKind, pick_service
from bergamotdoor.calls.tries import Tries
from bergamotdoor.fleet.quarantine import CALL_STRIKES
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
    """Forwards calls of callers, and scoring calls of trainers' items."""

    def __init__(self, context: Context) -> None:
        self._context = context

    async def forward(self, call: Call) -> Attempt:
        """Return an upstream's answer, or why there is none."""
        service = pick_service(call.route, self._context.rng.random())
        outcome = await _Exchange(self._context, call, service).run()
        took = self._context.clock.elapsed() - call.began
        _log.info(
            'gateway: call %s: %s by %s after %d ms, route %s, status %s',
            call.request_id,
            outcome.detail,
            outcome.upstream,
            utils.to_ms(took),
            call.route.name,
            outcome.answer.status if outcome.answer else '-',
        )
        self._count(outcome, service, took)
        if outcome.served and self._context.quarantine:
            self._context.quarantine.completed(call.fingerprint)
        return outcome

    def _count(
        self, outcome: Attempt, service: ServiceId, took: dt.timedelta
    ) -> None:
        metrics = self._context.metrics
        metrics.record(Stage.TOTAL, took, service)
        if outcome.answer is None:
            refused = outcome.verdict is Verdict.NOT_RUN
            counted = Counted.CALL_REFUSED if refused else Counted.CALL_UNCLEAR
        else:
            counted = Counted.CALL_ANSWERED
        metrics.count(counted, service)


class _Exchange:
    """Carries out the attempts of one call."""

    def __init__(
        self, context: Context, call: Call, service: ServiceId
    ) -> None:
        self._context = context
        self._call = call
        self._service = service
        self._tries = Tries(call.rules, context.settings.zone)
        #: Attempts under way, and when they were sent.
        self._running: dict[asyncio.Task[Attempt], dt.timedelta] = {}
        #: How many upstreams answered that they failed.
        self._failures = 0
        self._last = Attempt(Verdict.NOT_RUN, 'no upstream')

    async def run(self) -> Attempt:
        """Ask upstream after upstream, a second one beside a slow one."""
        try:
            outcome = await self._run()
        finally:
            for task, sent_at in self._running.items():
                task.cancel()
                self._ran(sent_at)
        return msgspec.structs.replace(outcome, failures=self._failures)

    async def _run(self) -> Attempt:
        while self._begin() or self._running:
            for attempt in await self._ended():
                if not attempt.failed:
                    return attempt
                self._note(attempt)
            if self._tries.out_of_time(self._now()):
                return Attempt(self._tries.verdict, 'out of time')
        return self._result()

    def _begin(self) -> bool:
        if self._rest():
            return False
        upstreams = self._context.fleet.of_service(self._service)
        now = self._now()
        upstream = self._tries.begin(upstreams, self._context.loads, now)
        if upstream is None:
            return False
        work = send_call(
            self._context, self._call, upstream, self._tries.left(now)
        )
        # Counted before the task begins: calls that start together would
        # all choose the same upstream.
        load = self._context.loads.of(upstream.upstream)
        self._running[start_counted(load, work)] = now
        return True

    def _ran(self, sent_at: dt.timedelta) -> None:
        """Take that an upstream may have run the call."""
        known = self._call.ran_at
        if self._call.route.kind is RouteKind.STREAM:
            # A stream begins to run with its first token.
            sent_at = self._now()
        self._call.ran_at = sent_at if known is None else min(known, sent_at)

    def _rest(self) -> dt.timedelta:
        """Return how long the call must not be sent."""
        quarantine = self._context.quarantine
        if not quarantine:
            return _NO_TIME
        fingerprint = self._call.fingerprint
        self._tries.strikes = quarantine.strikes(fingerprint)
        return quarantine.rest(fingerprint, CALL_STRIKES, self._now())

    async def _ended(self) -> list[Attempt]:
        patience = self._tries.patience(self._now())
        done, _ = await asyncio.wait(
            self._running,
            timeout=patience.total_seconds(),
            return_when=asyncio.FIRST_COMPLETED,
        )
        attempts = []
        for ended in done:
            sent_at = self._running.pop(ended)
            attempts.append(ended.result())
            if attempts[-1].verdict is not Verdict.NOT_RUN:
                self._ran(sent_at)
        return attempts

    def _note(self, attempt: Attempt) -> None:
        self._tries.end(attempt.verdict)
        self._failures += attempt.failures
        if attempt.answer is not None or self._last.answer is None:
            self._last = attempt

    def _now(self) -> dt.timedelta:
        return self._context.clock.elapsed()

    def _result(self) -> Attempt:
        rest = self._rest()
        if rest and self._last.answer is None:
            self._context.metrics.count(Counted.CALL_QUARANTINED, self._service)
            ended = self._tries.strikes
            return Attempt(
                self._tries.verdict,
                f'in quarantine, {ended} upstreams ended under it',
                self._last.upstream,
                retry_after=rest,
            )
        if self._last.answer is None and self._tries.ran:
            return Attempt(
                Verdict.MAY_HAVE_RUN, self._last.detail, self._last.upstream
            )
        return self._last
