"""Exchange of one request and its response on a connection to an upstream."""

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

#: Callback that receives a reusable connection, and the time for which the
#: upstream keeps it open while idle (``None`` if it did not say).
Release: TypeAlias = 'Callable[[Stream, dt.timedelta | None], None]'
#: An event that h11 parsed, or its request for more input.
Received = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]

_MAX_HEAD_BYTES: Final = 65536


class Call:
    """Exchange of one request and its response on one connection.

    The connection is released for reuse only after the complete response
    has been received and the complete request has been written. A later
    request therefore never receives the rest of this response.

    Parameters
    ----------
    stream
        Connection to the upstream, for exclusive use until its release.
    request
        Request to send.
    release
        Callback that is called once with the connection when it may be
        reused. It is not called if the connection is aborted.
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
        self._body_sender: asyncio.Task[None] | None = None
        #: Pieces of the response's body that arrived and were not read yet.
        self._unread_pieces: deque[bytes] = deque()
        #: Whether the end of the response's body has arrived.
        self._is_body_complete = False
        #: Error of the request's body, if its source failed before the end.
        self.sending_error: Exception | None = None

    def write(self, head: h11.Request) -> None:
        """Write the head, and start to send the body.

        A body of at most ``READ_BYTES`` is written together with the head.
        A background task sends a longer or streamed body.
        """
        output = self._machine.send(head)
        body = self._request.body
        if isinstance(body, bytes) and len(body) <= READ_BYTES:
            output += self._machine.send(h11.Data(data=body))
            output += self._machine.send(h11.EndOfMessage())
        else:
            self._body_sender = asyncio.create_task(self._send_body())
        self._stream.write(output)

    async def response(self) -> ClientResponse:
        """Read the response's head, and return it with the body unread.

        Raises
        ------
        h11.RemoteProtocolError
            If the connection ended early, or the response violates HTTP.
        UnclearEndError
            If the end of the body could not be distinguished from a crash
            of the upstream, and the request does not allow for that.
        TimeoutError
            If no bytes arrive for the timeout of the request.
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
        self._handle_buffered_events()
        body = ResponseBody(self)
        if not self._is_body_complete:
            # A response can be discarded before anyone reads or closes it,
            # for example by a timeout that expires at the moment it arrives.
            # Without the finalizer its connection would stay open for ever.
            weakref.finalize(body, self.abort).atexit = False
        return ClientResponse(
            status=event.status_code, headers=end_to_end(headers), body=body
        )

    async def next_piece(self) -> bytes | None:
        """Return the next piece of the body, or ``None`` at its end.

        Raises
        ------
        BodyBrokenError
            If the upstream closed the connection before the end of the
            body, or sent nothing for the timeout of the request.
        """
        if self._unread_pieces:
            return self._unread_pieces.popleft()
        if self._is_body_complete:
            return None
        try:
            self._handle_event(await self._next_event())
        except h11.RemoteProtocolError as error:
            raise BodyBrokenError(f'response body: {error}') from error
        except TimeoutError as error:
            timeout = self._request.timeout
            raise BodyBrokenError(
                f'response body: nothing came for {timeout}'
            ) from error
        return self._unread_pieces.popleft() if self._unread_pieces else None

    def abort(self) -> None:
        """Reset the connection, and stop sending, unless it was released."""
        if self._release is not None:
            self._release = None
            if self._body_sender is not None:
                self._body_sender.cancel()
            self._stream.abort()

    def _handle_buffered_events(self) -> None:
        # The body of a short response has often arrived together with the
        # head. Its connection is then released at once, even if the caller
        # never reads the body.
        with contextlib.suppress(h11.RemoteProtocolError):
            event: Received = self._machine.next_event()
            while event is not h11.NEED_DATA and not self._is_body_complete:
                self._handle_event(event)
                if not self._is_body_complete:
                    event = self._machine.next_event()

    def _handle_event(self, event: Received) -> None:
        if isinstance(event, h11.Data):
            self._unread_pieces.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._is_body_complete = True
            self._release_or_abort()
        else:
            raise h11.RemoteProtocolError(f'{event} in the body')

    def _release_or_abort(self) -> None:
        unread_input, _ = self._machine.trailing_data
        states = set(self._machine.states.values())
        release = self._release
        if states != {h11.DONE} or unread_input or release is None:
            self.abort()
            return
        self._release = None
        release(self._stream, self._idle_limit)

    async def _next_event(self) -> Received:
        event: Received = self._machine.next_event()
        while event is h11.NEED_DATA:
            piece = await self._stream.read(self._request.timeout)
            if not piece and self._stream.broken:
                # h11 cannot distinguish a reset from an orderly close, and
                # an orderly close may end a body without a declared length.
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
            # The upstream stopped reading. It may have sent a response
            # before that, so the response is still read.
            return
        except Exception as error:
            # A reset keeps the upstream from treating the part that was
            # sent as the complete body.
            self.sending_error = error
            self._stream.abort()
        finally:
            await close_body(body)

    async def _send_pieces(self, chunk: bytes) -> None:
        for piece in pieces_of(chunk):
            await self._send(h11.Data(data=piece))

    async def _send(self, event: h11.Event) -> None:
        output = self._machine.send(event) or b''
        await self._stream.send(output, self._request.timeout)


class ResponseBody:
    """Asynchronous iterator over the pieces of a response's body.

    ``aclose`` before the end resets the connection, so that the upstream
    stops its work.

    Parameters
    ----------
    call
        Exchange that the body is read from.
    """

    def __init__(self, call: Call) -> None:
        self._call = call
        self._ended = False

    def __aiter__(self) -> ResponseBody:
        """Return itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next piece.

        Raises
        ------
        BodyBrokenError
            If the body is incomplete.
        """
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
        """Discard the unread rest; reset the connection if still in use."""
        self._ended = True
        self._call.abort()
