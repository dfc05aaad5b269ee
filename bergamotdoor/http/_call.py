"""One request and its response on one connection to an upstream."""

from __future__ import annotations

import asyncio
import contextlib
import weakref
from collections import deque
from typing import TYPE_CHECKING, Final, TypeAlias

import h11

from bergamotdoor.http._bodies import close_body, pieces_of
from bergamotdoor.http._client_heads import check_end, idle_limit
from bergamotdoor.http._stream import READ_BYTES
from bergamotdoor.http.headers import decoded, end_to_end
from bergamotdoor.http.messages import (
    BodyBrokenError,
    ClientRequest,
    ClientResponse,
)

if TYPE_CHECKING:
    import datetime as dt
    from collections.abc import Callable

    from bergamotdoor.http._stream import Stream

#: Takes a connection back, and how long the other side keeps it idle.
Release: TypeAlias = 'Callable[[Stream, dt.timedelta | None], None]'
#: What h11 makes of the bytes it was given.
Received = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]

_MAX_HEAD_BYTES: Final = 65536


class Call:
    """Sends a request and reads its response.

    The connection is released only once the response has been read to its
    end and the request was written whole, so a later request can never
    be given the rest of this one's response.

    Parameters
    ----------
    stream
        The connection; nobody else uses it until it is released.
    request
        What to send.
    release
        Takes the connection back when it may be used again.
    """

    def __init__(
        self,
        stream: Stream,
        request: ClientRequest,
        release: Release,
    ) -> None:
        self._stream = stream
        self._request = request
        self._release: Release | None = release
        self._idle_limit: dt.timedelta | None = None
        self._machine = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self._sender: asyncio.Task[None] | None = None
        #: Pieces of the body that came and were not read.
        self._ready: deque[bytes] = deque()
        #: Whether the whole body came.
        self._whole = False
        #: Why the request's body could not be sent whole.
        self.sending_error: Exception | None = None

    def write(self, head: h11.Request) -> None:
        """Write the head; a short body goes with it, others follow."""
        ready = self._machine.send(head)
        body = self._request.body
        if isinstance(body, bytes) and len(body) <= READ_BYTES:
            ready += self._machine.send(h11.Data(data=body))
            ready += self._machine.send(h11.EndOfMessage())
        else:
            self._sender = asyncio.create_task(self._send_body())
        self._stream.write(ready)

    async def response(self) -> ClientResponse:
        """Read the response's head.

        Raises
        ------
        h11.RemoteProtocolError
            If the upstream broke off or broke a rule of HTTP.
        UnclearEndError
            If only the close would mark the end of the body.
        """
        event = await self._next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise h11.RemoteProtocolError('closed before a response')
        headers = decoded(event.headers)
        if not self._request.close_ends_body:
            check_end(self._request.method, event.status_code, headers)
        self._idle_limit = idle_limit(headers)
        self._take_what_came()
        body = ResponseBody(self)
        if not self._whole:
            # A response that is dropped unread, such as by a timeout that
            # ends in the same moment, would keep its connection for ever.
            weakref.finalize(body, self.abort).atexit = False
        return ClientResponse(
            status=event.status_code, headers=end_to_end(headers), body=body
        )

    async def next_piece(self) -> bytes | None:
        """Return the next piece of the body, None at its end.

        Raises
        ------
        BodyBrokenError
            If the upstream closed or stalled before the end.
        """
        if self._ready:
            return self._ready.popleft()
        if self._whole:
            return None
        try:
            self._take(await self._next_event())
        except h11.RemoteProtocolError as error:
            raise BodyBrokenError(f'response body: {error}') from error
        except TimeoutError as error:
            pause = self._request.timeout
            raise BodyBrokenError(
                f'response body: nothing came for {pause}'
            ) from error
        return self._ready.popleft() if self._ready else None

    def abort(self) -> None:
        """Cut the connection unless it was released."""
        if self._release is not None:
            self._release = None
            if self._sender is not None:
                self._sender.cancel()
            self._stream.abort()

    def _take_what_came(self) -> None:
        # A short response is often here already. Its connection is then
        # free at once, whether or not the body is ever read.
        with contextlib.suppress(h11.RemoteProtocolError):
            event: Received = self._machine.next_event()
            while event is not h11.NEED_DATA and not self._whole:
                self._take(event)
                if not self._whole:
                    event = self._machine.next_event()

    def _take(self, event: Received) -> None:
        if isinstance(event, h11.Data):
            self._ready.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._whole = True
            self._finish()
        else:
            raise h11.RemoteProtocolError(f'{event} in the body')

    def _finish(self) -> None:
        unread, _ = self._machine.trailing_data
        states = set(self._machine.states.values())
        release = self._release
        if states != {h11.DONE} or unread or release is None:
            self.abort()
            return
        self._release = None
        release(self._stream, self._idle_limit)

    async def _next_event(self) -> Received:
        event: Received = self._machine.next_event()
        while event is h11.NEED_DATA:
            piece = await self._stream.read(self._request.timeout)
            if not piece and self._stream.broken:
                # To h11 a reset is like an orderly close, which may end a
                # body of no declared length.
                raise h11.RemoteProtocolError('the connection broke')
            self._machine.receive_data(piece)
            event = self._machine.next_event()
        return event

    async def _send_body(self) -> None:
        body = self._request.body
        try:
            if isinstance(body, bytes):
                await self._send_pieces(body)
            else:
                async for chunk in body:
                    await self._send_pieces(chunk)
            await self._send(h11.EndOfMessage())
        except (ConnectionError, TimeoutError):
            # The upstream stopped reading. It may have answered before it
            # did, so the response is still read.
            return
        except Exception as error:
            # The upstream must not take a part for the whole.
            self.sending_error = error
            self._stream.abort()
        finally:
            await close_body(body)

    async def _send_pieces(self, chunk: bytes) -> None:
        for piece in pieces_of(chunk):
            await self._send(h11.Data(data=piece))

    async def _send(self, event: h11.Event) -> None:
        ready = self._machine.send(event) or b''
        await self._stream.send(ready, self._request.timeout)


class ResponseBody:
    """The pieces of a response's body.

    ``aclose`` before the end closes the connection, which tells the
    upstream to stop.
    """

    def __init__(self, call: Call) -> None:
        self._call = call
        self._ended = False

    def __aiter__(self) -> ResponseBody:
        """Return itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next piece; raise BodyBrokenError if cut."""
        if self._ended:
            raise StopAsyncIteration
        try:
            piece = await self._call.next_piece()
        except BaseException:
            await self.aclose()
            raise
        if piece is None:
            self._ended = True
            raise StopAsyncIteration
        return piece

    async def aclose(self) -> None:
        """Give up what has not been read."""
        self._ended = True
        self._call.abort()
