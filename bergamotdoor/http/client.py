"""HTTP client with a connection pool."""

from __future__ import annotations

import asyncio
import datetime as dt
import functools
from typing import TYPE_CHECKING, Final

import h11
import msgspec

from bergamotdoor.http._bodies import close_body
from bergamotdoor.http._call import Call
from bergamotdoor.http._client_heads import UnclearEndError, head_of
from bergamotdoor.http._pool import Pool
from bergamotdoor.http._stream import connect
from bergamotdoor.http.messages import ClientFailure, Reachability

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.http._stream import Stream
    from bergamotdoor.http.messages import ClientRequest, ClientResponse
    from bergamotdoor.settings.document import Address

#: Common HTTP servers keep an idle connection for at least five seconds. The
#: client closes earlier, because a request that is sent while the server
#: closes the connection is lost.
_IDLE_TIMEOUT_S: Final = 4
IDLE_TIMEOUT: Final = dt.timedelta(seconds=_IDLE_TIMEOUT_S)
MAX_IDLE_PER_ADDRESS: Final = 32

#: A refused connection takes one round trip. The bound is short because a
#: request waits for the result.
_PROBE_TIMEOUT_S: Final = 0.1

_NO_TIME: Final = dt.timedelta()


class HttpClient:
    """HTTP client that uses pooled connections and never retries.

    ``ClientRequest.timeout`` bounds the time from the call of ``send`` to
    the end of the response's head, which includes sending the request's
    body. It then bounds the wait for each piece of the response's body.
    ``ClientRequest.total_timeout`` bounds the whole exchange.

    Parameters
    ----------
    clock
        Clock that measures how long connections have been idle.
    idle_timeout
        How long an idle connection is kept.
    max_idle_per_address
        How many idle connections are kept for each upstream.
    """

    def __init__(
        self,
        clock: Clock,
        idle_timeout: dt.timedelta = IDLE_TIMEOUT,
        max_idle_per_address: int = MAX_IDLE_PER_ADDRESS,
    ) -> None:
        self._pool = Pool(clock, idle_timeout, max_idle_per_address)

    @property
    def idle_connections(self) -> int:
        """Number of idle connections in the pool."""
        return len(self._pool)

    async def send(
        self, request: ClientRequest
    ) -> ClientResponse | ClientFailure:
        """Send `request`, and return when the response's head is read.

        A streamed body of the request is closed in any case.

        Returns
        -------
        ClientResponse or ClientFailure
            A failure if no response was received. Its ``sent`` is False only
            if no byte of the request was written to a socket.
        """
        if request.timeout <= _NO_TIME:
            return await _not_sent_failure(request, 'no time left')
        try:
            head = head_of(request)
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            return await _not_sent_failure(request, error)
        deadline = _deadline_after(request.timeout)
        stream = self._acquire_pooled(request)
        reused = stream is not None
        if stream is None:
            try:
                async with asyncio.timeout_at(deadline):
                    stream = await connect(request.address)
            except OSError as error:
                return await _not_sent_failure(request, error)
        result = await self._exchange(request, head, stream, deadline)
        if isinstance(result, ClientFailure):
            return msgspec.structs.replace(result, reused=reused)
        return result

    async def probe(self, address: Address) -> Reachability:
        """Open a connection to `address`, and return what that shows.

        A connection that opens is added to the pool. One that does not open
        within 0.1 s shows nothing.
        """
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                stream = await connect(address)
        except ConnectionRefusedError:
            return Reachability.REFUSED
        except OSError:
            return Reachability.SILENT
        self._pool.give(address, stream)
        return Reachability.OPEN

    async def close(self) -> None:
        """Close all pooled connections; no connection is pooled afterwards."""
        await self._pool.close()

    async def _exchange(
        self,
        request: ClientRequest,
        head: h11.Request,
        stream: Stream,
        deadline: float,
    ) -> ClientResponse | ClientFailure:
        release = functools.partial(self._pool.give, request.address)
        if stream.gone and not stream.has_input:
            stream.close()
            return await _not_sent_failure(request, 'closed before the request')
        call = Call(stream, request, release)
        call.write(head)
        try:
            async with asyncio.timeout_at(deadline):
                return await call.response()
        except TimeoutError:
            call.abort()
            self._pool.distrust(request.address)
            return _no_response_failure(request, f'none in {request.timeout}')
        except (h11.RemoteProtocolError, UnclearEndError, OSError) as error:
            call.abort()
            return _no_response_failure(request, call.sending_error or error)
        except BaseException:
            call.abort()
            raise

    def _acquire_pooled(self, request: ClientRequest) -> Stream | None:
        # An idle connection may have lost its remote side without notice.
        # The request would be written and never answered, and it would stay
        # unknown whether it ran.
        if request.idempotent:
            return self._pool.take(request.address)
        return None


def _deadline_after(timeout: dt.timedelta) -> float:
    return asyncio.get_running_loop().time() + timeout.total_seconds()


async def _not_sent_failure(
    request: ClientRequest, cause: Exception | str
) -> ClientFailure:
    await close_body(request.body)
    return ClientFailure(
        sent=False, detail=f'not sent to {_describe_target(request)}: {cause!r}'
    )


def _no_response_failure(
    request: ClientRequest, cause: Exception | str
) -> ClientFailure:
    return ClientFailure(
        sent=True,
        detail=f'no response from {_describe_target(request)}: {cause!r}',
    )


def _describe_target(request: ClientRequest) -> str:
    address = request.address
    return f'{address.ip}:{address.port}{request.target}'
