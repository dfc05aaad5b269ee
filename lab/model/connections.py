"""Kept connections of one process, as its HTTP client keeps them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from bergamotdoor.http.client import IDLE_TIMEOUT

if TYPE_CHECKING:
    from bergamotdoor.http.messages import ClientRequest, HttpResponse
    from bergamotdoor.settings.document import Address


class _IdleConnection(NamedTuple):
    """Idle connection to one process."""

    server: object
    #: Loop time at which it is closed.
    expires_at_s: float


class KeptConnections:
    """Idle connections by address, each to one process that serves there.

    Parameters
    ----------
    is_enabled
        Whether connections are kept at all.
    """

    def __init__(self, *, is_enabled: bool) -> None:
        self._is_enabled = is_enabled
        self._idle: dict[Address, list[_IdleConnection]] = {}

    def take(self, request: ClientRequest, server: object) -> bool:
        """Return whether a call is sent on a kept connection.

        Parameters
        ----------
        request
            The call.
        server
            The process that serves at its address now.
        """
        if not request.idempotent:
            return False
        now_s = asyncio.get_running_loop().time()
        idle = self._idle.get(request.address, [])
        while idle:
            connection = idle.pop()
            is_open = connection.server is server
            if is_open and now_s < connection.expires_at_s:
                return True
        return False

    def give(
        self, request: ClientRequest, server: object, response: HttpResponse
    ) -> None:
        """Keep the connection of a call, unless its response is a stream."""
        if self._is_enabled and isinstance(response.body, bytes):
            now_s = asyncio.get_running_loop().time()
            expires_at_s = now_s + IDLE_TIMEOUT.total_seconds()
            self._idle.setdefault(request.address, []).append(
                _IdleConnection(server, expires_at_s)
            )

    def distrust(self, address: Address) -> None:
        """Close all idle connections to an address."""
        self._idle.pop(address, None)
