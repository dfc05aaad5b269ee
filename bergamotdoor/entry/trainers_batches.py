"""Finds the batch that may be handed to a trainer now."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.entry.steps_board import KnownBatch, StepKey
from bergamotdoor.entry.steps_records import BATCH, step_name
from bergamotdoor.samples.delivery import (
    BatchManifest,
    BatchState,
    HandOver,
    check_hand_over,
    with_state,
)
from bergamotdoor.store.protocols import StoreFailure, StoreProblem
from bergamotdoor.types import ABSENT, ObjectVersion, WeightVersion

if TYPE_CHECKING:
    from bergamotdoor.entry.interfaces import OrderRunner
    from bergamotdoor.entry.steps_board import BatchBoard
    from bergamotdoor.entry.steps_records import StepRecords, Versioned
    from bergamotdoor.samples.delivery import Progress
    from bergamotdoor.settings.document import Trainer
    from bergamotdoor.types import StepId

_log: Final = logging.getLogger('bergamotdoor.trainers')


class Look(msgspec.Struct, frozen=True):
    """What one look at a step found.

    Parameters
    ----------
    hand_over
        Whether the batch may be handed over.
    batch
        The batch, whole, where it may.
    current
        The version that its staleness counts from.
    version
        Of the manifest; a change is waited for above it.
    detail
        Why the step was rejected.
    """

    hand_over: HandOver
    batch: KnownBatch | None = None
    current: WeightVersion = WeightVersion(0)
    version: ObjectVersion = ABSENT
    detail: str = ''


class BatchFinder:
    """Looks a step's batch up in the store, or in memory while it is down.

    Parameters
    ----------
    records
        The store.
    board
        What this entry holds.
    orders
        Knows which versions the engines report.
    """

    def __init__(
        self, records: StepRecords, board: BatchBoard, orders: OrderRunner
    ) -> None:
        self._records = records
        self._board = board
        self._orders = orders

    async def look(
        self, trainer: Trainer, step: StepId, bound: int
    ) -> Look | StoreFailure:
        """Decide by what the store says now.

        The order of the reads is part of the decision, see
        :func:`~bergamotdoor.samples.delivery.check_hand_over`.
        """
        key = StepKey(trainer.id, step)
        found = await self._records.manifest(trainer.id, step)
        if isinstance(found, StoreFailure):
            return self._remembered(trainer, key, bound, found)
        batch = await self._whole(found.record)
        if isinstance(batch, StoreFailure):
            return batch
        progress = await self._progress(trainer)
        if isinstance(progress, StoreFailure):
            return self._remembered(trainer, key, bound, progress)
        current = self._board.version(trainer.service)
        hand_over = check_hand_over(
            found.record, progress.record, step, current, bound
        )
        if hand_over is HandOver.TOO_OLD:
            await self._supersede(key, found)
        detail = '' if found.record is None else found.record.detail
        return Look(hand_over, batch, current, found.version, detail)

    async def _progress(
        self, trainer: Trainer
    ) -> Versioned[Progress] | StoreFailure:
        """Read the progress, and last of all the current version.

        Nothing is awaited between that read and the decision, so what a
        pause of this process can make stale is one answer on its way.
        """
        progress = await self._records.progress(trainer.id)
        weights = await self._records.weights(trainer.service)
        if isinstance(weights, StoreFailure):
            return weights
        if weights.record is not None:
            self._board.learn(trainer.service, weights.record.version)
        return progress

    async def _whole(
        self, manifest: BatchManifest | None
    ) -> KnownBatch | StoreFailure | None:
        """Return a committed batch with its samples."""
        if manifest is None or manifest.state is not BatchState.COMMITTED:
            return None
        known = self._board.batch(StepKey(manifest.trainer, manifest.step))
        if known is not None and known.manifest.batch == manifest.batch:
            return known
        samples = await self._records.samples(manifest)
        if isinstance(samples, StoreFailure):
            gone = samples.problem is StoreProblem.NOT_FOUND
            # Swept since the manifest was read: the progress says so.
            return None if gone else samples
        batch = KnownBatch(manifest, samples)
        self._board.post(batch)
        return batch

    def _remembered(
        self, trainer: Trainer, key: StepKey, bound: int, why: StoreFailure
    ) -> Look | StoreFailure:
        """Decide by what this entry holds, while the store is down.

        The manifest stood in the store before the batch came to the
        board, so it is the one that any entry would hand over. No version
        can be published while the store is down for all; where only this
        entry is cut off, it learns of a newer version from the engines'
        load reports and its peers' notices, later than from the store.
        """
        batch = self._board.batch(key)
        if batch is None:
            return why
        for load in self._orders.loads(trainer.service).values():
            self._board.learn(trainer.service, load.weight_version)
        current = self._board.version(trainer.service)
        hand_over = check_hand_over(
            batch.manifest, None, key.step, current, bound
        )
        if hand_over is not HandOver.YES:
            return why
        _log.info('trainers: %s from memory', batch.manifest.batch)
        return Look(hand_over, batch, current)

    async def _supersede(
        self, key: StepKey, found: Versioned[BatchManifest]
    ) -> None:
        """Mark a batch that has grown too old, so that no one acks it.

        Conditional on the manifest that was read: an acknowledgement that
        comes first wins, and this has no effect.
        """
        assert found.record is not None, 'only a manifest can be too old'
        self._board.drop(key)
        old = with_state(found.record, BatchState.SUPERSEDED)
        name = step_name(key.trainer, key.step)
        await self._records.write(BATCH, name, old, found.version)
        _log.info('trainers: %s is too old', old.batch)
