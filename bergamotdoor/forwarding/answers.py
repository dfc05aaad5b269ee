"""Evaluation of the responses of upstreams to calls."""

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

#: Limit of a response that is buffered completely before the caller gets any
#: of it, so that another upstream's response can replace one that breaks off.
MAX_HELD_BYTES: Final = 4_194_304

#: Limit of the body of a refusal, which is a sentence at most.
_MAX_REFUSAL_BYTES: Final = 16_384

_log = logging.getLogger('bergamotdoor.gateway')


async def judge(
    context: Context, call: Call, upstream: Upstream, response: ClientResponse
) -> Attempt:
    """Return the attempt that an upstream's response results in.

    Parameters
    ----------
    context
        Services of the process.
    call
        The call that was sent.
    upstream
        The upstream that responded.
    response
        Its response, with an unread body.
    """
    upstream_id = upstream.upstream
    fields = response.headers
    if fields.first(names.REQUEST_ID, call.request_id) != call.request_id:
        # This is the response to another request. Closing its unread body
        # closes the connection too.
        await close_body(response.body)
        return Attempt(
            Verdict.MAY_HAVE_RUN, 'answer of another call', upstream_id
        )
    refusal = await _check_refusal(upstream, response)
    if refusal is not None:
        return refusal
    good = response.status < HTTPStatus.BAD_REQUEST
    if good and not fields.first(names.STAMP):
        await close_body(response.body)
        return Attempt(
            Verdict.MAY_HAVE_RUN, 'answer without proof', upstream_id
        )
    if good and _is_relayed(call, response):
        answer = HttpResponse(
            status=response.status,
            headers=fields,
            body=relayed_stream(context, call, upstream, response),
        )
        return Attempt(
            Verdict.RAN, 'answering', upstream_id, answer, failed=False
        )
    return await _buffer_response(upstream, response)


async def _check_refusal(
    upstream: Upstream, response: ClientResponse
) -> Attempt | None:
    """Return an attempt if the upstream refused the call, else ``None``."""
    upstream_id = upstream.upstream
    sent_before = response.sent_before
    verdict = Verdict.MAY_HAVE_RUN if sent_before else Verdict.NOT_RUN
    if response.status == HTTPStatus.MISDIRECTED_REQUEST:
        await _discard_body(response)
        return Attempt(
            verdict, 'replaced by another', upstream_id, replaced=True
        )
    if response.headers.first(names.NOT_RUN):
        await _discard_body(response)
        return Attempt(
            verdict, 'refused by the upstream', upstream_id, refused=True
        )
    return None


def _is_relayed(call: Call, response: ClientResponse) -> bool:
    """Return whether a response is passed on while it arrives."""
    if call.route.kind is RouteKind.STREAM:
        return True
    length = response.headers.first('content-length', '0')
    return length.isdecimal() and int(length) > MAX_HELD_BYTES


async def _buffer_response(
    upstream: Upstream, response: ClientResponse
) -> Attempt:
    """Read a response completely and return it as an attempt."""
    upstream_id = upstream.upstream
    try:
        body = await response.read_body(MAX_HELD_BYTES)
    except (BodyBrokenError, BodyTooLargeError) as error:
        return Attempt(
            Verdict.MAY_HAVE_RUN, f'answer broken: {error}', upstream_id
        )
    return Attempt(
        Verdict.RAN,
        'answered',
        upstream_id,
        HttpResponse(
            status=response.status, headers=response.headers, body=body
        ),
        failed=response.status >= HTTPStatus.INTERNAL_SERVER_ERROR,
        failures=int(response.status == HTTPStatus.INTERNAL_SERVER_ERROR),
    )


async def _discard_body(response: ClientResponse) -> None:
    """Read the body of a refusal, so that the connection can be kept."""
    try:
        await response.read_body(_MAX_REFUSAL_BYTES)
    except (BodyBrokenError, BodyTooLargeError) as error:
        _log.info('gateway: the response of a refusal broke off: %s', error)
