"""Reports to the operator that a storage VM may be removed.

These VMs hold no data that must be preserved, so an evacuation has nothing
to move and is complete at once. The agent on each VM reports only its own.
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
    import datetime as dt

    from bergamotdoor.objects.client import ObjectClient
    from bergamotdoor.stored import Change, Listing, StoredObject

#: The delay before a failed write of the status is retried.
_RETRY_DELAY_S = 0.5

_log = logging.getLogger('bergamotdoor.agent')


class EvacuationAgent:
    """Completes the evacuations of its own VM that the operator requests.

    Parameters
    ----------
    store
        The store to which the operator writes evacuations.
    node
        The name of this VM; evacuations of other VMs are ignored.
    """

    def __init__(self, store: ObjectClient, node: str) -> None:
        self._store = store
        self._node = node
        self._reader = ObjectReader(_log, 'agent')
        self._open_evacuations: set[str] = set()
        self._has_open_evacuations = asyncio.Event()

    def reset(self, listing: Listing) -> None:
        """Process a listing of all evacuations."""
        for stored in listing.objects:
            self._add_if_open(stored)

    def apply(self, changes: tuple[Change, ...]) -> None:
        """Process added and changed evacuations."""
        for change in changes:
            if not change.removed:
                self._add_if_open(change.stored)

    def interrupted(self, failed_at: dt.timedelta) -> None:
        """Keep the open evacuations while the store is unreachable."""

    async def run(self) -> None:
        """Complete evacuations until cancelled."""
        while True:
            await self._has_open_evacuations.wait()
            self._has_open_evacuations.clear()
            while self._open_evacuations:
                await self._complete(min(self._open_evacuations))

    def _add_if_open(self, stored: StoredObject) -> None:
        # An unreadable status counts as not completed, and is overwritten.
        completed = self._reader.read(stored, is_completed)
        if stored.name == self._node and not completed:
            self._open_evacuations.add(stored.name)
            self._has_open_evacuations.set()

    async def _complete(self, node: str) -> None:
        outcome = await self._store.put_status(
            EVACUATION_KIND, node, completed_status()
        )
        if isinstance(outcome, Outcome) and outcome is not Outcome.ABSENT:
            await asyncio.sleep(_RETRY_DELAY_S)
            return
        _log.info('agent: %s may be removed', node)
        self._open_evacuations.discard(node)
