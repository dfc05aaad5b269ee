"""Faults of the store, and of the ways to it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

from lab.deployment import STORE
from lab.proxy import break_way
from lab.spans import span_s
from lab.store import StoreMode

if TYPE_CHECKING:
    import random

    from lab.deployment import Deployment

_MOST_LOST: Final = 4
_MOST_LATE: Final = 2
_FOREIGN_NAMES: Final = ('a-foreign', 'foreign')
_ENTRIES_OF_UPSTREAMS: Final = 'servers'
_KINDS: Final = (
    'config',
    _ENTRIES_OF_UPSTREAMS,
    'versions',
    'retirements',
    'entries',
    'jobs',
)
_FOREIGN: Final[tuple[Any, ...]] = (
    'AAECAwQ=',
    {},
    [1],
    None,
    {'version': 'x', 'service': 'desk', 'state': 'resting', 'address': 5},
)


class StoreFaults:
    """Breaks what every process depends on."""

    def __init__(self, deployment: Deployment, rng: random.Random) -> None:
        self._deployment = deployment
        self._store = deployment.store
        self._rng = rng

    async def break_way(self) -> None:
        """Break one process's way to the store."""
        names = [one.name for one in self._deployment.processes]
        ways = self._deployment.ways_between(names, {STORE})
        await break_way(self._rng.choice(ways), self._rng)

    async def send_away(self) -> None:
        """Refuse everyone, or answer nobody."""
        self._store.mode = self._rng.choice((StoreMode.BUSY, StoreMode.SILENT))
        await asyncio.sleep(span_s(self._rng))
        self._store.mode = StoreMode.UP

    async def lose_answers(self) -> None:
        """Lose the answers of writes, and do some of them later."""
        self._store.lose_answers += self._rng.randint(0, _MOST_LOST)
        self._store.delay_writes += self._rng.randint(0, _MOST_LATE)

    async def forget(self) -> None:
        """Drop the history and cut the watches."""
        self._store.drop_history()

    async def deafen(self) -> None:
        """Tell watches of nothing, then drop the history and cut them."""
        self._store.deaf = True
        await asyncio.sleep(span_s(self._rng))
        self._store.deaf = False
        self._store.drop_history()

    async def put_foreign(self) -> None:
        """Put what is no object of ours under a kind that is followed.

        An upstream's own entry is overwritten at times; its next one mends
        that.
        """
        kind = self._rng.choice(_KINDS)
        name = self._rng.choice(_FOREIGN_NAMES)
        if kind == _ENTRIES_OF_UPSTREAMS:
            upstream = self._rng.choice(self._deployment.upstreams)
            name = self._rng.choice((name, upstream.name))
        self._store.put(kind, name, self._rng.choice(_FOREIGN))

    async def put_manifest(self) -> None:
        """Put the next manifest in force."""
        self._deployment.put_manifest()
