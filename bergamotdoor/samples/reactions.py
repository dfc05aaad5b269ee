"""What each event changes in a step, and what it asks for at once."""

from __future__ import annotations

import datetime as dt
import functools
from collections.abc import Iterator
from typing import Final

from bergamotdoor.samples.actions import (
    Action,
    CancelRun,
    CollectRun,
    ForgetRun,
    LocateRuns,
    RejectStep,
)
from bergamotdoor.samples.events import (
    BatchSample,
    BatchSuperseded,
    BatchTaken,
    BoundChanged,
    CommitDone,
    CommitFailed,
    Event,
    HeldReported,
    HeldRun,
    RunFailed,
    RunFinished,
    RunsLocated,
    Tick,
    VersionPublished,
)
from bergamotdoor.samples.plan import sample_of
from bergamotdoor.samples.slots import Run, Slot
from bergamotdoor.samples.step_state import StepState
from bergamotdoor.verdict import Reason, Verdict

_MOST_REJECTIONS: Final = 3


@functools.singledispatch
def react(
    event: Event, state: StepState, now: dt.timedelta
) -> Iterator[Action]:
    """Change `state` by `event` and yield what follows from it.

    The iterator must be run to its end, or the change is half made.
    """
    raise TypeError(f'{event!r} is no event of an assembly')


@react.register
def _finished(
    event: RunFinished, state: StepState, now: dt.timedelta
) -> Iterator[Action]:
    run = state.table.end(event.request, now)
    if run is None:
        # The loser of a hedged pair finished before it was cancelled.
        yield ForgetRun(event.request, event.upstream)
        return
    slot = state.table.slots[run.sample]
    if not state.usable(event):
        state.again(slot, None, now)
        yield ForgetRun(event.request, event.upstream)
        return
    for loser in tuple(slot.runs):
        state.table.end(loser, now)
        yield CancelRun(loser)
    _keep(event, state, slot)
    state.window.finished()
    if run.hedge:
        state.stragglers.budget += 1
    run.upstream = event.upstream
    state.stragglers.finished(run, slot, now)


@react.register
def _failed(
    event: RunFailed, state: StepState, now: dt.timedelta
) -> Iterator[Action]:
    run = state.table.end(event.request, now)
    if run is None:
        return
    failure = event.failure
    slot = state.table.slots[run.sample]
    if failure.reason is Reason.BAD_REQUEST:
        slot.rejections += 1
    if failure.reason is Reason.OVERLOADED:
        state.window.refused(state.table.in_flight, now)
    if run.hedge and failure.verdict is Verdict.NOT_RUN:
        state.stragglers.budget += 1
    state.again(slot, failure.retry_after_ms, now)
    if slot.rejections == _MOST_REJECTIONS:
        state.commit.closed = True
        yield RejectStep(f'{run.sample}: {failure.detail}')


@react.register
def _located(
    event: RunsLocated, state: StepState, now: dt.timedelta
) -> Iterator[Action]:
    for run in state.table.running():
        run.sought = True
    for held in event.held:
        found = state.table.run(held.request)
        if found is not None:
            found.upstream = held.upstream
    return iter(())


@react.register
def _published(
    event: VersionPublished, state: StepState, now: dt.timedelta
) -> Iterator[Action]:
    newer = state.freshness.publish(event.version)
    if newer and state.commit.may_refresh():
        yield from state.replace_old(now)


@react.register
def _bound_changed(
    event: BoundChanged, state: StepState, now: dt.timedelta
) -> Iterator[Action]:
    tighter = event.bound < state.freshness.bound
    state.freshness.bound = event.bound
    if tighter and state.commit.may_refresh():
        yield from state.replace_old(now)


@react.register
def _held(
    event: HeldReported, state: StepState, now: dt.timedelta
) -> Iterator[Action]:
    state.commit.held_known = True
    for held in event.held:
        slot = state.table.slots.get(sample_of(held.request))
        if slot is not None and state.table.run(held.request) is None:
            yield _take_over(held, state, slot, now)


@react.register
def _committed(
    event: CommitDone, state: StepState, now: dt.timedelta
) -> Iterator[Action]:
    state.commit.succeed(event.attempt)
    # The parts in the store keep the samples from here on.
    for slot in state.table.finished():
        if slot.origin is not None:
            yield ForgetRun(slot.origin.request, slot.origin.upstream)
            slot.origin = None


@react.register
def _commit_failed(
    event: CommitFailed, state: StepState, now: dt.timedelta
) -> Iterator[Action]:
    state.commit.fail(now + event.retry_after)
    return iter(())


@react.register
def _superseded(
    event: BatchSuperseded, state: StepState, now: dt.timedelta
) -> Iterator[Action]:
    state.commit.supersede(event.attempt)
    yield from state.replace_old(now)


@react.register
def _taken(
    event: BatchTaken, state: StepState, now: dt.timedelta
) -> Iterator[Action]:
    state.commit.taken = True
    return iter(())


@react.register
def _tick(event: Tick, state: StepState, now: dt.timedelta) -> Iterator[Action]:
    state.window.tick(now)
    if state.table.next_ready(now) is not None:
        # First runs go before second ones.
        return
    stragglers = state.stragglers.review(state.table, now)
    if state.stragglers.seeks(now):
        yield LocateRuns()
    for run in stragglers:
        yield from _hedge(run, state, now)


def _hedge(run: Run, state: StepState, now: dt.timedelta) -> Iterator[Action]:
    if state.stragglers.budget > 0 and not state.full:
        yield state.hedge(run, now)


def _take_over(
    held: HeldRun, state: StepState, slot: Slot, now: dt.timedelta
) -> Action:
    if slot.finished is not None:
        return ForgetRun(held.request, held.upstream)
    run = Run(held.request, slot.spec.sample, now, upstream=held.upstream)
    state.table.begin(run)
    return CollectRun(held.request, held.upstream, slot.spec)


def _keep(event: RunFinished, state: StepState, slot: Slot) -> None:
    sample = BatchSample(slot.spec.sample, slot.group, event.text, event.spans)
    origin = HeldRun(event.upstream, event.request)
    state.table.finish(slot, sample, origin)
