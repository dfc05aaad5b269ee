"""Idle connections to upstreams, kept for the next request."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import datetime as dt
    from collections.abc import Iterable

    from bergamotdoor.clock import Clock
    from bergamotdoor.http._stream import Stream
    from bergamotdoor.settings.document import Address


class _Idle(NamedTuple):
    stream: Stream
    until: dt.timedelta


class Pool:
    """Keeps idle connections, newest first out, for a bounded time.

    Parameters
    ----------
    clock
        Measures how long a connection has been idle.
    idle_timeout
        How long a connection is kept.
    max_idle_per_address
        How many are kept; the oldest goes first.
    """

    def __init__(
        self,
        clock: Clock,
        idle_timeout: dt.timedelta,
        max_idle_per_address: int,
    ) -> None:
        self._clock = clock
        self._idle_timeout = idle_timeout
        self._most = max_idle_per_address
        self._idle: dict[Address, deque[_Idle]] = {}
        self._sweeper: asyncio.Task[None] | None = None
        self._closed = False

    def __len__(self) -> int:
        """Return how many idle connections are kept."""
        return sum(len(kept) for kept in self._idle.values())

    def take(self, address: Address) -> Stream | None:
        """Return an idle connection that is open as far as is known."""
        kept = self._idle.get(address, deque())
        while kept:
            idle = kept.pop()
            if self._usable(idle):
                return idle.stream
            idle.stream.close()
        return None

    def give(
        self,
        address: Address,
        stream: Stream,
        idle_limit: dt.timedelta | None = None,
    ) -> None:
        """Keep a connection whose last response was read to its end.

        Parameters
        ----------
        address
            The other side.
        stream
            The connection.
        idle_limit
            How long the other side keeps it, where it told.
        """
        if self._closed or _spoilt(stream):
            stream.close()
            return
        kept = self._idle.setdefault(address, deque())
        until = self._clock.elapsed() + (idle_limit or self._idle_timeout)
        kept.append(_Idle(stream, until))
        if len(kept) > self._most:
            kept.popleft().stream.close()
        if self._sweeper is None:
            self._sweeper = asyncio.create_task(self._sweep())

    def distrust(self, address: Address) -> None:
        """Close the idle connections to an upstream that went silent.

        What made one connection silent often did so to all. Each of them
        would cost another request its whole timeout.
        """
        _close_all(self._idle.pop(address, deque()))

    async def close(self) -> None:
        """Close every kept connection, and those given from now on."""
        self._closed = True
        if self._sweeper is not None:
            self._sweeper.cancel()
            await asyncio.gather(self._sweeper, return_exceptions=True)
        for kept in self._idle.values():
            _close_all(kept)
        self._idle.clear()

    async def _sweep(self) -> None:
        # A connection that the upstream closed would hold its socket
        # until the next request to the same address, maybe for ever.
        while self._idle:
            await self._clock.sleep(self._idle_timeout / 2)
            self._drop_unusable()
        self._sweeper = None

    def _drop_unusable(self) -> None:
        for address, kept in tuple(self._idle.items()):
            for idle in tuple(kept):
                if not self._usable(idle):
                    kept.remove(idle)
                    idle.stream.close()
            if not kept:
                self._idle.pop(address)

    def _usable(self, idle: _Idle) -> bool:
        return self._clock.elapsed() < idle.until and not _spoilt(idle.stream)


def _spoilt(stream: Stream) -> bool:
    # Bytes that came after the end of a response would be taken for the
    # response to the next request, which may be another caller's.
    return stream.gone or stream.has_input


def _close_all(unwanted: Iterable[_Idle]) -> None:
    for idle in unwanted:
        idle.stream.close()
