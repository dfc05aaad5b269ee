"""The jobs that one entry at a time does for all: steps and rollouts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bergamotdoor.entry.hints import OwnerHints
from bergamotdoor.entry.lease_keeper import LeaseKeeper
from bergamotdoor.entry.rollouts import RolloutOwner
from bergamotdoor.entry.steps import StepOwner
from bergamotdoor.entry.steps_board import BatchBoard
from bergamotdoor.entry.steps_context import EntryContext
from bergamotdoor.membership.lease_terms import Holder

if TYPE_CHECKING:
    import random

    from bergamotdoor.clock import Clock
    from bergamotdoor.entry.fabric import EntryFabric
    from bergamotdoor.store.protocols import ObjectStore
    from bergamotdoor.types import EntryId


class EntryJobs:
    """Leases, and the owners of steps and rollouts that need them.

    Parameters
    ----------
    entry
        This entry.
    fabric
        Reaches engines and other entries.
    store
        Holds leases, steps and batches.
    clock, chance
        Time and chance for all parts.
    """

    def __init__(
        self,
        entry: EntryId,
        fabric: EntryFabric,
        store: ObjectStore,
        clock: Clock,
        chance: random.Random,
    ) -> None:
        holder = Holder(entry, fabric.incarnation)
        self.board = BatchBoard()
        self.leases = LeaseKeeper(store, holder, clock, chance)
        context = EntryContext(
            entry=entry,
            configuration=fabric.configuration,
            leases=self.leases,
            group=fabric.group,
            clock=clock,
            rng=chance,
        )
        self.steps = StepOwner(store, fabric.dispatcher, self.board, context)
        self.rollouts = RolloutOwner(store, fabric.dispatcher, context)
        self.hints = OwnerHints(
            fabric.group, fabric.configuration, self.steps, self.rollouts
        )

    async def start(self) -> None:
        """Begin to claim jobs."""
        await self.leases.start()
        await self.steps.start()
        await self.rollouts.start()

    async def stop(self) -> None:
        """Give the jobs up, then the leases, so that others take over."""
        await self._stop_owners()
        await self.leases.stop()

    async def abort(self) -> None:
        """End with no lease released, as a crash would."""
        # First, or the owners would have their leases released.
        await self.leases.abort()
        await self._stop_owners()

    async def _stop_owners(self) -> None:
        await self.steps.stop()
        await self.rollouts.stop()
