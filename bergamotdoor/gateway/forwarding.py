"""Sends a plain request to upstreams until one answers it."""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.calls.manifest import Route, RouteKind, pick_service
from bergamotdoor.fleet.choice import fastest
from bergamotdoor.gateway.refusals import refusal
from bergamotdoor.http.messages import (
    BodyBrokenError,
    BodyTooLargeError,
    ClientRequest,
    ClientResponse,
    Headers,
    HttpResponse,
)
from bergamotdoor.platform import headers as names
from bergamotdoor.platform.engines import parse_load
from bergamotdoor.utils import to_ms
from bergamotdoor.verdict import Verdict

if TYPE_CHECKING:
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.gateway.context import Context
    from bergamotdoor.types import ServiceId, UpstreamId

#: Answers up to this are read whole before anything is passed on, so that
#: one that breaks off can be replaced by another upstream's.
MAX_HELD_BYTES: Final = 4_194_304
#: The share of the objective after which a second upstream is asked. By
#: then nine in ten have answered, and enough is left for the second one.
_HEDGE_SHARE: Final = 0.55
#: Of the time left, kept to tell the caller of a failure in time.
_ANSWER_MARGIN: Final = dt.timedelta(milliseconds=20)
_NO_TIME: Final = dt.timedelta()
#: Which of a request's upstreams are asked at the most, refusals too.
_MOST_TRIES: Final = 6

_log = logging.getLogger('bergamotdoor.gateway')


class Call(msgspec.Struct):
    """A request as it was read from its caller."""

    request_id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    route: Route
    #: In the clock's time.
    deadline: dt.timedelta
    began: dt.timedelta


class Attempt(msgspec.Struct, frozen=True):
    """What one upstream made of a call; `answer` only if it is whole."""

    verdict: Verdict
    detail: str
    upstream: str = ''
    answer: HttpResponse | None = None
    #: Whether another upstream may do better.
    failed: bool = True
    #: Another incarnation is at its address.
    replaced: bool = False


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
            to_ms(now - call.began),
            call.route.name,
            outcome.answer.status if outcome.answer else '-',
        )
        if outcome.answer is not None:
            return outcome.answer
        return refusal(outcome.verdict, outcome.detail, call.request_id)


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
        work = _send(self._context, self._call, upstream, self._left())
        self._running.add(asyncio.create_task(work))
        return True

    def _may_begin(self) -> bool:
        if self._tries >= _MOST_TRIES or self._left() <= _NO_TIME:
            return False
        repeatable = self._call.route.kind is RouteKind.IDEMPOTENT
        if not repeatable and (self._ran or self._running):
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
        done, self._running = await asyncio.wait(
            self._running,
            timeout=max(patience.total_seconds(), 0),
            return_when=asyncio.FIRST_COMPLETED,
        )
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


async def _send(
    context: Context, call: Call, upstream: Upstream, left: dt.timedelta
) -> Attempt:
    load = context.loads.of(upstream.upstream)
    load.in_flight += 1
    began = context.clock.elapsed()
    try:
        response = await context.client.send(_request(call, upstream, left))
    finally:
        load.in_flight -= 1
    now = context.clock.elapsed()
    if not isinstance(response, ClientResponse):
        load.failed(now)
        verdict = Verdict.MAY_HAVE_RUN if response.sent else Verdict.NOT_RUN
        return Attempt(verdict, response.detail, upstream.upstream)
    told = parse_load(response.headers.first(names.LOAD))
    if told is not None:
        load.told(told.running + told.waiting, now)
    attempt = await _judge(call, upstream, response)
    _learn(context, attempt, upstream, context.clock.elapsed() - began)
    return attempt


def _learn(
    context: Context,
    attempt: Attempt,
    upstream: Upstream,
    latency: dt.timedelta,
) -> None:
    load = context.loads.of(upstream.upstream)
    now = context.clock.elapsed()
    if attempt.replaced:
        context.fleet.replaced(upstream.upstream)
    elif not attempt.failed:
        load.answered(latency)
    elif attempt.verdict is Verdict.NOT_RUN:
        load.refused(now)
    else:
        load.failed(now)


async def _judge(
    call: Call, upstream: Upstream, response: ClientResponse
) -> Attempt:
    """Tell a whole answer of this call from anything else."""
    where = upstream.upstream
    fields = response.headers
    if response.status == HTTPStatus.MISDIRECTED_REQUEST:
        await _discard(response)
        return Attempt(
            Verdict.NOT_RUN, 'replaced by another', where, replaced=True
        )
    if fields.first(names.NOT_RUN):
        await _discard(response)
        return Attempt(Verdict.NOT_RUN, 'refused by the upstream', where)
    if fields.first(names.REQUEST_ID, call.request_id) != call.request_id:
        # It was another request's; its connection ends with it.
        await response.body.aclose()  # type: ignore[attr-defined]
        return Attempt(Verdict.MAY_HAVE_RUN, 'answer of another call', where)
    try:
        body = await response.read_body(MAX_HELD_BYTES)
    except (BodyBrokenError, BodyTooLargeError) as error:
        return Attempt(Verdict.MAY_HAVE_RUN, f'answer broken: {error}', where)
    answer = HttpResponse(status=response.status, headers=fields, body=body)
    if response.status < HTTPStatus.BAD_REQUEST and not fields.first(
        names.STAMP
    ):
        return Attempt(Verdict.MAY_HAVE_RUN, 'answer without proof', where)
    return Attempt(
        Verdict.RAN,
        'answered',
        where,
        answer,
        failed=response.status >= HTTPStatus.INTERNAL_SERVER_ERROR,
    )


async def _discard(response: ClientResponse) -> None:
    try:
        await response.read_body(MAX_HELD_BYTES)
    except (BodyBrokenError, BodyTooLargeError) as error:
        _log.info('gateway: a refusal broke off: %s', error)


def _request(
    call: Call, upstream: Upstream, left: dt.timedelta
) -> ClientRequest:
    passed = call.headers.without((names.DEADLINE_MS, names.EXPECT_INCARNATION))
    return ClientRequest(
        address=upstream.address,
        method=call.method,
        target=call.target,
        headers=passed.plus(
            (names.DEADLINE_MS, str(max(to_ms(left), 1))),
            (names.EXPECT_INCARNATION, upstream.upstream),
        ),
        body=call.body,
        timeout=left,
        idempotent=call.route.kind is RouteKind.IDEMPOTENT,
        close_ends_body=True,
    )
