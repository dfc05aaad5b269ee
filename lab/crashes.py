"""Crashes of upstreams, each caused by a request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

#: How long a crashed upstream is down, unless a test or fault sets another
#: time.
_DEFAULT_DOWNTIME_S: Final = 2


class Restartable(Protocol):
    """Upstream that can crash."""

    async def restart(self, down_s: float) -> None:
        """Stop at once, and start again after `down_s` seconds."""


class Crashes:
    """Requests that crash an upstream, which ends all its other requests."""

    def __init__(self) -> None:
        self.targets: set[str] = set()
        self.bodies: set[bytes] = set()
        #: How often the upstream has crashed, and how long it is down each
        #: time.
        self.count = 0
        self.down_s: float = _DEFAULT_DOWNTIME_S
        #: Called when the upstream crashes, and once it has restarted.
        self.ended: Callable[[], None] | None = None
        self.started_again: Callable[[], None] | None = None
        self._restart_task: asyncio.Task[None] | None = None

    def matches(self, target: str, body: bytes) -> bool:
        """Return whether a request crashes the upstream."""
        return target in self.targets or body in self.bodies

    def begin(self, upstream: Restartable) -> None:
        """Crash the upstream: it notifies nobody and stops listening."""
        if self._restart_task is not None and not self._restart_task.done():
            # Another request has just crashed it.
            return
        self.count += 1
        if self.ended is not None:
            self.ended()
        self._restart_task = asyncio.create_task(self._restart(upstream))

    async def _restart(self, upstream: Restartable) -> None:
        await upstream.restart(self.down_s)
        if self.started_again is not None:
            self.started_again()
