"""Sends requests to upstreams over kept connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bergamotdoor.http.messages import ClientFailure

if TYPE_CHECKING:
    from bergamotdoor.http.messages import (
        Client,
        ClientRequest,
        ClientResponse,
    )


async def send(
    client: Client, request: ClientRequest
) -> ClientResponse | ClientFailure:
    """Send a request, once more if a kept connection was closed.

    Failure: an upstream drops idle connections without notice. Symptom:
    what is sent on one is reset, and a good upstream seems broken. Once
    more on the next connection is enough. A request that may run only once
    uses no kept connection, so none is ever sent twice by this.
    """
    found = await client.send(request)
    if isinstance(found, ClientFailure) and found.reused:
        return await client.send(request)
    return found
