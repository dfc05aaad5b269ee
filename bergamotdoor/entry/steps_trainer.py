"""Runs the open steps of one trainer while its lease is held."""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor import utils
from bergamotdoor.entry.steps_progress import complete_ack
from bergamotdoor.entry.steps_run import StepRun
from bergamotdoor.entry.steps_sweep import sweep
from bergamotdoor.entry.steps_tasks import TaskSet, wait_set
from bergamotdoor.samples.events import BatchTaken, VersionPublished
from bergamotdoor.samples.rules import AssemblyRules
from bergamotdoor.store.protocols import StoreFailure

if TYPE_CHECKING:
    from bergamotdoor.entry.steps_index import CurrentIndex
    from bergamotdoor.entry.steps_tools import StepTools, StepView
    from bergamotdoor.samples.plan import StepPlan
    from bergamotdoor.settings.document import Service, Trainer
    from bergamotdoor.settings.lookup import Index
    from bergamotdoor.types import StepId

_log: Final = logging.getLogger('bergamotdoor.steps')

#: How often the store is read without a hint.
SCAN_INTERVAL: Final = dt.timedelta(seconds=5)
#: Steps of one trainer that are assembled at once, the lowest first.
MOST_RUNNING: Final = 2


class TrainerRun:
    """Scans the store for a trainer's steps and runs them.

    A scan makes two calls for the trainer, one for its service's version
    and one for each running step; a hint brings the next one forward.

    Parameters
    ----------
    tools
        Shared by the trainer's steps.
    index
        The configuration in force.
    trainer
        The trainer.
    """

    def __init__(
        self, tools: StepTools, index: CurrentIndex, trainer: Trainer
    ) -> None:
        self._tools = tools
        self._index = index
        self._trainer = trainer
        self._runs: dict[StepId, StepRun] = {}
        self._tasks = TaskSet()
        self._hint = asyncio.Event()
        self._swept: StepId | None = None
        self._usual: dt.timedelta | None = None

    async def run(self) -> None:
        """Scan until cancelled."""
        while True:  # noqa: WPS457 -- ends when the lease's owner cancels it
            self._hint.clear()
            await self._scan()
            await wait_set(self._hint, SCAN_INTERVAL)

    def leave(self) -> None:
        """Decide nothing more; the runs in flight go on."""
        for step in self._runs:
            self._tasks.cancel(str(step))

    def idle(self) -> bool:
        """Return whether no run is in flight any more."""
        return all(run.idle() for run in self._runs.values())

    async def close(self) -> None:
        """Stop every step; what is committed stays."""
        await self._tasks.close()
        for run in self._runs.values():
            await run.stop()
        self._runs.clear()

    def hint(self) -> None:
        """Bring the next scan forward."""
        self._hint.set()

    def taken(self, step: StepId) -> None:
        """Note that a step's batch was handed over."""
        run = self._runs.get(step)
        if run is not None:
            run.notify(BatchTaken())

    def announce(self) -> None:
        """Tell the steps of the highest version known."""
        version = self._tools.board.version(self._trainer.service)
        self._tools.publications.note(version, self._tools.clock.elapsed())
        for run in self._runs.values():
            run.notify(VersionPublished(version))

    def views(self) -> tuple[StepView, ...]:
        """Return where each running step stands."""
        return tuple(run.view() for run in self._runs.values())

    async def _scan(self) -> None:
        """Read the store once; a failure leaves the rest to the next."""
        records = self._tools.records
        weights = await records.weights(self._trainer.service)
        if isinstance(weights, StoreFailure):
            return
        if weights.record is not None:
            self._tools.board.learn(
                self._trainer.service, weights.record.version
            )
        self.announce()
        self._rebound()
        progress = await records.progress(self._trainer.id)
        if isinstance(progress, StoreFailure):
            return
        acked = None if progress.record is None else progress.record.step
        if acked is not None:
            await self._finish(acked)
        await self._follow(acked)

    async def _follow(self, acked: StepId | None) -> None:
        """Begin steps that are new, and look after those that run."""
        found = await self._tools.records.open_steps(self._trainer.id)
        if isinstance(found, StoreFailure):
            return
        room = MOST_RUNNING
        for step in found:
            if room and (acked is None or step > acked):
                await self._attend(step)
                run = self._runs.get(step)
                # A rejected step stays until a later one is acknowledged,
                # and must not keep that one from running.
                room -= int(run is None or not run.closed)

    async def _attend(self, step: StepId) -> None:
        """Begin a step, or look what became of its manifest."""
        run = self._runs.get(step)
        if run is not None and str(step) not in self._tasks:
            # It broke, and was logged: without a new one the step would
            # stand still until the lease moves.
            await self._runs.pop(step).stop()
            run = None
        if run is None:
            await self._begin(step)
            return
        manifest = await self._tools.records.manifest(self._trainer.id, step)
        if isinstance(manifest, StoreFailure):
            return
        run.sync(manifest)
        if run.closed and manifest.record is not None:
            await complete_ack(self._tools.records, manifest.record)

    async def _begin(self, step: StepId) -> None:
        stored = await self._tools.records.step(self._trainer.id, step)
        if isinstance(stored, StoreFailure) or stored.record is None:
            return
        run = self._make(stored.record)
        if run is not None:
            _log.info('steps: assembling %s', stored.record.prefix)
            self._runs[step] = run
            self._tasks.spawn(str(step), run.run())

    def _make(self, plan: StepPlan) -> StepRun | None:
        index = self._index.get()
        service = None if index is None else index.service(plan.service)
        if index is None or service is None:
            _log.warning('steps: no service %s for a step', plan.service)
            return None
        rule = index.trainer_rule(self._trainer.id)
        now = self._tools.clock.elapsed()
        rules = AssemblyRules(
            namespace='',
            slots=_slots(service, index),
            began=now,
            deadline=now + utils.from_ms(rule.step_deadline_ms),
            usual=self._usual,
            hedge_ratio=rule.hedge_ratio,
        )
        return StepRun(self._tools, plan, rules, rule.max_staleness_versions)

    def _rebound(self) -> None:
        """Pass on the staleness bound, which operators may have changed."""
        index = self._index.get()
        if index is not None:
            rule = index.trainer_rule(self._trainer.id)
            for run in self._runs.values():
                run.rebound(rule.max_staleness_versions)

    async def _finish(self, acked: StepId) -> None:
        """Stop the steps up to `acked` and clear what they left."""
        done = [step for step in self._runs if step <= acked]
        for step in done:
            self._tasks.cancel(str(step))
            run = self._runs.pop(step)
            self._usual = run.usual() or self._usual
            await run.stop()
        if self._swept != acked:
            swept = await sweep(self._tools.records, self._trainer.id, acked)
            self._swept = acked if swept else None


def _slots(service: Service, index: Index) -> int:
    """Return how many requests the engines that stay can run at once."""
    return sum(
        upstream.max_running
        for upstream in service.upstreams
        if upstream.id not in index.leaving
    )
