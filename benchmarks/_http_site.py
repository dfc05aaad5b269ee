"""HTTP server with a few test handlers, and a client for it."""

from __future__ import annotations

import asyncio
import datetime as dt
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.clock import LoopClock
from bergamotdoor.http.client import HttpClient
from bergamotdoor.http.messages import (
    ClientRequest,
    ClientResponse,
    HttpRequest,
    HttpResponse,
)
from bergamotdoor.http.server import HttpServer
from bergamotdoor.settings.document import Address
from bergamotdoor.settings.process import HttpLimits

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

STREAM_MB: Final = 32
MB: Final = 1_048_576

_PIECE_OF_ZEROS: Final = bytes(65_536)
_TIMEOUT: Final = dt.timedelta(seconds=10)


class Site(msgspec.Struct):
    """Running server, its address, and a client for it."""

    server: HttpServer
    address: Address
    client: HttpClient

    @classmethod
    async def open(cls) -> Site:
        """Start a server on a free port, and create a client for it."""
        clock = LoopClock()
        server = HttpServer(
            Address(ip='127.0.0.1', port=0), answer, HttpLimits(), clock
        )
        return cls(server, await server.start(), HttpClient(clock))

    async def close(self) -> None:
        """Close the client and stop the server."""
        await self.client.close()
        await self.server.stop(_TIMEOUT)

    async def send(self, target: str, **fields: object) -> ClientResponse:
        """Send a POST request, and return its response.

        Parameters
        ----------
        target
            Path of the request.
        **fields
            Fields of the request that replace the defaults.

        Raises
        ------
        ConnectionError
            If there is no response.
        """
        request = ClientRequest(
            address=self.address, method='POST', target=target, timeout=_TIMEOUT
        )
        response = await self.client.send(
            msgspec.structs.replace(request, **fields)
        )
        if isinstance(response, ClientResponse):
            return response
        raise ConnectionError(response.detail)


async def answer(request: HttpRequest) -> HttpResponse:
    """Return the response to a request of the benchmark.

    ``/zeros`` streams zeros, ``/count`` returns the size of the body, and
    ``/echo`` returns the body. For any other target the handler waits for
    ``x-delay-s`` seconds, and returns the target once for each byte of the
    body.
    """
    if request.target == '/zeros':
        return HttpResponse(status=200, body=zeros())
    if request.target == '/count':
        size = str(await size_bytes(request.body))
        return HttpResponse(status=200, body=size.encode())
    body = await request.read_body(MB)
    if request.target == '/echo':
        return HttpResponse(status=200, body=body)
    await asyncio.sleep(float(request.headers.first('x-delay-s')))
    return HttpResponse(status=200, body=request.target.encode() * len(body))


async def size_bytes(body: AsyncIterator[bytes]) -> int:
    """Return the size of a body, which is read and discarded."""
    sizes = [len(piece) async for piece in body]
    return sum(sizes)


async def zeros() -> AsyncIterator[bytes]:
    """Yield ``STREAM_MB`` megabytes of zeros."""
    for _ in range(STREAM_MB * MB // len(_PIECE_OF_ZEROS)):
        yield _PIECE_OF_ZEROS
