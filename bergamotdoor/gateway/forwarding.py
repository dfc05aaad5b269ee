"""Sends a plain request to upstreams until one answers it."""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor import utils
from bergamotdoor.calls.manifest import RouteKind, pick_service
from bergamotdoor.fleet.choice import fastest
from bergamotdoor.gateway.attempt import send_call
from bergamotdoor.gateway.call import Attempt, Call
from bergamotdoor.gateway.refusals import refusal
from bergamotdoor.observe.events import Counted
from bergamotdoor.observe.metrics import Stage
from bergamotdoor.verdict import Verdict

if TYPE_CHECKING:
    from bergamotdoor.entry.context import Context
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.http.messages import HttpResponse
    from bergamotdoor.types import ServiceId, UpstreamId

#: The share of the objective after which a second upstream is asked. By
#: then nine in ten have answered, and enough is left for the second one.
_HEDGE_SHARE: Final = 0.55
#: Of the time left, kept to tell the caller of a failure in time.
_ANSWER_MARGIN_MS: Final = 20
_ANSWER_MARGIN: Final = dt.timedelta(milliseconds=_ANSWER_MARGIN_MS)
_NO_TIME: Final = dt.timedelta()
#: Which of a request's upstreams are asked at the most, refusals too.
_MOST_TRIES: Final = 6

_log = logging.getLogger('bergamotdoor.gateway')


class Forwarder:
    """Forwards plain calls."""

    def __init__(self, context: Context) -> None:
        self._context = context

    async def forward(self, call: Call) -> HttpResponse:
        """Return an upstream's answer, or why there is none."""
        service = pick_service(call.route, self._context.rng.random())
        outcome = await _Tries(self._context, call, service).run()
        now = self._context.clock.elapsed()
        _log.info(
            'gateway: call %s: %s by %s after %d ms, route %s, status %s',
            call.request_id,
            outcome.detail,
            outcome.upstream,
            utils.to_ms(now - call.began),
            call.route.name,
            outcome.answer.status if outcome.answer else '-',
        )
        self._count(outcome, service, now - call.began)
        if outcome.answer is not None:
            return outcome.answer
        return refusal(outcome.verdict, outcome.detail, call.request_id)

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


class _Tries:
    """The attempts of one call."""

    def __init__(
        self, context: Context, call: Call, service: ServiceId
    ) -> None:
        self._context = context
        self._call = call
        self._service = service
        self._tried: set[UpstreamId] = set()
        self._running: set[asyncio.Task[Attempt]] = set()
        #: Upstreams that may have run it.
        self._ran = 0
        self._tries = 0
        self._last = Attempt(Verdict.NOT_RUN, 'no upstream')

    async def run(self) -> Attempt:
        """Ask upstream after upstream, a second one beside a slow one."""
        try:
            return await self._run()
        finally:
            for task in self._running:
                task.cancel()

    async def _run(self) -> Attempt:
        while self._begin() or self._running:
            done = await self._wait()
            for task in done:
                attempt = task.result()
                if not attempt.failed:
                    return attempt
                self._note(attempt)
            if self._left() <= _NO_TIME:
                return self._out_of_time()
        return self._result()

    def _begin(self) -> bool:
        if not self._may_begin():
            return False
        upstream = self._choose()
        if upstream is None:
            return False
        self._tries += 1
        self._tried.add(upstream.upstream)
        work = send_call(self._context, self._call, upstream, self._left())
        self._running.add(asyncio.create_task(work))
        return True

    def _may_begin(self) -> bool:
        if self._tries >= _MOST_TRIES or self._left() <= _NO_TIME:
            return False
        if self._running and self._call.route.kind is RouteKind.STREAM:
            return False
        if not self._call.repeatable and (self._ran or self._running):
            return False
        begun = self._ran + len(self._running)
        return begun < self._call.route.max_attempts

    def _choose(self) -> Upstream | None:
        candidates = [
            upstream
            for upstream in self._context.fleet.of_service(self._service)
            if upstream.upstream not in self._tried
        ]
        return fastest(
            candidates,
            self._context.loads,
            self._context.settings.zone,
            self._context.clock.elapsed(),
        )

    async def _wait(self) -> set[asyncio.Task[Attempt]]:
        patience = self._left()
        if self._may_begin():
            patience = min(patience, self._call.route.objective * _HEDGE_SHARE)
        done, _ = await asyncio.wait(
            self._running,
            timeout=max(patience.total_seconds(), 0),
            return_when=asyncio.FIRST_COMPLETED,
        )
        self._running -= done
        return done

    def _note(self, attempt: Attempt) -> None:
        if attempt.verdict is not Verdict.NOT_RUN:
            self._ran += 1
        if attempt.answer is not None or self._last.answer is None:
            self._last = attempt

    def _left(self) -> dt.timedelta:
        now = self._context.clock.elapsed()
        return self._call.deadline - now - _ANSWER_MARGIN

    def _out_of_time(self) -> Attempt:
        if self._ran or self._running:
            return Attempt(Verdict.MAY_HAVE_RUN, 'out of time')
        return Attempt(Verdict.NOT_RUN, 'out of time')

    def _result(self) -> Attempt:
        if self._last.answer is None and self._ran:
            return Attempt(
                Verdict.MAY_HAVE_RUN, self._last.detail, self._last.upstream
            )
        return self._last
