"""Pool of idle connections to upstreams."""

from __future__ import annotations

import asyncio
import contextvars
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import datetime as dt
    from collections.abc import Iterable

    from bergamotdoor.clock import Clock
    from bergamotdoor.http._stream import Stream
    from bergamotdoor.settings.document import Address


class _IdleConnection(NamedTuple):
    """Idle connection, and the clock's elapsed time at which it expires."""

    stream: Stream
    until: dt.timedelta


class Pool:
    """Pool of idle connections, kept for a bounded time.

    The most recently used connection is reused first.

    Parameters
    ----------
    clock
        Clock that measures how long a connection has been idle.
    idle_timeout
        How long an idle connection is kept if the upstream declares no time.
    max_idle_per_address
        How many idle connections are kept for each address. The oldest is
        closed when there are more.
    """

    def __init__(
        self,
        clock: Clock,
        idle_timeout: dt.timedelta,
        max_idle_per_address: int,
    ) -> None:
        self._clock = clock
        self._idle_timeout = idle_timeout
        self._max_idle_per_address = max_idle_per_address
        self._idle_by_address: dict[Address, deque[_IdleConnection]] = {}
        self._eviction_task: asyncio.Task[None] | None = None
        self._closed = False

    def __len__(self) -> int:
        """Return the number of idle connections in the pool."""
        return sum(
            len(connections) for connections in self._idle_by_address.values()
        )

    def take(self, address: Address) -> Stream | None:
        """Remove an idle connection to `address` and return it.

        Expired and stale connections are closed on the way.

        Returns
        -------
        Stream or None
            ``None`` if the pool has no usable connection. The upstream may
            have closed the returned one without this process knowing yet.
        """
        connections = self._idle_by_address.get(address, deque())
        while connections:
            connection = connections.pop()
            if self._is_usable(connection):
                return connection.stream
            connection.stream.close()
        return None

    def give(
        self,
        address: Address,
        stream: Stream,
        idle_limit: dt.timedelta | None = None,
    ) -> None:
        """Add an idle connection to the pool, or close it if it is stale.

        Parameters
        ----------
        address
            Address of the upstream.
        stream
            Connection on which no response is outstanding.
        idle_limit
            How long the upstream keeps the idle connection; ``None`` if it
            declared no time, which selects the pool's own timeout.
        """
        if self._closed or _is_stale(stream):
            stream.close()
            return
        connections = self._idle_by_address.setdefault(address, deque())
        until = self._clock.elapsed() + (idle_limit or self._idle_timeout)
        connections.append(_IdleConnection(stream, until))
        if len(connections) > self._max_idle_per_address:
            connections.popleft().stream.close()
        if self._eviction_task is None:
            # The task serves all later requests: it inherits no context.
            self._eviction_task = asyncio.create_task(
                self._evict_until_empty(), context=contextvars.Context()
            )

    def distrust(self, address: Address) -> None:
        """Close all idle connections to an upstream that timed out.

        The cause that makes one connection silent often affects all
        connections to the same address. Each of them would cost another
        request its full timeout.
        """
        _close_all(self._idle_by_address.pop(address, deque()))

    async def close(self) -> None:
        """Close all idle connections, and each one that is added later."""
        self._closed = True
        if self._eviction_task is not None:
            self._eviction_task.cancel()
            await asyncio.gather(self._eviction_task, return_exceptions=True)
        for connections in self._idle_by_address.values():
            _close_all(connections)
        self._idle_by_address.clear()

    async def _evict_until_empty(self) -> None:
        # Without the eviction, a connection that the upstream closed would
        # hold its socket until the next request to the same address, which
        # may never be sent.
        while self._idle_by_address:
            await self._clock.sleep(self._idle_timeout / 2)
            self._evict_unusable()
        self._eviction_task = None

    def _evict_unusable(self) -> None:
        for address, connections in tuple(self._idle_by_address.items()):
            for connection in tuple(connections):
                if not self._is_usable(connection):
                    connections.remove(connection)
                    connection.stream.close()
            if not connections:
                self._idle_by_address.pop(address)

    def _is_usable(self, connection: _IdleConnection) -> bool:
        return self._clock.elapsed() < connection.until and not _is_stale(
            connection.stream
        )


def _is_stale(stream: Stream) -> bool:
    # Bytes that arrive after the end of a response would be parsed as the
    # response to the next request, which may belong to another caller.
    return stream.gone or stream.has_input


def _close_all(connections: Iterable[_IdleConnection]) -> None:
    for connection in connections:
        connection.stream.close()
