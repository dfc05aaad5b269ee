"""One attempt of a plain call at one upstream."""

from __future__ import annotations

import datetime as dt
import logging
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor import utils
from bergamotdoor.calls.manifest import Route, RouteKind
from bergamotdoor.http.messages import (
    BodyBrokenError,
    BodyTooLargeError,
    ClientFailure,
    ClientRequest,
    ClientResponse,
    Headers,
    HttpResponse,
)
from bergamotdoor.platform import headers as names
from bergamotdoor.platform.engines import parse_load
from bergamotdoor.verdict import Verdict

if TYPE_CHECKING:
    from bergamotdoor.fleet.loads import UpstreamLoad
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.gateway.context import Context

#: Answers up to this are read whole before anything is passed on, so that
#: one that breaks off can be replaced by another upstream's.
MAX_HELD_BYTES: Final = 4_194_304

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


async def send_call(
    context: Context, call: Call, upstream: Upstream, left: dt.timedelta
) -> Attempt:
    """Send a call to an upstream and judge what comes back.

    Parameters
    ----------
    context
        Services of the process.
    call
        What to send.
    upstream
        Where to.
    left
        How long the caller still waits.
    """
    load = context.loads.of(upstream.upstream)
    load.in_flight += 1
    began = context.clock.elapsed()
    try:
        response = await context.client.send(_request(call, upstream, left))
    finally:
        load.in_flight -= 1
    now = context.clock.elapsed()
    if isinstance(response, ClientFailure):
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
    elif attempt.failed:
        _learn_failure(load, attempt, now)
    else:
        load.answered(latency)


def _learn_failure(
    load: UpstreamLoad, attempt: Attempt, now: dt.timedelta
) -> None:
    if attempt.verdict is Verdict.NOT_RUN:
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
    proven = bool(fields.first(names.STAMP))
    if response.status < HTTPStatus.BAD_REQUEST and not proven:
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
            (names.DEADLINE_MS, str(max(utils.to_ms(left), 1))),
            (names.EXPECT_INCARNATION, upstream.upstream),
        ),
        body=call.body,
        timeout=left,
        idempotent=call.route.kind is RouteKind.IDEMPOTENT,
        close_ends_body=True,
    )
