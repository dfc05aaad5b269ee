"""A client of entries and processes, on the product's HTTP client."""

from __future__ import annotations

import datetime as dt
import json
from typing import TYPE_CHECKING, Any, Final, NamedTuple

from bergamotdoor.http.client import HttpClient
from bergamotdoor.http.messages import (
    BodyBrokenError,
    BodyTooLargeError,
    ClientRequest,
    ClientResponse,
    Headers,
)

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.settings.document import Address

_DEFAULT_TIMEOUT: Final = dt.timedelta(seconds=4)
_MAX_BODY_BYTES: Final = 20_000_000


class Call(NamedTuple):
    """A request of a client."""

    method: str
    path: str
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()
    timeout: dt.timedelta = _DEFAULT_TIMEOUT
    #: Whether it may be sent on a pooled connection that is not proven to be
    #: alive.
    idempotent: bool = False


class Reply(NamedTuple):
    """A complete response."""

    status: int
    headers: Headers
    body: bytes

    @property
    def json(self) -> Any:
        """The body, decoded from JSON."""
        return json.loads(self.body)


class Client:
    """An HTTP client that keeps its connections open.

    Parameters
    ----------
    clock
        The clock that measures timeouts.
    host
        The value of the host header of all calls.
    """

    def __init__(self, clock: Clock, host: str) -> None:
        self._client = HttpClient(clock)
        self._host = host

    async def send(self, address: Address, call: Call) -> Reply | None:
        """Return the response, ``None`` if no complete one arrived."""
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
            body = await response.read_body(_MAX_BODY_BYTES)
        except (BodyBrokenError, BodyTooLargeError):
            return None
        return Reply(response.status, response.headers, body)

    async def get(self, address: Address, path: str) -> Reply | None:
        """Return the response to a read, ``None`` if none arrived."""
        return await self.send(address, Call('GET', path, idempotent=True))

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()
