"""In-memory network that can lose, delay, repeat, refuse and slow calls."""

from __future__ import annotations

import asyncio
import enum
from http import HTTPStatus
from typing import TYPE_CHECKING, Final, Protocol

from bergamotdoor.http.messages import (
    BodyBrokenError,
    ClientFailure,
    ClientRequest,
    ClientResponse,
    Headers,
    HttpRequest,
    HttpResponse,
    Reachability,
)
from lab.model.pausing import start_outside

if TYPE_CHECKING:
    import datetime as dt
    from collections.abc import AsyncIterator, Awaitable, Callable

    from bergamotdoor.settings.document import Address

    #: Returns the response to a request; the text names the calling process.
    Server = Callable[[str, HttpRequest], Awaitable[HttpResponse]]

#: Time that a request or a response is on its way.
_ONE_WAY_DELAY_S: Final = 0.001
#: Delay of a call that is done late or done again.
_LATE_DELAY_S: Final = 2
#: Time that a slow call waits before it is done.
_SLOW_DELAY_S: Final = 0.45


class Fate(enum.Enum):
    """Fate of a call: done without a fault, or with one of the faults."""

    DONE = 'done'
    #: The server does not receive the request.
    LOST = 'lost before it was done'
    #: The call is done, but its response is lost.
    UNANSWERED = 'done, and its answer lost'
    #: The caller gets no response, and the call is done seconds later.
    LATE = 'done two seconds later, unanswered'
    #: The call is done and answered, and done again seconds later.
    TWICE = 'done, and again two seconds later'
    #: The call is done and answered after a delay.
    SLOW = 'done after a while'
    #: The call is answered with 503 and not done.
    REFUSED = 'refused'


class Judge(Protocol):
    """Policy that decides the fate of each call."""

    def fate(self, origin: str, goal: str, request: ClientRequest) -> Fate:
        """Return the fate of a call.

        Parameters
        ----------
        origin
            Name of the calling process.
        goal
            Name of the called process.
        request
            The call.
        """


class Network:
    """Delivers requests to the processes that serve at their addresses.

    Parameters
    ----------
    judge
        Policy that decides the fate of each call.
    """

    def __init__(self, judge: Judge) -> None:
        self._policy = judge
        #: Name and server of the process at each address.
        self._servers: dict[Address, tuple[str, Server]] = {}

    def serve(self, address: Address, name: str, server: Server) -> None:
        """Serve at an address, under the name of a process."""
        self._servers[address] = (name, server)

    def drop(self, address: Address) -> None:
        """Stop to serve at an address; connections to it are refused."""
        self._servers.pop(address, None)

    def serves(self, address: Address) -> bool:
        """Return whether a process serves at an address."""
        return address in self._servers

    async def send(
        self, origin: str, request: ClientRequest
    ) -> ClientResponse | ClientFailure:
        """Deliver a request, and wait for the head of the response.

        Parameters
        ----------
        origin
            Name of the calling process.
        request
            The request, with its address and timeout.
        """
        known = self._servers.get(request.address)
        if known is None:
            await asyncio.sleep(_ONE_WAY_DELAY_S)
            return ClientFailure(sent=False, detail='refused')
        destination, server = known
        fate = self._policy.fate(origin, destination, request)
        delivery = start_outside(_deliver(fate, origin, request, server))
        try:
            async with asyncio.timeout(request.timeout.total_seconds()):
                response = await asyncio.shield(delivery)
        except TimeoutError:
            return ClientFailure(sent=True, detail='no answer in time')
        if response is None:
            return ClientFailure(sent=True, detail='connection lost')
        return ClientResponse(
            status=response.status,
            headers=response.headers,
            body=_body_chunks(response, request.timeout),
        )


class NetworkClient:
    """Client with which one process sends its requests.

    Parameters
    ----------
    network
        Network that delivers the requests.
    origin
        Name of the process.
    """

    def __init__(self, network: Network, origin: str) -> None:
        self._network = network
        self._origin = origin

    async def send(
        self, request: ClientRequest
    ) -> ClientResponse | ClientFailure:
        """Send a request, and wait for the head of the response."""
        return await self._network.send(self._origin, request)

    async def probe(self, address: Address) -> Reachability:
        """Return whether an address accepts or refuses connections."""
        if self._network.serves(address):
            return Reachability.OPEN
        return Reachability.REFUSED

    async def close(self) -> None:
        """Do nothing; the client holds no connections."""


async def _deliver(
    fate: Fate, origin: str, request: ClientRequest, server: Server
) -> HttpResponse | None:
    await asyncio.sleep(_ONE_WAY_DELAY_S)
    if fate is Fate.LOST:
        return None
    if fate is Fate.REFUSED:
        return HttpResponse(status=int(HTTPStatus.SERVICE_UNAVAILABLE))
    if fate is Fate.SLOW:
        await asyncio.sleep(_SLOW_DELAY_S)
    if fate in {Fate.LATE, Fate.TWICE}:
        start_outside(_deliver_late(origin, request, server))
    if fate is Fate.LATE:
        return None
    response = await server(origin, _server_request(request))
    await asyncio.sleep(_ONE_WAY_DELAY_S)
    return None if fate is Fate.UNANSWERED else response


async def _deliver_late(
    origin: str, request: ClientRequest, server: Server
) -> None:
    await asyncio.sleep(_LATE_DELAY_S)
    await server(origin, _server_request(request))


def _server_request(request: ClientRequest) -> HttpRequest:
    assert isinstance(request.body, bytes)
    return received(
        request.method, request.target, request.headers, request.body
    )


def received(
    method: str, target: str, headers: Headers, body: bytes = b''
) -> HttpRequest:
    """Return a request in the form in which a server receives it."""
    return HttpRequest(
        method=method, target=target, headers=headers, body=_single_chunk(body)
    )


async def _single_chunk(body: bytes) -> AsyncIterator[bytes]:
    yield body


async def _body_chunks(
    response: HttpResponse, timeout: dt.timedelta
) -> AsyncIterator[bytes]:
    if isinstance(response.body, bytes):
        yield response.body
        return
    chunks = response.body
    try:
        while True:
            async with asyncio.timeout(timeout.total_seconds()):
                chunk = await anext(chunks)
            yield chunk
    except StopAsyncIteration:
        return
    except TimeoutError:
        raise BodyBrokenError('no data within the timeout') from None
    finally:
        await chunks.aclose()  # type: ignore[attr-defined]
