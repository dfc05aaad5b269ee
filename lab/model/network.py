"""A network in memory: calls are lost, late, repeated, refused and slow."""

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
)
from lab.model.pausing import start_outside

if TYPE_CHECKING:
    import datetime as dt
    from collections.abc import AsyncIterator, Awaitable, Callable

    from bergamotdoor.settings.document import Address

    #: Serves one request of a process.
    Server = Callable[[str, HttpRequest], Awaitable[HttpResponse]]

#: How long a call takes one way.
_WAY_S: Final = 0.001
#: When a call that is late or repeated is done.
_LATE_S: Final = 2
#: How long a slow call waits before it is done.
_SLOW_S: Final = 0.45


class Fate(enum.Enum):
    """What becomes of a call."""

    DONE = 'done'
    #: It gets nowhere.
    LOST = 'lost before it was done'
    #: It is done and its answer is lost.
    UNANSWERED = 'done, and its answer lost'
    #: It gets no answer and is done seconds later.
    LATE = 'done two seconds later, unanswered'
    #: It is done, and done again seconds later.
    TWICE = 'done, and again two seconds later'
    #: It is done after a while, and answered.
    SLOW = 'done after a while'
    #: It is answered with 503 and not done.
    REFUSED = 'refused'


class Judge(Protocol):
    """Decides what becomes of calls."""

    def fate(self, origin: str, goal: str, request: ClientRequest) -> Fate:
        """Return what becomes of a call of a process."""


class Network:
    """Carries requests between processes by their addresses."""

    def __init__(self, judge: Judge) -> None:
        self._judge = judge
        self._servers: dict[Address, tuple[str, Server]] = {}

    def serve(self, address: Address, name: str, server: Server) -> None:
        """Have a server answer at an address."""
        self._servers[address] = (name, server)

    def drop(self, address: Address) -> None:
        """Refuse connections at an address."""
        self._servers.pop(address, None)

    def serves(self, address: Address) -> bool:
        """Return whether a server answers at an address."""
        return address in self._servers

    async def send(
        self, origin: str, request: ClientRequest
    ) -> ClientResponse | ClientFailure:
        """Carry one request, and wait for the answer's head."""
        known = self._servers.get(request.address)
        if known is None:
            await asyncio.sleep(_WAY_S)
            return ClientFailure(sent=False, detail='refused')
        goal, server = known
        fate = self._judge.fate(origin, goal, request)
        answer = start_outside(_carry(fate, origin, request, server))
        try:
            async with asyncio.timeout(request.timeout.total_seconds()):
                found = await asyncio.shield(answer)
        except TimeoutError:
            return ClientFailure(sent=True, detail='no answer in time')
        if found is None:
            return ClientFailure(sent=True, detail='connection lost')
        return ClientResponse(
            status=found.status,
            headers=found.headers,
            body=_pieces(found, request.timeout),
        )


class NetworkClient:
    """The network as one process sees it."""

    def __init__(self, network: Network, origin: str) -> None:
        self._network = network
        self._origin = origin

    async def send(
        self, request: ClientRequest
    ) -> ClientResponse | ClientFailure:
        """Send a request."""
        return await self._network.send(self._origin, request)

    async def refuses(self, address: Address) -> bool:
        """Return whether nobody serves at an address."""
        return not self._network.serves(address)

    async def close(self) -> None:
        """Keep nothing open."""


async def _carry(
    fate: Fate, origin: str, request: ClientRequest, server: Server
) -> HttpResponse | None:
    await asyncio.sleep(_WAY_S)
    if fate is Fate.LOST:
        return None
    if fate is Fate.REFUSED:
        return HttpResponse(status=int(HTTPStatus.SERVICE_UNAVAILABLE))
    if fate is Fate.SLOW:
        await asyncio.sleep(_SLOW_S)
    if fate in {Fate.LATE, Fate.TWICE}:
        start_outside(_again(origin, request, server))
    if fate is Fate.LATE:
        return None
    answer = await server(origin, _received(request))
    await asyncio.sleep(_WAY_S)
    return None if fate is Fate.UNANSWERED else answer


async def _again(origin: str, request: ClientRequest, server: Server) -> None:
    await asyncio.sleep(_LATE_S)
    await server(origin, _received(request))


def _received(request: ClientRequest) -> HttpRequest:
    assert isinstance(request.body, bytes)
    return received(
        request.method, request.target, request.headers, request.body
    )


def received(
    method: str, target: str, headers: Headers, body: bytes = b''
) -> HttpRequest:
    """Return a request as a server gets it."""
    return HttpRequest(
        method=method, target=target, headers=headers, body=_one(body)
    )


async def _one(body: bytes) -> AsyncIterator[bytes]:
    yield body


async def _pieces(
    answer: HttpResponse, timeout: dt.timedelta
) -> AsyncIterator[bytes]:
    if isinstance(answer.body, bytes):
        yield answer.body
        return
    pieces = answer.body
    try:
        while True:
            async with asyncio.timeout(timeout.total_seconds()):
                piece = await anext(pieces)
            yield piece
    except StopAsyncIteration:
        return
    except TimeoutError:
        raise BodyBrokenError('silent') from None
    finally:
        await pieces.aclose()  # type: ignore[attr-defined]
