"""Relaying of responses while they arrive, resumed at another upstream."""

from __future__ import annotations

import contextlib
import logging
from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec

from bergamotdoor.fleet.choice import select_upstream
from bergamotdoor.fleet.quarantine import CALL_STRIKE_LIMIT
from bergamotdoor.forwarding.call_request import call_request
from bergamotdoor.forwarding.counted import CountedStream
from bergamotdoor.forwarding.stream_events import read_events
from bergamotdoor.forwarding.upstream_end import ObservedRun, record_break
from bergamotdoor.http import close_body
from bergamotdoor.http.messages import BodyBrokenError, ClientResponse
from bergamotdoor.platform import headers as names

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator

    from bergamotdoor.entry.context import Context
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.forwarding.call import Call

_log = logging.getLogger('bergamotdoor.gateway')


def relayed_stream(
    context: Context, call: Call, upstream: Upstream, response: ClientResponse
) -> AsyncIterator[bytes]:
    """Return the body of a response, which is passed on while it arrives.

    A stream that may be resumed is passed on in complete events. The stream
    counts as a call in flight from now on.

    Parameters
    ----------
    context
        Services of the process.
    call
        The call that the response belongs to.
    upstream
        The upstream that responded.
    response
        Its response, with an unread body.

    Raises
    ------
    BodyBrokenError
        If the response broke off and can't be resumed. The caller's
        connection must be cut then, so that the caller does not mistake the
        incomplete response for a complete one.
    """
    counted = CountedStream(context, upstream)
    if call.route.resumable:
        stream = _ResumableStream(context, call, upstream, response)
        pieces = stream.events(counted)
    else:
        pieces = _relay_unresumable(context, call, upstream, response, counted)
    body = _relay(context, call, pieces)
    counted.close_with(body)
    return body


async def _relay(
    context: Context, call: Call, pieces: AsyncGenerator[bytes, None]
) -> AsyncIterator[bytes]:
    # Closing this generator closes the pieces too, so that the upstream stops
    # when the caller disconnects.
    async with contextlib.aclosing(pieces) as relayed:
        async for piece in relayed:
            yield piece
    context.quarantine.clear_strikes(call.fingerprint)


async def _relay_unresumable(
    context: Context,
    call: Call,
    upstream: Upstream,
    response: ClientResponse,
    counted: CountedStream,
) -> AsyncGenerator[bytes, None]:
    """Yield the pieces of a response that no other upstream can resume."""
    run = ObservedRun.begin(context, upstream, call.fingerprint)
    try:
        with contextlib.closing(counted):
            async for piece in response.body:
                yield piece
    except BodyBrokenError:
        await record_break(context, run)
        raise


class _ResumableStream:
    """A stream that is resumed at another upstream when it breaks off.

    A stream may break off within an event, so only complete events are passed
    on, and the next upstream begins after the last of them.
    """

    def __init__(
        self,
        context: Context,
        call: Call,
        upstream: Upstream,
        response: ClientResponse,
    ) -> None:
        self._context = context
        self._call = call
        self._response = response
        self._upstreams = [upstream]
        self._run = ObservedRun.begin(context, upstream, call.fingerprint)
        self._last_event_id = call.headers.first(names.LAST_EVENT_ID)
        #: Why the present response broke off; ``None`` if it did not.
        self._error: Exception | None = None

    async def events(
        self, counted: CountedStream
    ) -> AsyncGenerator[bytes, None]:
        """Yield complete events up to the end of the stream.

        Parameters
        ----------
        counted
            The count of the stream at the first upstream.
        """
        is_complete = False
        while not is_complete:
            with contextlib.closing(counted):
                async for event in self._events_until_break():
                    yield event
            if self._error is None:
                is_complete = True
            else:
                await self._resume(self._error)
                counted = CountedStream(self._context, self._upstreams[-1])

    async def _events_until_break(self) -> AsyncIterator[bytes]:
        """Yield the complete events of the present response."""
        self._error = None
        try:
            async for event in read_events(self._response):
                self._last_event_id = str(event.number)
                yield event.raw
        except (BodyBrokenError, ValueError) as error:
            self._error = error

    async def _resume(self, error: Exception) -> None:
        """Resume the stream at another upstream after an error."""
        await close_body(self._response.body)
        await record_break(self._context, self._run)
        response = await self._next_response(error)
        _log.info(
            'gateway: call %s resumed at %s after event %s: %s',
            self._call.request_id,
            self._upstreams[-1].upstream,
            self._last_event_id,
            error,
        )
        self._response = response

    def _is_quarantined(self) -> bool:
        now = self._context.clock.elapsed()
        fingerprint = self._call.fingerprint
        return bool(
            self._context.quarantine.remaining_time(
                fingerprint, CALL_STRIKE_LIMIT, now
            )
        )

    async def _next_response(self, error: Exception) -> ClientResponse:
        # Upstreams that broke before the stream began count as well.
        allowed = self._call.route.max_attempts - self._call.possible_runs
        while len(self._upstreams) < allowed:
            upstream = (
                None if self._is_quarantined() else self._choose_upstream()
            )
            if upstream is None:
                break
            self._upstreams.append(upstream)
            response = await self._send(upstream)
            if response is not None:
                return response
        raise BodyBrokenError(f'the stream cannot be resumed: {error}')

    async def _send(self, upstream: Upstream) -> ClientResponse | None:
        """Return an upstream's response with the rest of the stream.

        ``None`` if the upstream does not resume the stream.
        """
        self._run = ObservedRun.begin(
            self._context, upstream, self._call.fingerprint
        )
        time_left = self._call.rules.deadline - self._run.sent_at
        response = await self._context.client.send(
            call_request(self._remaining_call(), upstream, time_left)
        )
        if not isinstance(response, ClientResponse):
            if response.sent:
                await record_break(self._context, self._run)
            return None
        if response.status == HTTPStatus.OK:
            return response
        await close_body(response.body)
        return None

    def _choose_upstream(self) -> Upstream | None:
        used = {upstream.upstream for upstream in self._upstreams}
        service = self._upstreams[0].service
        candidates = [
            upstream
            for upstream in self._context.fleet.of_service(service)
            if upstream.upstream not in used
        ]
        # The limit gives way if all are full: without a next upstream, the
        # caller would lose the rest of a stream that has begun.
        limits = self._context.queueing.limits
        now = self._context.clock.elapsed()
        return select_upstream(
            limits.with_room(candidates, now) or candidates,
            self._context.loads,
            self._context.settings.zone,
            now,
        )

    def _remaining_call(self) -> Call:
        """Return the call for the events after the last one passed on."""
        headers = self._call.headers.without((names.LAST_EVENT_ID,))
        if self._last_event_id:
            headers = headers.plus((names.LAST_EVENT_ID, self._last_event_id))
        return msgspec.structs.replace(self._call, headers=headers)
