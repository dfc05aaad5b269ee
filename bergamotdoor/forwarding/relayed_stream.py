"""Passes an answer on as it comes, and goes on with it elsewhere."""

from __future__ import annotations

import contextlib
import logging
from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec

from bergamotdoor.fleet.choice import fastest
from bergamotdoor.fleet.quarantine import CALL_STRIKES
from bergamotdoor.forwarding.call_request import call_request
from bergamotdoor.forwarding.upstream_end import note_end, strikes_of
from bergamotdoor.http import close_body
from bergamotdoor.http.messages import BodyBrokenError, ClientResponse
from bergamotdoor.jobs.event_stream import EventReader
from bergamotdoor.platform import headers as names

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator

    from bergamotdoor.entry.context import Context
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.forwarding.call import Call
    from bergamotdoor.jobs import GeneratedEvent

_log = logging.getLogger('bergamotdoor.gateway')


async def relayed_stream(
    context: Context, call: Call, upstream: Upstream, response: ClientResponse
) -> AsyncIterator[bytes]:
    """Yield an answer's pieces; whole events where it may be resumed.

    Raises
    ------
    BodyBrokenError
        The answer broke off and cannot go on. The caller's connection
        must be cut, or a part would be taken for the whole.
    """
    if call.route.resumable:
        pieces = _ResumedStream(context, call, upstream, response).events()
    else:
        pieces = _pieces(context, call, upstream, response)
    # Closed with this one, so that an upstream stops when its caller leaves.
    async with contextlib.aclosing(pieces) as relayed:
        async for piece in relayed:
            yield piece
    context.quarantine.completed(call.fingerprint)


async def _pieces(
    context: Context, call: Call, upstream: Upstream, response: ClientResponse
) -> AsyncGenerator[bytes, None]:
    """Yield an answer that can't go on elsewhere."""
    before = strikes_of(context, call)
    try:
        async for piece in response.body:
            yield piece
    except BodyBrokenError:
        await note_end(context, upstream, call.fingerprint, before)
        raise


class _ResumedStream:
    """One stream over all upstreams that generate a part of it.

    An upstream may break off within an event, so only whole events are
    passed on, and the next upstream begins behind the last of them.
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
        self._asked = [upstream]
        self._before = strikes_of(context, call)
        self._last = call.headers.first(names.LAST_EVENT_ID)

    async def events(self) -> AsyncGenerator[bytes, None]:
        """Yield whole events to the end of the stream."""
        whole = False
        while not whole:
            try:
                async for event in _events_of(self._response):
                    self._last = str(event.number)
                    yield event.raw
            except (BodyBrokenError, ValueError) as error:
                await self._go_on(error)
            else:
                whole = True

    async def _go_on(self, error: Exception) -> None:
        await close_body(self._response.body)
        await self._note_end()
        found = await self._next_response(error)
        _log.info(
            'gateway: call %s goes on at %s behind event %s: %s',
            self._call.request_id,
            self._asked[-1].upstream,
            self._last,
            error,
        )
        self._response = found

    async def _note_end(self) -> None:
        fingerprint = self._call.fingerprint
        await note_end(
            self._context, self._asked[-1], fingerprint, self._before
        )
        self._before = strikes_of(self._context, self._call)

    def _rests(self) -> bool:
        now = self._context.clock.elapsed()
        fingerprint = self._call.fingerprint
        return bool(
            self._context.quarantine.rest(fingerprint, CALL_STRIKES, now)
        )

    async def _next_response(self, error: Exception) -> ClientResponse:
        while len(self._asked) < self._call.route.max_attempts:
            upstream = None if self._rests() else self._choose()
            if upstream is None:
                break
            self._asked.append(upstream)
            response = await self._ask(upstream)
            if response is not None:
                return response
        raise BodyBrokenError(f'the stream cannot go on: {error}')

    async def _ask(self, upstream: Upstream) -> ClientResponse | None:
        """Return what an upstream goes on with, if it does."""
        left = self._call.rules.deadline - self._context.clock.elapsed()
        response = await self._context.client.send(
            call_request(self._behind_last(), upstream, left)
        )
        if not isinstance(response, ClientResponse):
            if response.sent:
                await self._note_end()
            return None
        if response.status == HTTPStatus.OK:
            return response
        await close_body(response.body)
        return None

    def _choose(self) -> Upstream | None:
        asked = {upstream.upstream for upstream in self._asked}
        service = self._asked[0].service
        candidates = [
            upstream
            for upstream in self._context.fleet.of_service(service)
            if upstream.upstream not in asked
        ]
        return fastest(
            candidates,
            self._context.loads,
            self._context.settings.zone,
            self._context.clock.elapsed(),
        )

    def _behind_last(self) -> Call:
        headers = self._call.headers.without((names.LAST_EVENT_ID,))
        if self._last:
            headers = headers.plus((names.LAST_EVENT_ID, self._last))
        return msgspec.structs.replace(self._call, headers=headers)


async def _events_of(
    response: ClientResponse,
) -> AsyncIterator[GeneratedEvent]:
    reader = EventReader(names.WEIGHT_VERSION)
    async for piece in response.body:
        for event in reader.feed(piece):
            yield event
    reader.check_end()
