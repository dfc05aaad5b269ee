"""Writes a step's manifest, and finds out whose manifest stands."""

from __future__ import annotations

import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor.entry.steps_board import KnownBatch
from bergamotdoor.entry.steps_records import BATCH, Versioned, step_name
from bergamotdoor.samples.delivery import (
    BatchManifest,
    BatchState,
    manifest_of,
    rejection_of,
)
from bergamotdoor.samples.events import (
    CommitDone,
    CommitFailed,
    VersionPublished,
)
from bergamotdoor.samples.parts import pack
from bergamotdoor.store.protocols import StoreFailure, StoreProblem
from bergamotdoor.types import ABSENT, WeightVersion

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.entry.steps_board import BatchBoard
    from bergamotdoor.entry.steps_records import StepRecords
    from bergamotdoor.samples.actions import CommitBatch
    from bergamotdoor.samples.delivery import BatchId
    from bergamotdoor.samples.events import Event
    from bergamotdoor.samples.parts import PackedBatch
    from bergamotdoor.samples.plan import StepPlan

_log: Final = logging.getLogger('bergamotdoor.steps')

_RETRY: Final = dt.timedelta(seconds=1)


class BatchCommitter:
    """Commits one step's batches by conditional update.

    Nothing here trusts that this entry owns the step: a manifest is only
    written over the version that was read, so of two owners one wins.

    Parameters
    ----------
    records, board
        Where batches are written, and where requests find them.
    plan
        The step.
    clock
        Paces retries.
    """

    def __init__(
        self,
        records: StepRecords,
        board: BatchBoard,
        plan: StepPlan,
        clock: Clock,
    ) -> None:
        self._records = records
        self._board = board
        self._plan = plan
        self._clock = clock
        self._version = ABSENT
        self._batch: BatchId | None = None

    async def look(self) -> Versioned[BatchManifest] | StoreFailure:
        """Read the manifest; the next commit is conditional on it."""
        found = await self._records.manifest(
            self._plan.trainer, self._plan.step
        )
        if not isinstance(found, StoreFailure):
            self._version = found.version
        return found

    async def commit(self, action: CommitBatch) -> tuple[Event, ...]:
        """Write a batch: its parts first, so that the manifest is whole.

        Returns
        -------
        tuple
            What to tell the assembly; empty if another owner's manifest
            stands, so that the step must be read anew.
        """
        weights = await self._records.weights(self._plan.service)
        if isinstance(weights, StoreFailure):
            return (CommitFailed(_RETRY),)
        current = WeightVersion(0)
        if weights.record is not None:
            current = weights.record.version
        if current > self._board.version(self._plan.service):
            # Published since: the samples have to be looked at again.
            self._board.learn(self._plan.service, current)
            return VersionPublished(current), CommitFailed(dt.timedelta())
        packed = pack(action.samples)
        manifest = manifest_of(
            self._plan,
            action.attempt,
            action.samples,
            packed,
            self._board.version(self._plan.service),
        )
        if not await self._write_parts(manifest, packed):
            return (CommitFailed(_RETRY),)
        stands = await self._write(manifest)
        if stands is None:
            return (CommitFailed(_RETRY),)
        if not stands:
            return ()
        self._board.post(KnownBatch(manifest, action.samples))
        return (CommitDone(action.attempt),)

    async def reject(self, detail: str) -> None:
        """Write that the step can't be run, as soon as the store takes it.

        A manifest that another owner wrote meanwhile stays as it is.
        """
        manifest = rejection_of(self._plan, detail)
        _log.error('steps: %s rejected: %s', manifest.batch, detail)
        while await self._write(manifest) is None:
            await self._clock.sleep(_RETRY)

    def adopt(self, found: Versioned[BatchManifest]) -> None:
        """Take a manifest read as the one to go on from."""
        self._version = found.version
        if found.record is not None:
            self._batch = found.record.batch

    def is_news(self, found: Versioned[BatchManifest]) -> bool:
        """Return whether a manifest read elsewhere is not known here.

        A read that overtook the answer to our own write is no news.
        """
        if found.record is None or found.version <= self._version:
            return False
        committed = found.record.state is BatchState.COMMITTED
        return not (committed and self.is_ours(found.record))

    def is_ours(self, manifest: BatchManifest) -> bool:
        """Return whether the manifest is of the batch known here."""
        return manifest.batch == self._batch

    async def _write_parts(
        self, manifest: BatchManifest, packed: PackedBatch
    ) -> bool:
        for name, body in zip(manifest.parts, packed.parts, strict=True):
            failure = await self._records.write_part(name, body)
            if failure is not None:
                _log.warning('steps: part %s not written: %s', name, failure)
                return False
        return True

    async def _write(self, manifest: BatchManifest) -> bool | None:
        """Write a manifest; None if it is unclear whether it stands."""
        self._batch = manifest.batch
        expected = self._version
        name = step_name(manifest.trainer, manifest.step)
        written = await self._records.write(BATCH, name, manifest, expected)
        if not isinstance(written, StoreFailure):
            self._version = written.version
            _log.info('steps: %s stands', manifest.batch)
            return True
        if written.problem is StoreProblem.UNAVAILABLE:
            return None
        # Lost the race, or lost the answer: the store knows which.
        found = await self.look()
        if isinstance(found, StoreFailure) or found.version == expected:
            return None
        return found.record is not None and self.is_ours(found.record)
