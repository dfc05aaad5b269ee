"""Parser for the event stream of an engine."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from bergamotdoor.jobs.transcript import GeneratedEvent
from bergamotdoor.types import WeightVersion

#: Limit of an event. Without it, a stream that never ends an event would be
#: kept in memory.
_MAX_EVENT_BYTES: Final = 262_144
_EVENT_END: Final = b'\n\n'

if TYPE_CHECKING:
    from collections.abc import Iterator


class EventReader:
    """Incremental parser that splits a stream into events.

    An event ends with an empty line. Bytes after the last empty line belong
    to an event that is not complete; they are kept until the next piece
    arrives. If the stream ends there, they are no event.

    Parameters
    ----------
    version_field
        Name of the event field that holds the weight version which generates
        from this event on.
    """

    def __init__(self, version_field: str) -> None:
        self._version_field = version_field
        self._incomplete_event = b''

    def feed(self, piece: bytes) -> Iterator[GeneratedEvent]:
        """Return the events that this piece of the stream completes.

        Raises
        ------
        ValueError
            If an event number or a weight version is not an integer, the text
            is not UTF-8, or an event is too long.
        """
        blocks = (self._incomplete_event + piece).split(_EVENT_END)
        self._incomplete_event = blocks.pop()
        if len(self._incomplete_event) > _MAX_EVENT_BYTES:
            raise ValueError(
                f'an event is longer than {_MAX_EVENT_BYTES} bytes'
            )
        return (
            _parse_event(block, self._version_field)
            for block in blocks
            if block
        )

    def check_end(self) -> None:
        """Check that the stream did not end within an event.

        Raises
        ------
        ValueError
            If the last event is not complete.
        """
        if self._incomplete_event:
            raise ValueError(
                f'stream ended within an event, '
                f'after {len(self._incomplete_event)} bytes of it'
            )


def _parse_event(block: bytes, version_field: str) -> GeneratedEvent:
    number = -1
    version: WeightVersion | None = None
    lines: list[str] = []
    for line in block.decode().split('\n'):
        name, _, text = line.partition(':')
        text = text.removeprefix(' ')
        if name == 'data':
            lines.append(text)
        elif name == 'id':
            number = int(text)
        elif name == version_field:
            version = WeightVersion(int(text))
    return GeneratedEvent(number, '\n'.join(lines), version, block + _EVENT_END)
