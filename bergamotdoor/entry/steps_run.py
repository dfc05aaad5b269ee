"""Runs one step from its prompts to its acknowledged batch."""

from __future__ import annotations

import asyncio
import datetime as dt
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.entry.steps_attempts import Attempts
from bergamotdoor.entry.steps_board import KnownBatch
from bergamotdoor.entry.steps_commit import BatchCommitter
from bergamotdoor.entry.steps_effects import StepEffects
from bergamotdoor.entry.steps_tools import StepView
from bergamotdoor.samples import events
from bergamotdoor.samples.assembly import StepAssembly
from bergamotdoor.samples.delivery import BatchState
from bergamotdoor.samples.freshness import Freshness
from bergamotdoor.store.protocols import StoreFailure

if TYPE_CHECKING:
    from bergamotdoor.entry.steps_records import Versioned
    from bergamotdoor.entry.steps_tools import StepTools
    from bergamotdoor.samples.delivery import BatchManifest
    from bergamotdoor.samples.plan import StepPlan
    from bergamotdoor.samples.rules import AssemblyRules

_TICK: Final = dt.timedelta(milliseconds=250)  # noqa: WPS432 -- named here
_RETRY: Final = dt.timedelta(seconds=1)
#: Events that come from elsewhere than the runs in flight.
_SPARE_EVENTS: Final = 64
_OPEN_STATES: Final = frozenset((BatchState.COMMITTED, BatchState.SUPERSEDED))


class StepRun:
    """Assembles one step until it is stopped.

    Parameters
    ----------
    tools
        Shared by all steps.
    plan, rules
        The step and its bounds.
    bound
        How many versions a sample may lag behind the current one.
    """

    def __init__(
        self,
        tools: StepTools,
        plan: StepPlan,
        rules: AssemblyRules,
        bound: int,
    ) -> None:
        self._tools = tools
        self._plan = plan
        self._rules = rules
        self._queue: asyncio.Queue[events.Event] = asyncio.Queue(
            rules.slots + plan.sample_count + _SPARE_EVENTS
        )
        self._committer = BatchCommitter(
            tools.records, tools.board, plan, tools.clock
        )
        self._attempts = Attempts(tools.runner, plan, self.notify)
        self._effects = StepEffects(
            self._attempts, self._committer, self.notify
        )
        self._assembly = self._begin(bound)
        self._next_tick = rules.began

    @property
    def closed(self) -> bool:
        """Whether the step was acknowledged or rejected."""
        return self._assembly.state.commit.closed

    async def run(self) -> None:
        """Assemble; start again when another owner's manifest stands."""
        while True:  # noqa: WPS457 -- ends when the step's owner cancels it
            await self._open()
            while not self._effects.lost:
                await self._step()
            await self._effects.close()
            self._assembly = self._begin(self._assembly.state.freshness.bound)

    async def stop(self) -> None:
        """Cancel the runs in flight."""
        await self._effects.close()

    def idle(self) -> bool:
        """Return whether no run is in flight."""
        return self._attempts.idle()

    def notify(self, event: events.Event) -> None:
        """Pass an event on; one too many is dropped.

        The queue has room for the end of every run. What can be too much
        is news from elsewhere, and the next scan of the store repeats it.
        """
        if not self._queue.full():
            self._queue.put_nowait(event)

    def rebound(self, bound: int) -> None:
        """Take the staleness bound of the configuration in force."""
        if bound != self._assembly.state.freshness.bound:
            self.notify(events.BoundChanged(bound))

    def usual(self) -> dt.timedelta | None:
        """Return how long half of the step's samples took at most."""
        return self._assembly.state.stragglers.median()

    def sync(self, found: Versioned[BatchManifest]) -> None:
        """Take a manifest as a scan of the store found it."""
        if not self._committer.is_news(found) or found.record is None:
            return
        superseded = found.record.state is BatchState.SUPERSEDED
        if superseded and self._committer.is_ours(found.record):
            self._committer.adopt(found)
            self.notify(events.BatchSuperseded(found.record.attempt))
        else:
            self._effects.lost = True

    def view(self) -> StepView:
        """Return where the step stands."""
        state = self._assembly.state
        return StepView(
            self._plan.step,
            self._plan.sample_count,
            state.table.unfinished,
            state.table.in_flight,
            state.commit.attempt,
            state.commit.done,
            state.freshness.current,
        )

    def _begin(self, bound: int) -> StepAssembly:
        """Return an assembly whose run ids no other one uses."""
        namespace = next(self._tools.namespaces)
        current = self._tools.board.version(self._plan.service)
        return StepAssembly(
            self._plan,
            msgspec.structs.replace(self._rules, namespace=namespace),
            Freshness(bound, current, self._tools.publications),
            self._tools.rng,
        )

    async def _open(self) -> None:
        """Read what stands, and ask the sidecars what they hold."""
        found = await self._committer.look()
        while isinstance(found, StoreFailure):
            await self._tools.clock.sleep(_RETRY)
            found = await self._committer.look()
        self._committer.adopt(found)
        if found.record is not None:
            await self._adopt(found.record)
        self._take(events.HeldReported(await self._attempts.held()))

    async def _adopt(self, manifest: BatchManifest) -> None:
        if manifest.state not in _OPEN_STATES:
            self._assembly.state.commit.closed = True
            return
        samples = await self._tools.records.samples(manifest)
        while isinstance(samples, StoreFailure):
            await self._tools.clock.sleep(_RETRY)
            samples = await self._tools.records.samples(manifest)
        committed = manifest.state is BatchState.COMMITTED
        now = self._tools.clock.elapsed()
        self._assembly.adopt(samples, manifest.attempt, committed, now)
        if committed:
            self._tools.board.post(KnownBatch(manifest, samples))

    async def _step(self) -> None:
        """Take the next event, and a tick when it is time for one."""
        now = self._tools.clock.elapsed()
        if now >= self._next_tick:
            # Also when events never pause: stragglers are found by time.
            self._next_tick = now + _TICK
            self._take(events.Tick())
        try:
            async with asyncio.timeout(_TICK.total_seconds()):
                event = await self._queue.get()
        except TimeoutError:
            return
        self._take(event)

    def _take(self, event: events.Event) -> None:
        now = self._tools.clock.elapsed()
        for action in self._assembly.handle(event, now):
            self._effects.carry_out(action)
