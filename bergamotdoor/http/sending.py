"""Sends requests to upstreams over kept connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bergamotdoor.http.messages import ClientFailure, ClientResponse

if TYPE_CHECKING:
    from bergamotdoor.http.messages import Client, ClientRequest


async def send(
    client: Client, request: ClientRequest
) -> ClientResponse | ClientFailure:
    """Send a request, once more if a kept connection was closed.

    Failure: an upstream drops idle connections without notice. Symptom:
    what is sent on one is reset, and a good upstream seems broken. Once
    more on the next connection is enough. A request that may run only once
    uses no kept connection, so none is ever sent twice by this.

    Failure: the upstream ended under the request, which looks the same.
    Symptom: nobody listens any more, or the next start there refuses the
    request, and the caller is told that it did not run. What came of both
    is told: the first may have run.
    """
    first = await client.send(request)
    if not isinstance(first, ClientFailure) or not first.reused:
        return first
    again = await client.send(request)
    if isinstance(again, ClientResponse):
        again.sent_before = first.sent
        return again
    return again if again.sent else first
