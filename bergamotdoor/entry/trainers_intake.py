"""Takes the steps that trainers put."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.entry.steps_records import STEP, step_name
from bergamotdoor.entry.trainers_answers import StepAnswer
from bergamotdoor.entry.trainers_failures import (
    RETRY_MS,
    refused,
    store_failure,
)
from bergamotdoor.http.failures import failure_response, json_response
from bergamotdoor.samples.plan import StepPlan, parse_step
from bergamotdoor.store.protocols import StoreFailure, StoreProblem
from bergamotdoor.types import ABSENT
from bergamotdoor.verdict import Failure, Reason

if TYPE_CHECKING:
    from bergamotdoor.entry.steps_records import StepRecords
    from bergamotdoor.entry.trainers_parts import TrainerParts
    from bergamotdoor.entry.trainers_target import TrainerRequest
    from bergamotdoor.http.messages import HttpResponse
    from bergamotdoor.settings.document import Trainer
    from bergamotdoor.types import StepId, TrainerId

#: Steps that a trainer may have put and not acknowledged.
MOST_OPEN: Final = 16


class StepPut(msgspec.Struct, frozen=True):
    """A step that the store holds.

    ``created`` is False where the same step stood there before.
    """

    plan: StepPlan
    created: bool


class StepIntake:
    """Checks and stores steps, idempotent by their number.

    Parameters
    ----------
    records
        The store.
    """

    def __init__(self, records: StepRecords) -> None:
        self._records = records

    async def put(
        self, trainer: Trainer, step: StepId, body: bytes
    ) -> StepPut | Failure:
        """Store a step, unless it is over or stands there already."""
        plan = parse_step(trainer.id, step, trainer.service, body)
        if isinstance(plan, Failure):
            return plan
        failure = await self._over(trainer.id, step)
        if failure is not None:
            return failure
        failure = await self._too_many(trainer.id, step)
        if failure is not None:
            return failure
        written = await self._records.write(
            STEP, step_name(trainer.id, step), plan, ABSENT
        )
        if isinstance(written, StoreFailure):
            if written.problem is StoreProblem.CONFLICT:
                return await self._compare(plan)
            return store_failure(written)
        return StepPut(plan, created=True)

    async def _over(self, trainer: TrainerId, step: StepId) -> Failure | None:
        progress = await self._records.progress(trainer)
        if isinstance(progress, StoreFailure):
            return store_failure(progress)
        if progress.record is None or step > progress.record.step:
            return None
        reached = progress.record.step
        return refused(
            Reason.GONE, f'step {step}: progress is at step {reached}'
        )

    async def _too_many(
        self, trainer: TrainerId, step: StepId
    ) -> Failure | None:
        open_steps = await self._records.open_steps(trainer)
        if isinstance(open_steps, StoreFailure):
            return store_failure(open_steps)
        if step in open_steps or len(open_steps) < MOST_OPEN:
            return None
        return refused(
            Reason.OVERLOADED,
            f'{len(open_steps)} steps are open, at most {MOST_OPEN}',
            RETRY_MS,
        )

    async def _compare(self, plan: StepPlan) -> StepPut | Failure:
        """Tell a repeated request from another step of the same number."""
        found = await self._records.step(plan.trainer, plan.step)
        if isinstance(found, StoreFailure):
            return store_failure(found)
        if found.record is None:
            return refused(Reason.GONE, f'step {plan.step} is over')
        if found.record.groups == plan.groups:
            return StepPut(found.record, created=False)
        return refused(
            Reason.CONFLICT, f'step {plan.step} was put with other groups'
        )


class StepDesk:
    """Answers requests that put steps.

    Parameters
    ----------
    parts
        What the trainers' interface is made of.
    records
        The store.
    """

    def __init__(self, parts: TrainerParts, records: StepRecords) -> None:
        self._hints = parts.hints
        self._intake = StepIntake(records)

    async def put(self, request: TrainerRequest) -> HttpResponse:
        """Take a step: 202 if it is new, 200 if it stood there."""
        step = request.target.step
        put = await self._intake.put(request.trainer, step, request.body)
        if isinstance(put, Failure):
            return failure_response(put)
        # Also for a repeated request: the first one's hint may be lost.
        self._hints.step_changed(request.trainer.id, step)
        return json_response(
            HTTPStatus.ACCEPTED if put.created else HTTPStatus.OK,
            StepAnswer(request.trainer.id, step, put.plan.sample_count),
        )
