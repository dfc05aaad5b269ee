"""Connection of one caller to the server."""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

import h11

from bergamotdoor import utils
from bergamotdoor.http._incoming import RequestReader
from bergamotdoor.http._outgoing import ResponseWriter
from bergamotdoor.http._refusal import (
    RefusedError,
    RequestBrokenError,
    RequestTooLargeError,
    refusal,
    response_to,
)
from bergamotdoor.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from bergamotdoor.clock import Clock
    from bergamotdoor.http._stream import Stream
    from bergamotdoor.http.messages import (
        Handler,
        HttpRequest,
        HttpResponse,
    )
    from bergamotdoor.settings.process import HttpLimits

#: The largest unread rest of a body that is discarded to reuse a connection.
_MAX_DISCARD_BYTES: Final = 65536

#: How long input is discarded: first the rest of an unread body, then, before
#: the close, whatever the caller sends while it reads the last response.
_DISCARD_TIMEOUT: Final = dt.timedelta(seconds=1)

_logger = logging.getLogger('bergamotdoor.http')


class ServerConnection:
    """Connection that reads requests, calls the handler, writes responses.

    One task runs the connection and owns the socket. If the caller closes
    the connection while a request is in progress, that task is cancelled,
    so that no work continues for a caller that can't receive the response.

    Parameters
    ----------
    stream
        Connection to the caller.
    handler
        Handler that is called once for each request.
    limits
        Bounds on sizes and times.
    clock
        Source of the time in the ``date`` header.
    """

    def __init__(
        self,
        stream: Stream,
        handler: Handler,
        limits: HttpLimits,
        clock: Clock,
    ) -> None:
        self._stream = stream
        self._handler = handler
        self._machine = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        self._reader = RequestReader(stream, self._machine, limits)
        self._writer = ResponseWriter(stream, self._machine, limits, clock)
        self._flush_timeout = utils.from_ms(limits.body_timeout_ms)
        self._is_closing = False
        self._is_next_response_last = False
        self._task: asyncio.Task[None] | None = None
        #: Whether a request is in progress.
        self.busy = False
        #: How many requests were passed to the handler.
        self.requests = 0

    async def run(self) -> None:
        """Serve until either side ends the connection."""
        self._task = asyncio.current_task()
        self._stream.watch(self._cancel_request)
        await self._run_and_close(self._serve_requests())

    async def refuse(self, response: HttpResponse) -> None:
        """Write `response` without reading a request, and close."""
        await self._run_and_close(self._write_last_response(response))

    def end(self) -> None:
        """Accept no further requests.

        Requests that have begun to arrive are still answered.
        """
        self._is_closing = True

    def end_after_next(self) -> None:
        """Close after the next response.

        That is the response to the request in progress, if there is one.
        """
        self._is_next_response_last = True

    def close_if_idle(self) -> None:
        """Close unless a request is in progress or has begun to arrive."""
        if self._reader.idle and not self._stream.has_input:
            self._stream.close()

    async def _run_and_close(self, work: Coroutine[None, None, None]) -> None:
        try:
            await work
        except (ConnectionError, TimeoutError):
            self._stream.abort()
        except BaseException:
            self._stream.abort()
            raise
        finally:
            self.busy = False
            await self._stream.finish(self._flush_timeout)

    async def _serve_requests(self) -> None:
        while self._may_read_request():
            try:
                request = await self._reader.next_request()
            except RefusedError as error:
                await self._write_last_response(
                    refusal(error.status, str(error), Verdict.NOT_RUN)
                )
                return
            if request is None or not await self._handle_request(request):
                return

    def _may_read_request(self) -> bool:
        is_closing = self._is_closing or self._stream.gone
        return not is_closing or self._has_unread_input()

    def _has_unread_input(self) -> bool:
        pending, _ = self._machine.trailing_data
        return bool(pending) or self._stream.has_input

    async def _handle_request(self, request: HttpRequest) -> bool:
        self.busy = True
        self.requests += 1
        response = await self._call_handler(request)
        self._is_closing = self._is_closing or self._is_next_response_last
        # A caller that still waits for "100 Continue" may or may not send
        # its body after this response. The next bytes could belong to the
        # body or to a new request, so the connection is closed.
        awaits_continue = self._machine.they_are_waiting_for_100_continue
        try:
            await self._writer.write(
                response,
                request.method,
                closing=self._is_closing or awaits_continue,
            )
        except Exception as error:
            _logger.info('http: response incomplete, resetting: %r', error)
            self._stream.abort()
            return False
        self.busy = False
        return await self._prepare_next_request(awaits_continue)

    async def _call_handler(self, request: HttpRequest) -> HttpResponse:
        try:
            return await self._handler(request)
        except asyncio.CancelledError as error:
            if self._task is None or self._task.cancelling():
                raise
            # A task inside the handler was cancelled, not this task.
            return response_to(error)
        except (RequestBrokenError, RequestTooLargeError) as error:
            self._is_closing = True
            return response_to(error)
        except Exception as error:
            _logger.exception('http: handler failed: %s', request.target)
            return response_to(error)

    async def _prepare_next_request(self, awaits_continue: bool) -> bool:
        if (
            not awaits_continue
            and not self._is_closing
            and await self._discard_body()
        ):
            self._machine.start_next_cycle()
            return True
        if self._has_unread_input() or not self._reader.whole:
            await self._stream.linger(_DISCARD_TIMEOUT)
        return False

    async def _discard_body(self) -> bool:
        is_complete = await self._reader.drain(
            _MAX_DISCARD_BYTES, _DISCARD_TIMEOUT
        )
        return is_complete and self._machine.our_state is h11.DONE

    async def _write_last_response(self, response: HttpResponse) -> None:
        await self._writer.write(response, 'GET', closing=True)
        await self._stream.linger(_DISCARD_TIMEOUT)

    def _cancel_request(self) -> None:
        if self.busy and self._task is not None:
            self._task.cancel()
