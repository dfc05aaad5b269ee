"""What an entry shows to operators."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from bergamotdoor.admin.registry_views import RegistryViews
from bergamotdoor.admin.views import (
    MemberView,
    TrainerView,
    UpstreamState,
    UpstreamView,
)
from bergamotdoor.entry.group import EntryGroupTask
from bergamotdoor.entry.pool import LinkPool
from bergamotdoor.entry.steps import StepOwner
from bergamotdoor.entry.steps_records import StepRecords, Versioned
from bergamotdoor.entry.trainers import TrainerApi
from bergamotdoor.membership.lease_terms import LEASE_KIND, decode_record
from bergamotdoor.store.protocols import StoreFailure
from bergamotdoor.types import TrainerId, UpstreamId

if TYPE_CHECKING:
    from bergamotdoor.entry._dispatch_keeper import LinkKeeper
    from bergamotdoor.entry.steps_tools import StepView
    from bergamotdoor.entry.trainers_accounts import TrainerView as Account
    from bergamotdoor.settings.document import Service, Trainer, Upstream
    from bergamotdoor.types import EntryId


class ViewSources(msgspec.Struct, frozen=True, kw_only=True):
    """Where the views come from.

    ``registries`` holds what every process shows; the rest are the parts
    of an entry. ``records`` reads who owns a trainer's steps and how far
    it is, since any entry may be the one.
    """

    registries: RegistryViews
    group: EntryGroupTask
    pool: LinkPool
    steps: StepOwner
    trainers: TrainerApi
    records: StepRecords
    leaving: Callable[[], frozenset[UpstreamId]]


class EntryViews:
    """Implements ``StateViews``.

    Parameters
    ----------
    sources
        The parts of this entry.
    """

    def __init__(self, sources: ViewSources) -> None:
        self._sources = sources
        self.configuration = sources.registries.configuration
        self.state = sources.registries.state
        self.metrics = sources.registries.metrics

    def members(self) -> tuple[MemberView, ...]:
        """Return every entry known, this one among them."""
        return tuple(
            MemberView(
                entry=record.belief.entry,
                address=record.belief.address,
                zone=record.belief.zone,
                state=record.belief.state,
                generation=record.belief.generation,
            )
            for record in self._sources.group.members()
        )

    def upstreams(self) -> tuple[UpstreamView, ...]:
        """Return every upstream of the inventory."""
        leaving = self._sources.leaving()
        return tuple(
            _upstream_view(
                service,
                upstream,
                self._sources.pool.keeper(upstream.id),
                leaving=upstream.id in leaving,
            )
            for service in self._services()
            for upstream in service.upstreams
        )

    async def trainers(self) -> tuple[TrainerView, ...]:
        """Return every trainer.

        Idle time and staleness are what this entry saw; owner and
        acknowledged step come from the store, where it answers.
        """
        current = self.configuration()
        trainers = current.document.inventory.trainers if current else ()
        accounts = {
            view.trainer: view
            for view in self._sources.trainers.trainer_views()
        }
        newest = self._newest_steps()
        return tuple(
            [
                await self._trainer_view(
                    trainer, accounts.get(trainer.id), newest.get(trainer.id)
                )
                for trainer in trainers
            ]
        )

    def _services(self) -> tuple[Service, ...]:
        current = self.configuration()
        return current.document.inventory.services if current else ()

    def _newest_steps(self) -> dict[TrainerId, StepView]:
        return {
            owned.trainer: max(owned.steps, key=lambda view: view.step)
            for owned in self._sources.steps.dump()
            if owned.steps
        }

    async def _trainer_view(
        self, trainer: Trainer, account: Account | None, step: StepView | None
    ) -> TrainerView:
        view = TrainerView(
            trainer=trainer.id,
            service=trainer.service,
            owner=await self._owner(trainer.id),
            acknowledged_step=await self._acknowledged(trainer.id),
        )
        if step is not None:
            view = msgspec.structs.replace(
                view,
                step=step.step,
                samples_total=step.samples,
                samples_done=step.samples - step.unfinished,
            )
        if account is None:
            return view
        return msgspec.structs.replace(
            view,
            idle_ms=account.idle_ms,
            staleness_versions=account.last_staleness,
        )

    async def _owner(self, trainer: TrainerId) -> EntryId | None:
        store = self._sources.records.store
        stored = await store.read(LEASE_KIND, f'trainer.{trainer}')
        if isinstance(stored, StoreFailure):
            return None
        lease = decode_record(stored.body)
        return lease.holder.entry if lease and not lease.released else None

    async def _acknowledged(self, trainer: TrainerId) -> int | None:
        progress = await self._sources.records.progress(trainer)
        if isinstance(progress, Versioned) and progress.record is not None:
            return progress.record.step
        return None


def _upstream_view(
    service: Service,
    upstream: Upstream,
    keeper: LinkKeeper | None,
    *,
    leaving: bool,
) -> UpstreamView:
    view = UpstreamView(
        upstream=upstream.id,
        service=service.id,
        zone=upstream.zone,
        state=_state(keeper, leaving=leaving),
    )
    if keeper is None or keeper.link is None:
        return view
    report = keeper.load.report
    return msgspec.structs.replace(
        view,
        running=report.running,
        queued=report.queued,
        limit=report.limit,
        weight_version=report.weight_version,
        generation=keeper.link.peer_generation,
    )


def _state(keeper: LinkKeeper | None, *, leaving: bool) -> UpstreamState:
    if keeper is None:
        return UpstreamState.LEAVING if leaving else UpstreamState.UNLINKED
    if leaving or keeper.goodbye or keeper.load.report.leaving:
        return UpstreamState.LEAVING
    if keeper.link is None:
        return UpstreamState.SILENT
    if not keeper.load.report.usable:
        return UpstreamState.UNUSABLE
    return UpstreamState.SERVING
