"""Owns the steps of the trainers whose lease this entry holds."""

from __future__ import annotations

import datetime as dt
import itertools
import logging
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.entry.steps_index import CurrentIndex
from bergamotdoor.entry.steps_records import StepRecords
from bergamotdoor.entry.steps_tasks import TaskSet
from bergamotdoor.entry.steps_tools import StepTools, StepView
from bergamotdoor.entry.steps_trainer import TrainerRun
from bergamotdoor.samples.freshness import Publications
from bergamotdoor.types import FencingToken, TrainerId

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bergamotdoor.entry.interfaces import CallRunner
    from bergamotdoor.entry.steps_board import BatchBoard, StepKey
    from bergamotdoor.entry.steps_context import EntryContext
    from bergamotdoor.settings.document import Trainer
    from bergamotdoor.store.protocols import ObjectStore
    from bergamotdoor.types import ServiceId, StepId, WeightVersion

_log: Final = logging.getLogger('bergamotdoor.steps')

#: How often leases and preferred owners are compared with what runs.
_REVIEW: Final = dt.timedelta(milliseconds=500)  # noqa: WPS432 -- named here


class OwnedTrainer(msgspec.Struct, frozen=True):
    """A trainer whose steps this entry assembles, for dumps."""

    trainer: TrainerId
    fencing_token: FencingToken
    steps: tuple[StepView, ...]


class StepOwner:
    """Runs a trainer's steps while this entry holds the trainer's lease.

    Parameters
    ----------
    store
        The platform's object API.
    runner
        Places calls on engines.
    board
        Where trainers' requests find what is committed.
    context
        This entry and its views.
    """

    def __init__(
        self,
        store: ObjectStore,
        runner: CallRunner,
        board: BatchBoard,
        context: EntryContext,
    ) -> None:
        self._records = StepRecords(store)
        self._runner = runner
        self._board = board
        self._context = context
        self._index = CurrentIndex(context.configuration)
        self._tokens: dict[TrainerId, FencingToken] = {}
        self._runs: dict[TrainerId, TrainerRun] = {}
        self._left: list[TrainerRun] = []
        self._tasks = TaskSet()

    async def start(self) -> None:
        """Begin to claim leases and to run steps."""
        self._board.on_taken(self._taken)
        self._tasks.spawn('review', self._review())

    async def stop(self) -> None:
        """Give the leases up and stop every step."""
        await self._tasks.close()
        for trainer in tuple(self._runs):
            self._context.leases.want(_lease(trainer), wanted=False)
            self._leave(trainer)
        for run in self._left:
            await run.close()
        self._left.clear()

    def notice(self, trainer: TrainerId, step: StepId) -> None:
        """Take the hint that `step` was put, or its batch grew too old."""
        run = self._runs.get(trainer)
        if run is not None:
            run.hint()

    def version_published(
        self, service: ServiceId, version: WeightVersion
    ) -> None:
        """Take the hint that a version was published."""
        self._board.learn(service, version)
        for run in self._runs.values():
            run.announce()

    def dump(self) -> tuple[OwnedTrainer, ...]:
        """Return the state of each owned trainer."""
        return tuple(
            OwnedTrainer(trainer, self._tokens[trainer], run.views())
            for trainer, run in self._runs.items()
        )

    async def _review(self) -> None:
        while True:  # noqa: WPS457 -- ends when stop() cancels it
            index = self._index.get()
            trainers = {} if index is None else index.trainers
            for gone in self._runs.keys() - trainers.keys():
                self._context.leases.want(_lease(gone), wanted=False)
                self._leave(gone)
            for trainer in trainers.values():
                self._review_trainer(trainer)
            await self._close_idle()
            await self._context.clock.sleep(_REVIEW)

    def _review_trainer(self, trainer: Trainer) -> None:
        token = self._context.claim(_lease(trainer.id), trainer.id)
        if token == self._tokens.get(trainer.id):
            return
        self._leave(trainer.id)
        if token is not None:
            self._take(trainer, token)

    def _take(self, trainer: Trainer, token: FencingToken) -> None:
        _log.info('steps: owning %s with token %d', trainer.id, token)
        tools = StepTools(
            self._records,
            self._board,
            self._runner,
            self._context.clock,
            self._context.rng,
            Publications(),
            _namespaces(token),
        )
        run = TrainerRun(tools, self._index, trainer)
        self._tokens[trainer.id] = token
        self._runs[trainer.id] = run
        self._board.own(trainer.id, owned=True)
        self._tasks.spawn(trainer.id, run.run())

    def _leave(self, trainer: TrainerId) -> None:
        """Stop deciding for a trainer, but let its runs go on.

        The sidecars keep what they finish, and the next owner collects
        it; cancelling here would have it run everything again.
        """
        run = self._runs.pop(trainer, None)
        if run is None:
            return
        _log.info('steps: no longer owning %s', trainer)
        del self._tokens[trainer]
        self._board.own(trainer, owned=False)
        self._tasks.cancel(trainer)
        run.leave()
        self._left.append(run)

    async def _close_idle(self) -> None:
        for run in tuple(self._left):
            if run.idle():
                self._left.remove(run)
                await run.close()

    def _taken(self, key: StepKey) -> None:
        run = self._runs.get(key.trainer)
        if run is not None:
            run.taken(key.step)


def _lease(trainer: TrainerId) -> str:
    return f'trainer.{trainer}'


def _namespaces(token: FencingToken) -> Iterator[str]:
    """Yield prefixes of run ids that no other owner uses.

    Each taking of a lease raises the token, so an owner that was paused
    never shares an id with its successor.
    """
    for number in itertools.count(1):
        yield f'{token}.{number}'
