"""Faults of the store and of the links to it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

from lab.contact import STORE
from lab.proxy import break_way
from lab.spans import span_s
from lab.store import StoreMode

if TYPE_CHECKING:
    import random

    from lab.deployment import Deployment

_MAX_LOST_RESPONSES: Final = 4
_MAX_DELAYED_WRITES: Final = 2
_FOREIGN_NAMES: Final = ('a-foreign', 'foreign')
_REGISTRATIONS: Final = 'servers'
_WATCHED_KINDS: Final = (
    'config',
    _REGISTRATIONS,
    'versions',
    'retirements',
    'entries',
    'jobs',
)
_FOREIGN_SPECS: Final[tuple[Any, ...]] = (
    'AAECAwQ=',
    {},
    [1],
    None,
    {'version': 'x', 'service': 'desk', 'state': 'resting', 'address': 5},
)


class StoreFaults:
    """Faults of the store, on which all processes depend."""

    def __init__(self, deployment: Deployment, rng: random.Random) -> None:
        self._deployment = deployment
        self._store = deployment.store
        self._rng = rng

    async def break_way(self) -> None:
        """Break the link of one process to the store."""
        names = [process.name for process in self._deployment.processes]
        proxies = self._deployment.ways_between(names, {STORE})
        await break_way(self._rng.choice(proxies), self._rng)

    async def send_away(self) -> None:
        """Have the store reject all calls, or respond to none."""
        self._store.mode = self._rng.choice((StoreMode.BUSY, StoreMode.SILENT))
        await asyncio.sleep(span_s(self._rng))
        self._store.mode = StoreMode.UP

    async def lose_answers(self) -> None:
        """Lose the responses of some writes, and delay some other writes."""
        self._store.write_faults.unanswered += self._rng.randint(
            0, _MAX_LOST_RESPONSES
        )
        self._store.write_faults.delayed += self._rng.randint(
            0, _MAX_DELAYED_WRITES
        )

    async def forget(self) -> None:
        """Drop the history of changes and cut the watches."""
        self._store.drop_history()

    async def deafen(self) -> None:
        """Hide changes from watches, then drop the history and cut them."""
        self._store.deaf = True
        await asyncio.sleep(span_s(self._rng))
        self._store.deaf = False
        self._store.drop_history()

    async def put_foreign(self) -> None:
        """Write an object that the product can't read, of a watched kind.

        An upstream's registration is overwritten at times; the upstream
        writes it again when it registers next.
        """
        kind = self._rng.choice(_WATCHED_KINDS)
        name = self._rng.choice(_FOREIGN_NAMES)
        if kind == _REGISTRATIONS:
            upstream = self._rng.choice(self._deployment.upstreams)
            name = self._rng.choice((name, upstream.name))
        self._store.put(kind, name, self._rng.choice(_FOREIGN_SPECS))

    async def put_manifest(self) -> None:
        """Write the next manifest to the store."""
        self._deployment.manifests.put()
