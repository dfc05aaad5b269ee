"""One caller's connection to the server."""

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

#: The most of an unread body that is skipped to keep a connection.
_DRAIN_BYTES: Final = 65536

#: How long a caller may take to read the last response before the close.
_LINGER: Final = dt.timedelta(seconds=1)

_logger = logging.getLogger('bergamotdoor.http')


class ServerConnection:
    """Reads requests, runs the handler and writes its responses.

    One task runs it and owns the socket. While a handler works, the close
    of the other side cancels that task, so that nothing goes on for a
    caller that is gone.
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
        self._ending = False
        self._last = False
        self._task: asyncio.Task[None] | None = None
        #: Whether a request is in progress.
        self.busy = False
        #: How many requests it has taken.
        self.requests = 0

    async def run(self) -> None:
        """Serve until either side ends the connection."""
        self._task = asyncio.current_task()
        self._stream.watch(self._other_side_gone)
        await self._bounded(self._serve())

    async def refuse(self, response: HttpResponse) -> None:
        """Write one last response and close."""
        await self._bounded(self._end_with(response))

    def end(self) -> None:
        """Take no request after those that have begun to arrive."""
        self._ending = True

    def end_after_next(self) -> None:
        """Answer one more request, or the one in progress, and close."""
        self._last = True

    def close_if_idle(self) -> None:
        """Close unless a request is in progress or has begun to arrive."""
        if self._reader.idle and not self._stream.has_input:
            self._stream.close()

    async def _bounded(self, work: Coroutine[None, None, None]) -> None:
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

    async def _serve(self) -> None:
        while self._may_read():
            try:
                request = await self._reader.next_request()
            except RefusedError as error:
                await self._end_with(
                    refusal(error.status, str(error), Verdict.NOT_RUN)
                )
                return
            if request is None or not await self._exchange(request):
                return

    def _may_read(self) -> bool:
        ending = self._ending or self._stream.gone
        return not ending or self._has_unread()

    def _has_unread(self) -> bool:
        pending, _ = self._machine.trailing_data
        return bool(pending) or self._stream.has_input

    async def _exchange(self, request: HttpRequest) -> bool:
        self.busy = True
        self.requests += 1
        response = await self._answer(request)
        self._ending = self._ending or self._last
        # A caller that still waits for leave to send its body may or may
        # not send it after this response. The next bytes could be either
        # body or request, so the connection ends here.
        unsure = self._machine.they_are_waiting_for_100_continue
        try:
            await self._writer.write(
                response, request.method, closing=self._ending or unsure
            )
        except Exception as error:
            _logger.info('http: response cut off: %r', error)
            self._stream.abort()
            return False
        self.busy = False
        return await self._may_go_on(unsure)

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        try:
            return await self._handler(request)
        except asyncio.CancelledError as error:
            if self._task is None or self._task.cancelling():
                raise
            # A task of the handler's own was cancelled, not this one.
            return response_to(error)
        except (RequestBrokenError, RequestTooLargeError) as error:
            self._ending = True
            return response_to(error)
        except Exception as error:
            _logger.exception('http: handler failed: %s', request.target)
            return response_to(error)

    async def _may_go_on(self, unsure: bool) -> bool:
        if not unsure and not self._ending and await self._skip_rest():
            self._machine.start_next_cycle()
            return True
        if self._has_unread() or not self._reader.whole:
            await self._stream.linger(_LINGER)
        return False

    async def _skip_rest(self) -> bool:
        whole = await self._reader.drain(_DRAIN_BYTES, _LINGER)
        return whole and self._machine.our_state is h11.DONE

    async def _end_with(self, response: HttpResponse) -> None:
        await self._writer.write(response, 'GET', closing=True)
        await self._stream.linger(_LINGER)

    def _other_side_gone(self) -> None:
        if self.busy and self._task is not None:
            self._task.cancel()
