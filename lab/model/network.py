"""In-memory network that can lose, delay, repeat, refuse and slow calls."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final, NamedTuple, Protocol

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
from lab.model.attempts import current_attempt
from lab.model.connections import KeptConnections
from lab.model.fates import OUTAGES, REJECTIONS, Fate
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
#: Time for which a call is not answered, above the timeout of any call.
_SILENCE_S: Final = 60


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

    def begin_outage(self, fate: Fate) -> None:
        """Give all calls to the store a fate for some seconds."""


class _Served(NamedTuple):
    """Process that serves at an address."""

    name: str
    server: Server
    #: Done once the process has ended.
    ended: asyncio.Future[None]


class _Call(NamedTuple):
    """Call on its way, and what becomes of it."""

    origin: str
    request: ClientRequest
    served: _Served
    fate: Fate


class Network:
    """Delivers requests to the processes that serve at their addresses.

    Parameters
    ----------
    judge
        Policy that decides the fate of each call.
    keeps_connections
        Whether processes keep connections. If they do, those to a process
        that ends are reset.
    """

    def __init__(self, judge: Judge, *, keeps_connections: bool) -> None:
        self._policy = judge
        self.keeps_connections = keeps_connections
        #: The process at each address.
        self._servers: dict[Address, _Served] = {}

    def serve(self, address: Address, name: str, server: Server) -> None:
        """Serve at an address, under the name of a process."""
        ended = asyncio.get_running_loop().create_future()
        self._servers[address] = _Served(name, server, ended)

    def drop(self, address: Address) -> None:
        """Stop to serve at an address; connections to it are refused."""
        known = self._servers.pop(address, None)
        if known is not None and self.keeps_connections:
            known.ended.set_result(None)

    def serves(self, address: Address) -> bool:
        """Return whether a process serves at an address."""
        return address in self._servers

    async def send(
        self, origin: str, request: ClientRequest, kept: KeptConnections
    ) -> ClientResponse | ClientFailure:
        """Deliver a request, and wait for the head of the response.

        Parameters
        ----------
        origin
            Name of the calling process.
        request
            The request, with its address and timeout.
        kept
            Connections that the calling process has kept.
        """
        known = self._servers.get(request.address)
        if known is None:
            await asyncio.sleep(_ONE_WAY_DELAY_S)
            return ClientFailure(sent=False, detail='refused')
        fate = self._policy.fate(origin, known.name, request)
        if fate is Fate.UNREACHABLE:
            kept.distrust(request.address)
            await asyncio.sleep(_ONE_WAY_DELAY_S)
            return ClientFailure(sent=False, detail='refused')
        reused = kept.take(request, known)
        call = _Call(origin, request, known, fate)
        delivery = start_outside(self._deliver(call, current_attempt.get()))
        try:
            async with asyncio.timeout(request.timeout.total_seconds()):
                response = await asyncio.shield(delivery)
        except TimeoutError:
            kept.distrust(request.address)
            return ClientFailure(True, 'no answer in time', reused)
        if response is None:
            return ClientFailure(True, 'connection lost', reused)
        kept.give(request, known, response)
        return ClientResponse(
            status=response.status,
            headers=response.headers,
            body=_body_chunks(response, request.timeout),
        )

    async def _deliver(
        self, call: _Call, attempt: int | None
    ) -> HttpResponse | None:
        current_attempt.set(attempt)
        await asyncio.sleep(_ONE_WAY_DELAY_S)
        outage = OUTAGES.get(call.fate)
        fate = call.fate if outage is None else outage.fate
        response = await self._carry_out(call, fate)
        if outage is not None:
            self._policy.begin_outage(outage.others)
        if fate is Fate.SILENT:
            await asyncio.sleep(_SILENCE_S)
        return None if fate is Fate.UNANSWERED else response

    async def _carry_out(self, call: _Call, fate: Fate) -> HttpResponse | None:
        rejection = REJECTIONS.get(fate)
        if rejection is not None:
            return HttpResponse(status=int(rejection))
        if fate in {Fate.LATE, Fate.TWICE}:
            start_outside(_deliver_late(call, current_attempt.get()))
        if fate in {Fate.LOST, Fate.LATE}:
            return None
        if fate is Fate.SLOW:
            await asyncio.sleep(_SLOW_DELAY_S)
        response = await self._answer(call)
        await asyncio.sleep(_ONE_WAY_DELAY_S)
        return response

    async def _answer(self, call: _Call) -> HttpResponse | None:
        """Return the response; ``None`` if the called process ends first."""
        answer = call.served.server(call.origin, _server_request(call.request))
        if not self.keeps_connections:
            return await answer
        answering = asyncio.ensure_future(answer)
        await asyncio.wait(
            (answering, call.served.ended), return_when=asyncio.FIRST_COMPLETED
        )
        return answering.result() if answering.done() else None


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
        self._kept = KeptConnections(is_enabled=network.keeps_connections)

    async def send(
        self, request: ClientRequest
    ) -> ClientResponse | ClientFailure:
        """Send a request, and wait for the head of the response."""
        return await self._network.send(self._origin, request, self._kept)

    async def probe(self, address: Address) -> Reachability:
        """Return whether an address accepts or refuses connections."""
        if self._network.serves(address):
            return Reachability.OPEN
        return Reachability.REFUSED

    async def close(self) -> None:
        """Do nothing; the client holds no connections."""


async def _deliver_late(call: _Call, attempt: int | None) -> None:
    current_attempt.set(attempt)
    await asyncio.sleep(_LATE_DELAY_S)
    await call.served.server(call.origin, _server_request(call.request))


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
