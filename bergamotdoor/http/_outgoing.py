"""Writing of responses to a connection."""

from __future__ import annotations

import contextlib
import functools
import logging
from email.utils import format_datetime
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import h11

from bergamotdoor import utils
from bergamotdoor.http._bodies import close_body, pieces_of
from bergamotdoor.http._refusal import response_to
from bergamotdoor.http.headers import encoded, end_to_end
from bergamotdoor.http.messages import HttpResponse, read_all

if TYPE_CHECKING:
    import datetime as dt
    from collections.abc import AsyncIterator

    from bergamotdoor.clock import Clock
    from bergamotdoor.http._stream import Stream
    from bergamotdoor.http.messages import Headers
    from bergamotdoor.settings.process import HttpLimits

_logger = logging.getLogger('bergamotdoor.http')

#: The largest body of unknown length that is collected for an HTTP/1.0 caller.
_MAX_HTTP10_BODY_BYTES: Final = 8_388_608

#: How many encoded reason phrases the cache holds.
_MAX_CACHED_PHRASES: Final = 64

_CONTENT_LENGTH: Final = 'content-length'
_BODILESS_STATUSES: Final = frozenset(
    (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
)


class ResponseWriter:
    """Writer of the responses on one connection.

    Parameters
    ----------
    stream
        Connection to the caller.
    machine
        State machine of the connection in h11, shared with the request
        reader.
    limits
        ``body_timeout_ms`` bounds how long the caller may take to read a
        piece.
    clock
        Source of the time in the ``date`` header.
    """

    def __init__(
        self,
        stream: Stream,
        machine: h11.Connection,
        limits: HttpLimits,
        clock: Clock,
    ) -> None:
        self._stream = stream
        self._machine = machine
        self._timeout = utils.from_ms(limits.body_timeout_ms)
        self._clock = clock

    async def write(
        self, response: HttpResponse, method: str, closing: bool
    ) -> None:
        """Write a complete response.

        Its body is closed in any case, also after an error.

        Parameters
        ----------
        response
            Response to write. If its head violates HTTP, a response with
            status 500 is written instead.
        method
            Method of the request; a response to HEAD has no body.
        closing
            Whether to send ``connection: close``.

        Raises
        ------
        TimeoutError
            If the caller doesn't read for the body timeout.
        Exception
            Any error that a streamed body raised. The response is then
            incomplete, and the connection must be reset.
        """
        try:
            await self._write(response, method, closing)
        finally:
            await close_body(response.body)

    async def _write(
        self, response: HttpResponse, method: str, closing: bool
    ) -> None:
        if self._needs_length(response, method):
            response.body = await _collect_body(response.body)
        try:
            head = self._build_head(response, method, closing)
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            _logger.exception('http: response head violates HTTP; sending 500')
            await self._write(response_to(error), method, closing)
            return
        if _has_no_body(response, method):
            await self._write_bytes(head, b'')
        elif isinstance(response.body, bytes):
            await self._write_bytes(head, response.body)
        else:
            await self._write_stream(head, response.body)

    def _needs_length(self, response: HttpResponse, method: str) -> bool:
        # In HTTP/1.0 only the close of the connection marks the end of a
        # body without a declared length. A crash of this process would look
        # the same to the caller, so such a body is collected first.
        return (
            self._machine.their_http_version == b'1.0'
            and not isinstance(response.body, bytes)
            and not _has_no_body(response, method)
            and not response.headers.first(_CONTENT_LENGTH)
        )

    def _build_head(
        self, response: HttpResponse, method: str, closing: bool
    ) -> h11.Response:
        headers = _framed_headers(response, method)
        if not headers.first('date'):
            now = self._clock.now().replace(microsecond=0)
            headers = headers.plus(('date', _format_date(now)))
        if closing:
            headers = headers.plus(('connection', 'close'))
        return h11.Response(
            status_code=response.status,
            headers=encoded(headers),
            reason=_reason_phrase(response.status),
        )

    async def _write_bytes(self, head: h11.Response, body: bytes) -> None:
        output = self._machine.send(head)
        for piece in pieces_of(body):
            output += self._machine.send(h11.Data(data=piece))
            await self._stream.send(output, self._timeout)
            output = b''
        output += self._machine.send(h11.EndOfMessage())
        await self._stream.send(output, self._timeout)

    async def _write_stream(
        self, head: h11.Response, body: AsyncIterator[bytes]
    ) -> None:
        await self._stream.send(self._machine.send(head), self._timeout)
        async for chunk in body:
            for piece in pieces_of(chunk):
                output = self._machine.send(h11.Data(data=piece))
                await self._stream.send(output, self._timeout)
        end = self._machine.send(h11.EndOfMessage())
        await self._stream.send(end, self._timeout)


async def _collect_body(body: bytes | AsyncIterator[bytes]) -> bytes:
    if isinstance(body, bytes):
        return body
    try:
        return await read_all(body, _MAX_HTTP10_BODY_BYTES)
    finally:
        await close_body(body)


def _has_no_body(response: HttpResponse, method: str) -> bool:
    return method == 'HEAD' or response.status in _BODILESS_STATUSES


def _framed_headers(response: HttpResponse, method: str) -> Headers:
    headers = end_to_end(response.headers)
    if response.status == HTTPStatus.NO_CONTENT:
        return headers.without((_CONTENT_LENGTH,))
    if not isinstance(response.body, bytes):
        return headers
    if _has_no_body(response, method) and not response.body:
        return headers
    return headers.without((_CONTENT_LENGTH,)).plus(
        (_CONTENT_LENGTH, str(len(response.body)))
    )


@functools.lru_cache(maxsize=1)
def _format_date(now: dt.datetime) -> str:
    return format_datetime(now, usegmt=True)


@functools.lru_cache(maxsize=_MAX_CACHED_PHRASES)
def _reason_phrase(status: int) -> bytes:
    with contextlib.suppress(ValueError):
        return HTTPStatus(status).phrase.encode()
    return b''
