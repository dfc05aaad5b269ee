"""Reading of requests from a connection, with checks against the limits."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import h11

from bergamotdoor import utils
from bergamotdoor.http._body_parser import BodyParser
from bergamotdoor.http._checks import checked_head, head_too_large
from bergamotdoor.http._refusal import (
    RefusedError,
    RequestBrokenError,
    RequestTooLargeError,
)
from bergamotdoor.http._stream import READ_BYTES
from bergamotdoor.http.messages import (
    BodyBrokenError,
    BodyTooLargeError,
    HttpRequest,
    read_all,
)
from bergamotdoor.verdict import Verdict

if TYPE_CHECKING:
    import datetime as dt
    from collections.abc import AsyncIterator

    from bergamotdoor.http._stream import Stream
    from bergamotdoor.settings.process import HttpLimits

#: An event that h11 parsed, or its request for more input.
Received = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]

#: States of the caller's side in h11 after the end of a request was read.
_COMPLETE_STATES: Final = frozenset((h11.DONE, h11.MUST_CLOSE, h11.CLOSED))

_CONTINUE_RESPONSE: Final = h11.InformationalResponse(
    status_code=HTTPStatus.CONTINUE, headers=[]
)


class ServerRequest(HttpRequest, kw_only=True):
    """Request whose body errors differ in type from those of an upstream.

    A handler may also read an upstream's response, which raises
    ``BodyTooLargeError`` and ``BodyBrokenError``. Errors of the caller's own
    body are subclasses of these.
    """

    async def read_body(self, limit_bytes: int) -> bytes:
        """Read the complete body.

        A declared length is checked before anything is read.

        Parameters
        ----------
        limit_bytes
            Largest allowed body.

        Raises
        ------
        RequestTooLargeError
            If the body is larger than `limit_bytes`.
        RequestBrokenError
            If the body is incomplete, malformed or too slow. Its verdict is
            ``NOT_RUN``, because the handler did not receive the body.
        """
        declared_bytes = int(self.headers.first('content-length', '0'))
        if declared_bytes > limit_bytes:
            raise RequestTooLargeError(
                f'body of {declared_bytes} bytes, '
                f'expected at most {limit_bytes}'
            )
        try:
            return await read_all(self.body, limit_bytes)
        except BodyTooLargeError as error:
            raise RequestTooLargeError(str(error)) from error
        except RequestBrokenError as error:
            raise RequestBrokenError(
                error.status, str(error), Verdict.NOT_RUN
            ) from error


class RequestReader:
    """Reader of the requests on one connection.

    Parameters
    ----------
    stream
        Connection to the caller.
    machine
        State machine of the connection in h11, shared with the response
        writer.
    limits
        Largest head, and timeouts for a head, for a pause in a body and
        for an idle connection.
    """

    def __init__(
        self, stream: Stream, machine: h11.Connection, limits: HttpLimits
    ) -> None:
        self._stream = stream
        self._machine = machine
        self._limits = limits
        self._body_timeout = utils.from_ms(limits.body_timeout_ms)
        self._idle_timeout = utils.from_ms(limits.idle_timeout_ms)
        self._peer = stream.peer
        #: Whether the reader waits for the first byte of the next request.
        self.idle = False

    @property
    def whole(self) -> bool:
        """Whether the current request has been read to its end."""
        return self._machine.their_state in _COMPLETE_STATES

    async def next_request(self) -> HttpRequest | None:
        """Read the head of the next request.

        Returns
        -------
        HttpRequest or None
            ``None`` if the caller closed the connection, or sent nothing
            for the idle timeout.

        Raises
        ------
        RefusedError
            If the head is malformed, too large or too slow.
        """
        if not await self._wait_for_request():
            return None
        event = await self._read_head()
        if not isinstance(event, h11.Request):
            return None
        head = checked_head(event, self._limits.max_header_bytes)
        return ServerRequest(
            method=head.method,
            target=head.target,
            headers=head.headers,
            body=self._body_pieces(),
            peer=self._peer,
        )

    async def drain(self, limit_bytes: int, timeout: dt.timedelta) -> bool:
        """Read and discard the rest of the current request's body.

        Parameters
        ----------
        limit_bytes
            Largest rest that is read.
        timeout
            Longest time to read.

        Returns
        -------
        bool
            Whether the end of the body was reached. If not, the connection
            can't be used for another request.
        """
        if self.whole:
            return True
        if self._stream.reading:
            return False
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await read_all(self._body_pieces(), limit_bytes)
        except (BodyBrokenError, BodyTooLargeError, TimeoutError):
            return False
        return self.whole

    async def _wait_for_request(self) -> bool:
        pending, _ = self._machine.trailing_data
        if pending:
            return True
        self.idle = True
        try:
            piece = await self._stream.read(self._idle_timeout)
        except TimeoutError:
            return False
        finally:
            self.idle = False
        self._machine.receive_data(piece)
        return bool(piece)

    async def _read_head(self) -> Received:
        try:
            event: Received = self._machine.next_event()
            if event is h11.NEED_DATA:
                event = await self._read_rest_of_head()
        except h11.RemoteProtocolError as error:
            raise self._refusal_of(error) from error
        return event

    async def _read_rest_of_head(self) -> Received:
        timeout = utils.from_ms(self._limits.header_timeout_ms)
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await self._next_event()
        except TimeoutError as error:
            raise RefusedError(
                HTTPStatus.REQUEST_TIMEOUT, f'header not whole after {timeout}'
            ) from error

    async def _next_event(self) -> Received:
        event: Received = self._machine.next_event()
        while event is h11.NEED_DATA:
            if self._machine.they_are_waiting_for_100_continue:
                self._stream.write(self._machine.send(_CONTINUE_RESPONSE))
            self._machine.receive_data(
                await self._stream.read(self._body_timeout)
            )
            event = self._machine.next_event()
        return event

    def _refusal_of(self, error: h11.RemoteProtocolError) -> RefusedError:
        if (
            error.error_status_hint
            == HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        ):
            pending, _ = self._machine.trailing_data
            return head_too_large(pending, self._limits.max_header_bytes)
        return RefusedError(error.error_status_hint, str(error))

    async def _body_pieces(self) -> AsyncIterator[bytes]:
        body = BodyParser(self._machine)
        while not body.is_complete:
            await self._receive_piece(body)
            if body.unread_bytes:
                yield body.take()

    async def _receive_piece(self, body: BodyParser) -> None:
        """Receive data of a body or its end, and parse what has arrived."""
        try:
            body.add(await self._next_event())
            while body.unread_bytes < READ_BYTES and body.parse_slice():
                await asyncio.sleep(0)
        except h11.RemoteProtocolError as error:
            raise RequestBrokenError(
                HTTPStatus.BAD_REQUEST, f'request body: {error}'
            ) from error
        except TimeoutError as error:
            raise RequestBrokenError(
                HTTPStatus.REQUEST_TIMEOUT,
                f'request body: nothing came for {self._body_timeout}',
            ) from error
