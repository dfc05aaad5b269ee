"""Parsing of bodies in slices, between which other tasks run."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import h11

if TYPE_CHECKING:
    Received = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]

#: How many events are parsed in a row, which takes a millisecond.
_EVENTS_PER_SLICE: Final = 32
#: From so many chunks on, a body must have some bytes in each, in the mean.
#: Chunks without end cost a second of processor time until then. The shortest
#: event of a stream has 17 bytes.
_MANY_CHUNKS: Final = 65_536
_MIN_MEAN_BYTES: Final = 8


class BodyParser:
    """Body that the other side of a connection sends, as far as it is parsed.

    Failure: a body comes in chunks of one byte. Symptom: one read from the
    socket holds thousands of them; parsing them in one go holds the event
    loop for seconds, and each piece takes more memory than its data. So the
    data of all chunks that have arrived is one piece, and parsing is done in
    slices. If there is no end of such chunks, the body is given up.

    Parameters
    ----------
    machine
        State machine of the connection in h11.
    """

    def __init__(self, machine: h11.Connection) -> None:
        self._machine = machine
        self._unread = bytearray()
        self._chunk_count = 0
        self._data_bytes = 0
        #: Whether the end of the body was parsed. After invalid input h11 is
        #: in another state than that of a body as well.
        self.is_complete = False

    @property
    def unread_bytes(self) -> int:
        """How much data was parsed and not taken yet."""
        return len(self._unread)

    def add(self, event: Received) -> None:
        """Add an event of the body.

        Raises
        ------
        h11.RemoteProtocolError
            If the event can't be part of a body, or the body has too many
            small chunks.
        """
        if isinstance(event, h11.Data):
            self._unread += event.data
            self._count_chunk(len(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self.is_complete = True
        else:
            raise h11.RemoteProtocolError(f'{event} in the body')

    def parse_slice(self) -> bool:
        """Parse some of the input that has arrived.

        Returns
        -------
        bool
            Whether there may be more of it.

        Raises
        ------
        h11.RemoteProtocolError
            If the input violates HTTP.
        """
        for _ in range(_EVENTS_PER_SLICE):
            if self.is_complete:
                return False
            event: Received = self._machine.next_event()
            if event is h11.NEED_DATA:
                return False
            self.add(event)
        return True

    def take(self) -> bytes:
        """Return the data that was parsed and not taken yet."""
        taken = bytes(self._unread)
        self._unread.clear()
        return taken

    def _count_chunk(self, size_bytes: int) -> None:
        self._chunk_count += 1
        self._data_bytes += size_bytes
        if self._chunk_count < _MANY_CHUNKS:
            return
        if self._data_bytes < self._chunk_count * _MIN_MEAN_BYTES:
            raise h11.RemoteProtocolError(
                f'{self._chunk_count} chunks with {self._data_bytes} bytes'
            )
