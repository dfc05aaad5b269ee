"""Faults of engines and plain services, and of the ways to them."""

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

_SLOWEST: Final = 4
#: An item that can never be done is no fault of an engine.
_MODES: Final = tuple(
    mode for mode in UpstreamMode if mode is not UpstreamMode.IMPOSSIBLE
)


class UpstreamFaults:
    """Breaks what runs the work."""

    def __init__(self, deployment: Deployment, rng: random.Random) -> None:
        self._deployment = deployment
        self._rng = rng

    async def break_way(self) -> None:
        """Break everyone's way to an upstream."""
        await break_way(self._pick_way(), self._rng)

    async def reset(self) -> None:
        """Reset the connections to an upstream."""
        self._pick_way().reset()

    async def change_mode(self) -> None:
        """Have an upstream refuse, fail, break or hang."""
        upstream = self._pick()
        upstream.mode = self._rng.choice(_MODES)
        await asyncio.sleep(span_s(self._rng))
        upstream.mode = UpstreamMode.GOOD

    async def replace(self) -> None:
        """Have another incarnation at an upstream's address."""
        self._deployment.replace(self._pick())

    async def restart(self) -> None:
        """Have an upstream start again under its name."""
        await self._pick().restart(span_s(self._rng))

    async def slow_down(self) -> None:
        """Make an engine slow."""
        engine = self._rng.choice(self._deployment.engines)
        engine.event_s = EVENT_S * self._rng.randint(2, _SLOWEST)
        await asyncio.sleep(span_s(self._rng))
        engine.event_s = EVENT_S

    async def delay_order(self) -> None:
        """Have an engine's next order arrive late."""
        self._rng.choice(self._deployment.engines).late_orders += 1

    def _pick_way(self) -> Proxy:
        names = [one.name for one in self._deployment.upstreams]
        return self._rng.choice(self._deployment.ways_between({''}, names))

    def _pick(self) -> Upstream:
        return self._rng.choice(self._deployment.upstreams)
