"""Reads the events of an engine's stream."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from bergamotdoor.jobs.transcript import GeneratedEvent
from bergamotdoor.types import WeightVersion

_END: Final = b'\n\n'

if TYPE_CHECKING:
    from collections.abc import Iterator


class EventReader:
    """Cuts a stream into events; keeps the begin of the next one.

    An event ends with an empty line. Whatever follows the last one was
    broken off and is no event.

    Parameters
    ----------
    version_field
        The line that names the version which generates from there on.
    """

    def __init__(self, version_field: str) -> None:
        self._version_field = version_field
        self._rest = b''

    def feed(self, piece: bytes) -> Iterator[GeneratedEvent]:
        """Return the events that are whole with this piece.

        Raises
        ------
        ValueError
            If a number is none, or the text is not UTF-8.
        """
        blocks = (self._rest + piece).split(_END)
        self._rest = blocks.pop()
        return (_event(block, self._version_field) for block in blocks if block)

    def check_end(self) -> None:
        """Check that the stream did not end within an event.

        Raises
        ------
        ValueError
            If it did.
        """
        if self._rest:
            raise ValueError(f'{len(self._rest)} bytes of an event at the end')


def _event(block: bytes, version_field: str) -> GeneratedEvent:
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
    return GeneratedEvent(number, '\n'.join(lines), version, block + _END)
