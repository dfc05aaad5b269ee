"""Upstreams that end under requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

    from lab.upstreams import Upstream

#: How long an upstream is away, unless a run says otherwise.
_DOWN_S: Final = 2


class Crashes:
    """Requests under which an upstream ends, with all that it runs."""

    def __init__(self) -> None:
        self.targets: set[str] = set()
        self.bodies: set[bytes] = set()
        #: How often it ended, and how long it is away each time.
        self.count = 0
        self.down_s: float = _DOWN_S
        #: Called when it ends, and once it has started again.
        self.ended: Callable[[], None] | None = None
        self.started_again: Callable[[], None] | None = None
        self._ending: asyncio.Task[None] | None = None

    def matches(self, target: str, body: bytes) -> bool:
        """Return whether the upstream ends under a request."""
        return target in self.targets or body in self.bodies

    def begin(self, upstream: Upstream) -> None:
        """Have the upstream end: nobody is told, and nobody listens."""
        if self._ending is not None and not self._ending.done():
            # Under another request at the same moment.
            return
        self.count += 1
        if self.ended is not None:
            self.ended()
        self._ending = asyncio.create_task(self._run(upstream))

    async def _run(self, upstream: Upstream) -> None:
        await upstream.restart(self.down_s)
        if self.started_again is not None:
            self.started_again()
