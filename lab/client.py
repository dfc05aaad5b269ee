"""Calls of clients, over the product's own HTTP client."""

from __future__ import annotations

import datetime as dt
import json
from typing import TYPE_CHECKING, Any, Final, NamedTuple

from bergamotdoor.http.client import HttpClient
from bergamotdoor.http.messages import (
    BodyBrokenError,
    ClientRequest,
    ClientResponse,
    Headers,
)

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.settings.document import Address

_TIMEOUT: Final = dt.timedelta(seconds=4)
_MAX_BYTES: Final = 20_000_000


class Call(NamedTuple):
    """What a client sends."""

    method: str
    path: str
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()
    timeout: dt.timedelta = _TIMEOUT
    #: Whether it may go on a kept connection that was not proved alive.
    idempotent: bool = False


class Reply(NamedTuple):
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes

    @property
    def json(self) -> Any:
        """The body, decoded."""
        return json.loads(self.body)


class Client:
    """Sends calls on connections that it keeps.

    Parameters
    ----------
    clock
        For timeouts.
    host
        The host that all calls name.
    """

    def __init__(self, clock: Clock, host: str) -> None:
        self._client = HttpClient(clock)
        self._host = host

    async def send(self, address: Address, call: Call) -> Reply | None:
        """Return the whole answer, None if there is none."""
        response = await self._client.send(
            ClientRequest(
                address=address,
                method=call.method,
                target=call.path,
                headers=Headers.of([('host', self._host), *call.headers]),
                body=call.body,
                timeout=call.timeout,
                idempotent=call.idempotent,
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
