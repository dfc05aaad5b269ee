"""Events of a response that is a stream of events."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bergamotdoor.jobs.event_stream import EventReader
from bergamotdoor.platform import headers as names
from bergamotdoor.tasks import in_slices

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from bergamotdoor.http.messages import ClientResponse
    from bergamotdoor.jobs import GeneratedEvent


async def read_events(
    response: ClientResponse,
) -> AsyncIterator[GeneratedEvent]:
    """Yield the complete events of a response.

    Raises
    ------
    BodyBrokenError
        If the response is incomplete.
    ValueError
        If an event is malformed or too long, or the stream ends within one.
    """
    reader = EventReader(names.WEIGHT_VERSION)
    async for piece in response.body:
        async for event in in_slices(reader.feed(piece)):
            yield event
    reader.check_end()
