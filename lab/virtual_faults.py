"""Faults of a deployment in virtual time, in series and overlapping."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from lab.contact import STORE
from lab.store import StoreMode
from lab.ways import Freezer

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from bergamotdoor.gateway.daemon import GatewayDaemon
    from lab.judged import Judged
    from lab.leaving import Leaving
    from lab.ways import StoreWay

#: Pauses between two faults.
_PAUSES_S: Final = (0.2, 1, 3)
#: How long each kind of fault lasts.
_CUT_S: Final = (0.1, 6)
_FROZEN_S: Final = (1, 8)
_AWAY_S: Final = (0.1, 5)
#: An entry freezes so long before the way of another one is back.
_EARLIER_S: Final = 0.2
#: Share of the other entries that freeze as a way is back.
_FROZEN_SHARE: Final = 0.8
#: When something changes, counted from the return of a way.
_CHANGES_S: Final = (-0.15, 0, 0.3, 1)


class VirtualFaults:
    """Cuts, freezes and changes of a deployment.

    Parameters
    ----------
    deployment
        The deployment.
    ways
        The ways of the entries to the store.
    entries
        The entries by name.
    leaving
        The services that leave.
    rng
        The random source for faults and times.
    """

    def __init__(
        self,
        deployment: Judged,
        ways: Mapping[str, StoreWay],
        entries: Mapping[str, GatewayDaemon],
        leaving: Leaving,
        rng: random.Random,
    ) -> None:
        self._deployment = deployment
        self._ways = ways
        self._freezers = {
            name: Freezer(entry) for name, entry in entries.items()
        }
        self._leaving = leaving
        self._rng = rng
        #: Entries whose way is cut, and entries that are frozen.
        self._cut: set[str] = set()
        self._frozen: set[str] = set()

    async def run(self, seconds: float) -> None:
        """Apply faults for some seconds; return once all are over."""
        actions = (
            *(self._cut_way,) * 3,
            self._freeze_any,
            self._send_store_away,
            self._drop_history,
            self._put_manifest,
            self._leaving.leave,
            *(self._leaving.leave_between_pages,) * 2,
        )
        loop = asyncio.get_running_loop()
        until_s = loop.time() + seconds
        async with asyncio.TaskGroup() as group:
            while loop.time() < until_s:
                group.create_task(self._rng.choice(actions)())
                await asyncio.sleep(self._rng.choice(_PAUSES_S))

    async def _cut_way(self) -> None:
        """Cut an entry off from the store; freeze others as it is back."""
        name, *others = self._rng.sample(tuple(self._ways), len(self._ways))
        if name in self._cut:
            return
        self._cut.add(name)
        span = self._deployment.contact.begin(name)
        self._ways[name].silence()
        await asyncio.sleep(self._rng.uniform(*_CUT_S))
        async with asyncio.TaskGroup() as group:
            self._begin_around_return(group, others)
            await asyncio.sleep(_EARLIER_S)
            self._ways[name].heal()
            span.end()
            self._cut.discard(name)

    def _begin_around_return(
        self, group: asyncio.TaskGroup, others: list[str]
    ) -> None:
        """Freeze others right before a way is back, and change something."""
        for other in others:
            if self._rng.random() < _FROZEN_SHARE:
                group.create_task(self._freeze(other))
        group.create_task(self._change_later())

    async def _change_later(self) -> None:
        """Write a manifest and have a service leave, around a return."""
        await asyncio.sleep(_EARLIER_S + self._rng.choice(_CHANGES_S))
        self._deployment.manifests.put()
        await self._leaving.leave()

    async def _freeze_any(self) -> None:
        await self._freeze(self._rng.choice(tuple(self._freezers)))

    async def _freeze(self, name: str) -> None:
        if name in self._frozen:
            return
        self._frozen.add(name)
        span = self._deployment.contact.begin(name)
        self._freezers[name].freeze()
        await asyncio.sleep(self._rng.uniform(*_FROZEN_S))
        self._freezers[name].thaw()
        span.end()
        self._frozen.discard(name)

    async def _send_store_away(self) -> None:
        """Have the store reject all calls, or respond to none."""
        span = self._deployment.contact.begin(STORE)
        store = self._deployment.store
        store.mode = self._rng.choice((StoreMode.BUSY, StoreMode.SILENT))
        await asyncio.sleep(self._rng.uniform(*_AWAY_S))
        store.mode = StoreMode.UP
        span.end()

    async def _drop_history(self) -> None:
        self._deployment.contact.begin(STORE).end()
        self._deployment.store.drop_history()

    async def _put_manifest(self) -> None:
        self._deployment.manifests.put()
