"""Makes an acknowledged batch the trainer's progress."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Final, Literal

from bergamotdoor.entry.steps_board import StepKey
from bergamotdoor.entry.steps_records import BATCH, PROGRESS, step_name
from bergamotdoor.entry.trainers_answers import AckAnswer, AckBody
from bergamotdoor.entry.trainers_bodies import decode_body
from bergamotdoor.entry.trainers_failures import (
    RETRY_MS,
    refused,
    store_failure,
)
from bergamotdoor.http.failures import failure_response, json_response
from bergamotdoor.samples.delivery import (
    Acknowledgement,
    BatchManifest,
    BatchState,
    Progress,
    check_acknowledgement,
    with_state,
)
from bergamotdoor.store.protocols import StoreFailure, StoreProblem
from bergamotdoor.verdict import Failure, Reason, Verdict

if TYPE_CHECKING:
    from bergamotdoor.entry.steps_records import StepRecords, Versioned
    from bergamotdoor.entry.trainers_parts import TrainerParts
    from bergamotdoor.entry.trainers_target import TrainerRequest
    from bergamotdoor.http.messages import HttpResponse
    from bergamotdoor.samples.delivery import BatchId
    from bergamotdoor.types import StepId, TrainerId

_MOST_TRIES: Final = 5
#: Another write came first; what it means has to be looked up.
_Conflict = Literal[StoreProblem.CONFLICT]


class Acknowledger:
    """Acknowledges batches by conditional updates.

    First the manifest is marked, which excludes that the batch is
    superseded at the same time; then the progress moves. An entry that
    dies in between leaves a marked manifest, and the trainer's retry
    moves the progress.

    Parameters
    ----------
    records
        The store.
    """

    def __init__(self, records: StepRecords) -> None:
        self._records = records

    async def acknowledge(
        self, trainer: TrainerId, step: StepId, batch: BatchId
    ) -> Failure | None:
        """Acknowledge `batch`; None if it is, now or from before."""
        for _ in range(_MOST_TRIES):
            outcome = await self._try(trainer, step, batch)
            if outcome is not StoreProblem.CONFLICT:
                return outcome
        return Failure(
            Verdict.MAY_HAVE_RUN,
            Reason.CONFLICT,
            f'step {step} keeps changing',
            RETRY_MS,
        )

    async def _try(
        self, trainer: TrainerId, step: StepId, batch: BatchId
    ) -> Failure | _Conflict | None:
        found = await self._records.manifest(trainer, step)
        if isinstance(found, StoreFailure):
            return store_failure(found)
        # Read after the manifest: what was cleaned up and committed anew
        # by a paused owner shows only here.
        progress = await self._records.progress(trainer)
        if isinstance(progress, StoreFailure):
            return store_failure(progress)
        outcome = check_acknowledgement(
            found.record, progress.record, step, batch
        )
        if outcome is Acknowledgement.ACCEPT and found.record is not None:
            return await self._accept(found, found.record, progress)
        return _answer(outcome, step, batch)

    async def _accept(
        self,
        found: Versioned[BatchManifest],
        manifest: BatchManifest,
        progress: Versioned[Progress],
    ) -> Failure | _Conflict | None:
        if manifest.state is BatchState.COMMITTED:
            name = step_name(manifest.trainer, manifest.step)
            acked = with_state(manifest, BatchState.ACKED)
            marked = await self._records.write(
                BATCH, name, acked, found.version
            )
            if isinstance(marked, StoreFailure):
                return _problem(marked)
        moved = await self._records.write(
            PROGRESS,
            manifest.trainer,
            Progress(manifest.step, manifest.batch),
            progress.version,
        )
        return _problem(moved) if isinstance(moved, StoreFailure) else None


class AckDesk:
    """Answers acknowledgements.

    Parameters
    ----------
    parts
        What the trainers' interface is made of.
    records
        The store.
    """

    def __init__(self, parts: TrainerParts, records: StepRecords) -> None:
        self._parts = parts
        self._acknowledger = Acknowledger(records)

    async def post(self, request: TrainerRequest) -> HttpResponse:
        """Take an acknowledgement; a repeated one is answered alike."""
        ack = decode_body(request.body, AckBody)
        if isinstance(ack, Failure):
            return failure_response(ack)
        trainer = request.trainer.id
        step = request.target.step
        failure = await self._acknowledger.acknowledge(trainer, step, ack.batch)
        if failure is not None:
            return failure_response(failure)
        self._parts.board.drop(StepKey(trainer, step))
        self._parts.hints.step_changed(trainer, step)
        return json_response(HTTPStatus.OK, AckAnswer(trainer, step, ack.batch))


def _problem(found: StoreFailure) -> Failure | _Conflict:
    if found.problem is StoreProblem.CONFLICT:
        return StoreProblem.CONFLICT
    return store_failure(found)


def _answer(
    outcome: Acknowledgement, step: StepId, batch: BatchId
) -> Failure | None:
    if outcome is Acknowledgement.REPEATED:
        return None
    if outcome is Acknowledgement.GONE:
        return refused(Reason.GONE, f'step {step} is over')
    if outcome is Acknowledgement.UNKNOWN:
        return refused(Reason.NOT_FOUND, f'step {step} has no batch')
    return refused(
        Reason.CONFLICT, f'{batch} is not the current batch of step {step}'
    )
