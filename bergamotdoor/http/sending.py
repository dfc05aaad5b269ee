"""Sending of requests with one retry if a reused connection fails."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bergamotdoor.http.messages import ClientFailure, ClientResponse

if TYPE_CHECKING:
    from bergamotdoor.http.messages import Client, ClientRequest


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
    first = await client.send(request)
    if not isinstance(first, ClientFailure) or not first.reused:
        return first
    second = await client.send(request)
    if isinstance(second, ClientResponse):
        second.sent_before = first.sent
        return second
    return second if second.sent else first
