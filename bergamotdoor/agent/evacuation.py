"""Tells the operator that a storage VM may be taken away.

Nothing that must last lies on these VMs, so one that is to be emptied is
empty at once. Each answers for itself.
"""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from bergamotdoor.objects.reader import ObjectReader
from bergamotdoor.platform.evacuation import completed_status, is_completed
from bergamotdoor.platform.headers import EVACUATION_KIND
from bergamotdoor.stored import Outcome

if TYPE_CHECKING:
    from bergamotdoor.objects.client import ObjectClient
    from bergamotdoor.stored import Change, Listing, StoredObject

#: Between two tries to write that it may be taken away.
_RETRY_S = 0.5

_log = logging.getLogger('bergamotdoor.agent')


class EvacuationAgent:
    """Completes each evacuation that the operator asks for.

    Parameters
    ----------
    store
        Where evacuations are asked for.
    node
        This VM; evacuations of others are theirs to complete.
    """

    def __init__(self, store: ObjectClient, node: str) -> None:
        self._store = store
        self._node = node
        self._reader = ObjectReader(_log, 'agent')
        self._open: set[str] = set()
        self._wake = asyncio.Event()

    def reset(self, listing: Listing) -> None:
        """Take all evacuations."""
        for stored in listing.objects:
            self._take(stored)

    def apply(self, changes: tuple[Change, ...]) -> None:
        """Take new evacuations."""
        for change in changes:
            if not change.removed:
                self._take(change.stored)

    def interrupted(self) -> None:
        """Keep what is known."""

    async def run(self) -> None:
        """Complete evacuations until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._open:
                await self._complete(min(self._open))

    def _take(self, stored: StoredObject) -> None:
        # A status that cannot be read is replaced by one that can.
        done = self._reader.read(stored, is_completed)
        if stored.name == self._node and not done:
            self._open.add(stored.name)
            self._wake.set()

    async def _complete(self, node: str) -> None:
        outcome = await self._store.put_status(
            EVACUATION_KIND, node, completed_status()
        )
        if isinstance(outcome, Outcome) and outcome is not Outcome.ABSENT:
            await asyncio.sleep(_RETRY_S)
            return
        _log.info('agent: %s may be taken away', node)
        self._open.discard(node)
