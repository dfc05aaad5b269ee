"""Holds a trainer's request until its batch can be handed over."""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.entry.steps_board import StepKey
from bergamotdoor.entry.trainers_batches import Look
from bergamotdoor.entry.trainers_failures import refused, store_failure
from bergamotdoor.samples.delivery import HandOver
from bergamotdoor.settings.document import Trainer
from bergamotdoor.store.protocols import StoreFailure
from bergamotdoor.types import ABSENT, StepId
from bergamotdoor.verdict import Failure, Reason

if TYPE_CHECKING:
    from collections.abc import Callable

    from bergamotdoor.clock import Clock
    from bergamotdoor.entry.steps_records import StepRecords
    from bergamotdoor.entry.trainers_batches import BatchFinder
    from bergamotdoor.entry.trainers_watch import BatchWatch
    from bergamotdoor.types import TrainerId

_NO_TIME: Final = dt.timedelta()
_WAITING: Final = frozenset((HandOver.NOT_YET, HandOver.TOO_OLD))


class Asked(msgspec.Struct, frozen=True):
    """A trainer's request for a batch.

    Parameters
    ----------
    trainer, step
        Whose batch.
    bound
        How many versions a sample may lag behind the current one.
    timeout
        How long the request may be held.
    """

    trainer: Trainer
    step: StepId
    bound: int
    timeout: dt.timedelta


class Polled(msgspec.Struct, frozen=True):
    """What a request for a batch came to.

    ``waited`` is the time in which no batch could be handed over: the
    trainer's idle time at this entry.
    """

    outcome: Look | Failure
    waited: dt.timedelta = _NO_TIME


class BatchPoll:
    """Looks, waits for a change, and looks again until the timeout.

    Parameters
    ----------
    records, finder, watch
        Where steps and batches are, and how a change is heard of.
    clock
        Reads the time.
    hint
        Called with a step whose batch has grown too old.
    """

    def __init__(
        self,
        records: StepRecords,
        finder: BatchFinder,
        watch: BatchWatch,
        clock: Clock,
        hint: Callable[[TrainerId, StepId], None],
    ) -> None:
        self._records = records
        self._finder = finder
        self._watch = watch
        self._clock = clock
        self._hint = hint

    async def poll(self, asked: Asked) -> Polled:
        """Wait for a step's batch."""
        began = self._clock.elapsed()
        look = await self._look(asked)
        if not _waits(look):
            return Polled(_final(look, asked.step))
        absent = await self._absent(asked)
        if absent is not None:
            return Polled(absent)
        left = asked.timeout
        while _waits(look) and left > _NO_TIME:
            await self._wait(asked, look, left)
            look = await self._look(asked)
            left = began + asked.timeout - self._clock.elapsed()
        waited = self._clock.elapsed() - began
        return Polled(_final(look, asked.step), waited)

    async def _look(self, asked: Asked) -> Look | StoreFailure:
        look = await self._finder.look(asked.trainer, asked.step, asked.bound)
        if isinstance(look, Look) and look.hand_over is HandOver.TOO_OLD:
            self._hint(asked.trainer.id, asked.step)
        return look

    async def _wait(
        self, asked: Asked, look: Look | StoreFailure, left: dt.timedelta
    ) -> None:
        above = ABSENT if isinstance(look, StoreFailure) else look.version
        key = StepKey(asked.trainer.id, asked.step)
        await self._watch.changed(key, above, left)

    async def _absent(self, asked: Asked) -> Failure | None:
        """Return the failure for a step that was never put."""
        found = await self._records.step(asked.trainer.id, asked.step)
        if isinstance(found, StoreFailure) or found.record is not None:
            return None
        return refused(Reason.NOT_FOUND, f'step {asked.step} was not put')


def _waits(look: Look | StoreFailure) -> bool:
    """Whether waiting can change what was found."""
    return isinstance(look, StoreFailure) or look.hand_over in _WAITING


def _final(look: Look | StoreFailure, step: StepId) -> Look | Failure:
    if isinstance(look, StoreFailure):
        return store_failure(look)
    if look.hand_over is HandOver.GONE:
        return refused(Reason.GONE, f'step {step} is over')
    if look.hand_over is HandOver.REJECTED:
        return refused(Reason.CONFLICT, f'step {step}: {look.detail}')
    return look
