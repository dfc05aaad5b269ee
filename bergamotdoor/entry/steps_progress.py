"""Completes an acknowledgement that was broken off."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bergamotdoor.entry.steps_records import PROGRESS
from bergamotdoor.samples.delivery import BatchManifest, BatchState, Progress
from bergamotdoor.store.protocols import StoreFailure

if TYPE_CHECKING:
    from bergamotdoor.entry.steps_records import StepRecords


async def complete_ack(records: StepRecords, manifest: BatchManifest) -> None:
    """Move the progress up to a batch that is marked as acknowledged.

    Failure: the entry that took the acknowledgement died between marking
    the manifest and moving the progress, and the trainer, which was told
    nothing, goes on to its next step. Symptom: the step stays open and
    its objects stay in the store. Enough: the owner sees the mark at its
    next scan; the write is conditional, so it never moves back.
    """
    if manifest.state is not BatchState.ACKED:
        return
    progress = await records.progress(manifest.trainer)
    if isinstance(progress, StoreFailure):
        return
    reached = progress.record
    if reached is None or reached.step < manifest.step:
        await records.write(
            PROGRESS,
            manifest.trainer,
            Progress(manifest.step, manifest.batch),
            progress.version,
        )
