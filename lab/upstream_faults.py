"""Faults of engines and plain services, and of the links to them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from lab.proxy import break_way
from lab.spans import span_s
from lab.upstreams import EVENT_S, UpstreamMode

if TYPE_CHECKING:
    import random

    from lab.deployment import Deployment
    from lab.proxy import Proxy
    from lab.upstreams import Upstream

_MAX_SLOWDOWN: Final = 4
#: Without the mode for items that can never run, which is a fault of the item
#: and not of the engine.
_DRAWN_MODES: Final = tuple(
    mode for mode in UpstreamMode if mode is not UpstreamMode.IMPOSSIBLE
)


class UpstreamFaults:
    """Faults of the upstreams that run requests."""

    def __init__(self, deployment: Deployment, rng: random.Random) -> None:
        self._deployment = deployment
        self._rng = rng

    async def break_way(self) -> None:
        """Break the link of all clients to an upstream."""
        await break_way(self._choose_proxy(), self._rng)

    async def reset(self) -> None:
        """Reset the connections to an upstream."""
        self._choose_proxy().reset()

    async def change_mode(self) -> None:
        """Have an upstream reject requests, fail, break or hang."""
        upstream = self._choose_upstream()
        upstream.mode = self._rng.choice(_DRAWN_MODES)
        await asyncio.sleep(span_s(self._rng))
        upstream.mode = UpstreamMode.GOOD

    async def replace(self) -> None:
        """Replace an upstream by another incarnation at its address."""
        self._deployment.replace(self._choose_upstream())

    async def restart(self) -> None:
        """Restart an upstream under the same name."""
        await self._choose_upstream().restart(span_s(self._rng))

    async def slow_down(self) -> None:
        """Slow an engine down for a while."""
        engine = self._rng.choice(self._deployment.engines)
        engine.event_s = EVENT_S * self._rng.randint(2, _MAX_SLOWDOWN)
        await asyncio.sleep(span_s(self._rng))
        engine.event_s = EVENT_S

    async def delay_order(self) -> None:
        """Delay the next order of an engine."""
        self._rng.choice(self._deployment.engines).late_orders += 1

    def _choose_proxy(self) -> Proxy:
        names = [upstream.name for upstream in self._deployment.upstreams]
        return self._rng.choice(self._deployment.ways_between({''}, names))

    def _choose_upstream(self) -> Upstream:
        return self._rng.choice(self._deployment.upstreams)
