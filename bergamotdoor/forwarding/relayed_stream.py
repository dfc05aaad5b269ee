"""Passes an answer on as it comes, and goes on with it elsewhere."""

from __future__ import annotations

import logging
from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec

from bergamotdoor.fleet.choice import fastest
from bergamotdoor.forwarding.call_request import call_request
from bergamotdoor.http import close_body
from bergamotdoor.http.messages import BodyBrokenError, ClientResponse
from bergamotdoor.platform import headers as names
from bergamotdoor.platform.events import EventReader

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

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
    if not call.route.resumable:
        async for piece in response.body:
            yield piece
        return
    stream = _ResumedStream(context, call, upstream, response)
    async for event in stream.events():
        yield event


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
        self._last = call.headers.first(names.LAST_EVENT_ID)

    async def events(self) -> AsyncIterator[bytes]:
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
        found = await self._next_response(error)
        _log.info(
            'gateway: call %s goes on at %s behind event %s: %s',
            self._call.request_id,
            self._asked[-1].upstream,
            self._last,
            error,
        )
        self._response = found

    async def _next_response(self, error: Exception) -> ClientResponse:
        while len(self._asked) < self._call.route.max_attempts:
            upstream = self._choose()
            left = self._call.rules.deadline - self._context.clock.elapsed()
            if upstream is None:
                break
            self._asked.append(upstream)
            response = await self._context.client.send(
                call_request(self._behind_last(), upstream, left)
            )
            if isinstance(response, ClientResponse):
                if response.status == HTTPStatus.OK:
                    return response
                await close_body(response.body)
        raise BodyBrokenError(f'the stream cannot go on: {error}')

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
    reader = EventReader()
    async for piece in response.body:
        for event in reader.feed(piece):
            yield event
    reader.check_end()
