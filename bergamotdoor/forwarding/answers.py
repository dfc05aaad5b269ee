"""Tells a whole answer of a call from anything else."""

from __future__ import annotations

import logging
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from bergamotdoor.calls.manifest import RouteKind
from bergamotdoor.forwarding.call import Attempt
from bergamotdoor.forwarding.relayed_stream import relayed_stream
from bergamotdoor.http import close_body
from bergamotdoor.http.messages import (
    BodyBrokenError,
    BodyTooLargeError,
    HttpResponse,
)
from bergamotdoor.platform import headers as names
from bergamotdoor.verdict import Verdict

if TYPE_CHECKING:
    from bergamotdoor.entry.context import Context
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.forwarding.call import Call
    from bergamotdoor.http.messages import ClientResponse

#: Answers up to this are read whole before anything is passed on, so that
#: one that breaks off can be replaced by another upstream's.
MAX_HELD_BYTES: Final = 4_194_304

_log = logging.getLogger('bergamotdoor.gateway')


async def judge(
    context: Context, call: Call, upstream: Upstream, response: ClientResponse
) -> Attempt:
    """Return what an upstream's response is worth to the caller."""
    refused = await _refused(upstream, response)
    if refused is not None:
        return refused
    where = upstream.upstream
    fields = response.headers
    if fields.first(names.REQUEST_ID, call.request_id) != call.request_id:
        # It was another request's; its connection ends with it.
        await close_body(response.body)
        return Attempt(Verdict.MAY_HAVE_RUN, 'answer of another call', where)
    good = response.status < HTTPStatus.BAD_REQUEST
    if good and not fields.first(names.STAMP):
        await close_body(response.body)
        return Attempt(Verdict.MAY_HAVE_RUN, 'answer without proof', where)
    if good and _passes_through(call, response):
        answer = HttpResponse(
            status=response.status,
            headers=fields,
            body=relayed_stream(context, call, upstream, response),
        )
        return Attempt(Verdict.RAN, 'answering', where, answer, failed=False)
    return await _held(upstream, response)


async def _refused(
    upstream: Upstream, response: ClientResponse
) -> Attempt | None:
    where = upstream.upstream
    sent_before = response.sent_before
    verdict = Verdict.MAY_HAVE_RUN if sent_before else Verdict.NOT_RUN
    if response.status == HTTPStatus.MISDIRECTED_REQUEST:
        await _discard(response)
        return Attempt(verdict, 'replaced by another', where, replaced=True)
    if response.headers.first(names.NOT_RUN):
        await _discard(response)
        return Attempt(verdict, 'refused by the upstream', where, refused=True)
    return None


def _passes_through(call: Call, response: ClientResponse) -> bool:
    """Return whether an answer is passed on as it comes."""
    if call.route.kind is RouteKind.STREAM:
        return True
    declared = response.headers.first('content-length', '0')
    return declared.isdecimal() and int(declared) > MAX_HELD_BYTES


async def _held(upstream: Upstream, response: ClientResponse) -> Attempt:
    where = upstream.upstream
    try:
        body = await response.read_body(MAX_HELD_BYTES)
    except (BodyBrokenError, BodyTooLargeError) as error:
        return Attempt(Verdict.MAY_HAVE_RUN, f'answer broken: {error}', where)
    return Attempt(
        Verdict.RAN,
        'answered',
        where,
        HttpResponse(
            status=response.status, headers=response.headers, body=body
        ),
        failed=response.status >= HTTPStatus.INTERNAL_SERVER_ERROR,
        failures=int(response.status == HTTPStatus.INTERNAL_SERVER_ERROR),
    )


async def _discard(response: ClientResponse) -> None:
    try:
        await response.read_body(MAX_HELD_BYTES)
    except (BodyBrokenError, BodyTooLargeError) as error:
        _log.info('gateway: a refusal broke off: %s', error)
