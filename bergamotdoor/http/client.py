"""The HTTP client."""

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
from bergamotdoor.http.messages import ClientFailure

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.http._stream import Stream
    from bergamotdoor.http.messages import ClientRequest, ClientResponse
    from bergamotdoor.settings.document import Address

#: Below the keep-alive of usual HTTP servers, the shortest of which is
#: five seconds; the side that closes first avoids a lost request.
_IDLE_TIMEOUT_S: Final = 4
IDLE_TIMEOUT: Final = dt.timedelta(seconds=_IDLE_TIMEOUT_S)
MAX_IDLE_PER_ADDRESS: Final = 32

#: A refusal takes one round trip; a request waits for it before it goes on.
_PROOF_TIMEOUT_S: Final = 0.1

_NO_TIME: Final = dt.timedelta()


class HttpClient:
    """Sends requests over pooled connections and never retries.

    ``ClientRequest.timeout`` bounds the time from the call to the end of
    the response's head, the request's body included, and then each pause
    between two pieces of the response's body.

    Parameters
    ----------
    clock
        Measures how long connections have been idle.
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
        """How many connections wait for a next request."""
        return len(self._pool)

    async def send(
        self, request: ClientRequest
    ) -> ClientResponse | ClientFailure:
        """Send `request`; return once the response's head is read.

        The failure's ``sent`` is False only if no byte of the request
        was handed to a socket. A streamed body is closed in any case.
        """
        if request.timeout <= _NO_TIME:
            return await _not_sent(request, 'no time left')
        try:
            head = head_of(request)
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            return await _not_sent(request, error)
        deadline = _deadline(request.timeout)
        stream = self._pooled(request)
        reused = stream is not None
        if stream is None:
            try:
                async with asyncio.timeout_at(deadline):
                    stream = await connect(request.address)
            except OSError as error:
                return await _not_sent(request, error)
        found = await self._exchange(request, head, stream, deadline)
        if isinstance(found, ClientFailure):
            return msgspec.structs.replace(found, reused=reused)
        return found

    async def refuses(self, address: Address) -> bool:
        """Return whether connections are refused: nobody listens there.

        Silence is no refusal. A connection that opens is kept for the next
        request.
        """
        try:
            async with asyncio.timeout(_PROOF_TIMEOUT_S):
                stream = await connect(address)
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
        self._pool.give(address, stream)
        return False

    async def close(self) -> None:
        """Close every pooled connection; none is pooled from now on."""
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
            return await _not_sent(request, 'closed before the request')
        call = Call(stream, request, release)
        call.write(head)
        try:
            async with asyncio.timeout_at(deadline):
                return await call.response()
        except TimeoutError:
            call.abort()
            self._pool.distrust(request.address)
            return _no_response(request, f'none in {request.timeout}')
        except (h11.RemoteProtocolError, UnclearEndError, OSError) as error:
            call.abort()
            return _no_response(request, call.sending_error or error)
        except BaseException:
            call.abort()
            raise

    def _pooled(self, request: ClientRequest) -> Stream | None:
        # An idle connection may have died silently: the request would be
        # written, never answered, and nobody could say whether it ran.
        if request.idempotent:
            return self._pool.take(request.address)
        return None


def _deadline(timeout: dt.timedelta) -> float:
    return asyncio.get_running_loop().time() + timeout.total_seconds()


async def _not_sent(
    request: ClientRequest, cause: Exception | str
) -> ClientFailure:
    await close_body(request.body)
    return ClientFailure(
        sent=False, detail=f'not sent to {_where(request)}: {cause!r}'
    )


def _no_response(
    request: ClientRequest, cause: Exception | str
) -> ClientFailure:
    return ClientFailure(
        sent=True, detail=f'no response from {_where(request)}: {cause!r}'
    )


def _where(request: ClientRequest) -> str:
    address = request.address
    return f'{address.ip}:{address.port}{request.target}'
