"""Sending of requests with one retry if a reused connection fails."""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.http.messages import ClientFailure, ClientResponse

if TYPE_CHECKING:
    from bergamotdoor.http.messages import Client, ClientRequest

#: How much of a target is logged.
_MAX_TARGET_CHARS: Final = 200
_NO_TIME: Final = dt.timedelta()

_log = logging.getLogger('bergamotdoor.http')


async def send(
    client: Client, request: ClientRequest
) -> ClientResponse | ClientFailure:
    """Send a request, and retry it once if a reused connection failed.

    Failure: an upstream closes idle connections without notice. Symptom: a
    request on such a connection is reset, and a healthy upstream seems to
    have failed. One retry on the next connection is enough. A request that
    may run only once never uses a pooled connection, so it is never sent
    twice here.

    Failure: the upstream crashed while it handled the request, which looks
    the same. Symptom: nothing listens at the address any more, or the
    restarted upstream refuses the request, and the caller would be told that
    the request did not run. The result therefore covers both attempts: it
    shows that the first one may have run.

    With ``retry_within`` the second attempt gets only the time that the first
    one has left, so that a silent upstream is not waited for twice.

    Parameters
    ----------
    client
        HTTP client that makes both attempts.
    request
        Request to send.

    Returns
    -------
    ClientResponse or ClientFailure
        Result of the last attempt, except that the first failure is returned
        if no byte of the retry was sent. ``sent_before`` of a response says
        whether the first attempt may have reached the upstream.
    """
    started_s = _loop_time_s()
    first = await client.send(request)
    if not isinstance(first, ClientFailure) or not first.reused:
        return first
    retry = _retry_of(request, _loop_time_s() - started_s)
    if retry is None:
        return first
    _log.info(
        'http: %s %s at %s:%d on a kept connection, %s: %s; sending it again',
        request.method,
        request.target[:_MAX_TARGET_CHARS],
        request.address.ip,
        request.address.port,
        'sent' if first.sent else 'not sent',
        first.detail,
    )
    second = await client.send(retry)
    if isinstance(second, ClientResponse):
        second.sent_before = first.sent
        second.first_failure = first.detail
        return second
    last, other = (second, first) if second.sent else (first, second)
    return msgspec.structs.replace(last, other_failure=other.detail)


def _retry_of(request: ClientRequest, elapsed_s: float) -> ClientRequest | None:
    """Return the second attempt; ``None`` if no time is left for it."""
    if request.retry_within is None:
        return request
    left = request.retry_within - dt.timedelta(seconds=elapsed_s)
    if left <= _NO_TIME:
        return None
    return msgspec.structs.replace(
        request, timeout=min(request.timeout, left), total_timeout=left
    )


def _loop_time_s() -> float:
    return asyncio.get_running_loop().time()
