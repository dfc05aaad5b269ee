"""Exchange of one request and its response on a connection to an upstream."""

from __future__ import annotations

import asyncio
import contextlib
import datetime as dt
import math
import weakref
from typing import TYPE_CHECKING, Final, TypeAlias

import h11

from bergamotdoor.http._bodies import close_body, pieces_of
from bergamotdoor.http._body_parser import BodyParser
from bergamotdoor.http._client_heads import check_end, idle_limit
from bergamotdoor.http._stream import READ_BYTES
from bergamotdoor.http.headers import decoded, end_to_end
from bergamotdoor.http.messages import (
    BodyBrokenError,
    ClientRequest,
    ClientResponse,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from bergamotdoor.http._stream import Stream

#: Callback that receives a reusable connection, and the time for which the
#: upstream keeps it open while idle (``None`` if it did not say).
Release: TypeAlias = 'Callable[[Stream, dt.timedelta | None], None]'
#: An event that h11 parsed, or its request for more input.
Received = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]

_MAX_HEAD_BYTES: Final = 65536
#: How many informational heads may come before the head of the response.
_MAX_INFORMATIONAL_HEADS: Final = 16


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
        #: Loop time at which the whole body must have been read.
        self._ends_at_s = _loop_time_after(request.total_timeout)
        self._stream = stream
        self._request = request
        self._release: Release | None = release
        self._idle_limit: dt.timedelta | None = None
        self._machine = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self._body_sender: asyncio.Task[None] | None = None
        self._body = BodyParser(self._machine)
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
        head_by_s = _loop_time_after(self._request.timeout)
        event = await self._next_event(head_by_s)
        informational_count = 0
        while isinstance(event, h11.InformationalResponse):
            informational_count += 1
            if informational_count > _MAX_INFORMATIONAL_HEADS:
                raise h11.RemoteProtocolError('too many informational heads')
            event = await self._next_event(head_by_s)
        if not isinstance(event, h11.Response):
            raise h11.RemoteProtocolError('closed before a response')
        headers = decoded(event.headers)
        if not self._request.close_ends_body:
            check_end(self._request.method, event.status_code, headers)
        self._idle_limit = idle_limit(headers)
        # The body of a short response has often arrived together with the
        # head. Its connection is then released at once, even if the caller
        # never reads the body.
        with contextlib.suppress(h11.RemoteProtocolError):
            self._body.parse_slice()
        self._release_if_complete()
        body = ResponseBody(self)
        if not self._body.is_complete:
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
            body, sent no data of it for the timeout of the request, or did
            not end it within the total timeout.
        """
        if not self._body.unread_bytes and not self._body.is_complete:
            try:
                await self._receive_piece()
            except h11.RemoteProtocolError as error:
                raise BodyBrokenError(f'response body: {error}') from error
            except TimeoutError as error:
                raise BodyBrokenError(self._late_text()) from error
        return self._body.take() or None

    def abort(self) -> None:
        """Reset the connection, and stop sending, unless it was released."""
        if self._release is not None:
            self._release = None
            if self._body_sender is not None:
                self._body_sender.cancel()
            self._stream.abort()

    async def _receive_piece(self) -> None:
        """Receive data of the body or its end, and parse what has arrived.

        Data that arrived before an error is delivered first. The error is
        raised again by the next call.
        """
        now_s = asyncio.get_running_loop().time()
        self._body.add(await self._next_event(self._piece_by_s(now_s)))
        with contextlib.suppress(h11.RemoteProtocolError):
            while (
                self._body.unread_bytes < READ_BYTES
                and self._body.parse_slice()
            ):
                await asyncio.sleep(0)
        self._release_if_complete()

    def _late_text(self) -> str:
        if asyncio.get_running_loop().time() < self._ends_at_s:
            timeout = self._request.timeout
            return f'response body: nothing came for {timeout}'
        total = self._request.total_timeout
        return f'response body: not whole after {total}'

    def _piece_by_s(self, now_s: float) -> float:
        """Return the loop time by which data must come."""
        return min(
            now_s + self._request.timeout.total_seconds(), self._ends_at_s
        )

    def _release_if_complete(self) -> None:
        if self._body.is_complete:
            self._release_or_abort()

    def _release_or_abort(self) -> None:
        unread_input, _ = self._machine.trailing_data
        states = set(self._machine.states.values())
        release = self._release
        if states != {h11.DONE} or unread_input or release is None:
            self.abort()
            return
        self._release = None
        release(self._stream, self._idle_limit)

    async def _next_event(self, until_s: float) -> Received:
        """Return the next event; it must arrive whole by a loop time.

        Failure: an upstream sends a byte now and then, and never the end of
        what it began. Symptom: each byte extends a timeout for single reads.
        """
        event: Received = self._machine.next_event()
        while event is h11.NEED_DATA:
            left_s = until_s - asyncio.get_running_loop().time()
            if left_s <= 0:
                raise TimeoutError
            piece = await self._stream.read(dt.timedelta(seconds=left_s))
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


def _loop_time_after(timeout: dt.timedelta | None) -> float:
    """Return the loop time after a timeout; infinite if there is none."""
    if timeout is None:
        return math.inf
    return asyncio.get_running_loop().time() + timeout.total_seconds()


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
