"""Calls of clients, over the product's own HTTP client."""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final, NamedTuple

from bergamotdoor.clock import LoopClock
from bergamotdoor.http.client import HttpClient
from bergamotdoor.http.messages import (
    BodyBrokenError,
    ClientRequest,
    ClientResponse,
    Headers,
)
from bergamotdoor.platform.headers import REQUEST_ID, WAIT_MS
from lab.deployment import HOST

if TYPE_CHECKING:
    from bergamotdoor.settings.document import Address

_TIMEOUT: Final = dt.timedelta(seconds=4)
_MAX_BYTES: Final = 20_000_000


class Call(NamedTuple):
    """What a client sends."""

    method: str
    path: str
    body: bytes = b''
    request_id: str = ''
    wait_ms: int = 0


class Reply(NamedTuple):
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes


class Client:
    """Sends calls on connections that it keeps."""

    def __init__(self) -> None:
        self._client = HttpClient(LoopClock())

    async def send(self, address: Address, call: Call) -> Reply | None:
        """Return the whole answer, None if there is none."""
        fields = [('host', HOST)]
        if call.request_id:
            fields.append((REQUEST_ID, call.request_id))
        if call.wait_ms:
            fields.append((WAIT_MS, str(call.wait_ms)))
        response = await self._client.send(
            ClientRequest(
                address=address,
                method=call.method,
                target=call.path,
                headers=Headers.of(fields),
                body=call.body,
                timeout=_TIMEOUT,
                idempotent=call.method == 'GET',
            )
        )
        if not isinstance(response, ClientResponse):
            return None
        try:
            body = await response.read_body(_MAX_BYTES)
        except BodyBrokenError:
            return None
        return Reply(response.status, response.headers, body)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()
