"""Puts together what happened to each step, and what it could have taken."""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.anatomy.events import (
    Ended,
    Listed,
    Moved,
    Owned,
    RunEnded,
    Shown,
    StepEvent,
    Submitted,
)
from bergamotdoor.types import ItemId, JobId, UpstreamId

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

#: A shorter run tells too little of an engine's pace: it holds the wait for
#: a prompt as well.
_LEAST_EVENTS: Final = 40
_MS_PER_S: Final = 1000
_REACHED: Final = 'reached'
_COMPLETED: Final = 'completed'


class ItemRun(msgspec.Struct, frozen=True):
    """A run of an item, from the step's taking in."""

    item: ItemId
    upstream: UpstreamId
    began: dt.timedelta
    ended: dt.timedelta
    end: str
    #: How many events the item had when the run ended.
    events: int


class StepAnatomy(msgspec.Struct, frozen=True, kw_only=True):
    """Where a step's time went; times count from its taking in.

    A time is None where no line tells it.
    """

    job: JobId
    #: When it was taken in.
    at: dt.datetime
    items: int
    owners: int
    refused: int
    moved: int
    first_item: dt.timedelta | None
    #: When the last item that was needed had its text.
    last_text: dt.timedelta | None
    #: When the results were listed that its trainer could go on with.
    listed: dt.timedelta | None
    #: When a reader was shown them first.
    shown: dt.timedelta | None
    ended: dt.timedelta | None
    #: How many events the longest item had that was needed.
    longest: int
    #: The runs of the item that was needed and had its text last.
    slowest: tuple[ItemRun, ...]

    def floor(self, pace_s: float) -> dt.timedelta:
        """Return how long it takes at least at a pace, in s per event."""
        return dt.timedelta(seconds=self.longest * pace_s)


def gather_steps(events: Iterable[StepEvent]) -> Iterator[StepAnatomy]:
    """Return what happened to each step, in the order of taking in."""
    by_job: dict[JobId, list[StepEvent]] = {}
    for event in events:
        by_job.setdefault(event.job, []).append(event)
    steps = (_step(job, found) for job, found in by_job.items())
    known = [step for step in steps if step is not None]
    yield from sorted(known, key=lambda step: step.at)


def usual_pace_s(events: Iterable[StepEvent]) -> float | None:
    """Return the median pace of whole runs, in s per event.

    The fastest would not do: a run that went on behind another one's events
    looks faster than any engine is.
    """
    paces = (
        one.took_ms / _MS_PER_S / one.events
        for one in events
        if isinstance(one, RunEnded)
        and one.end == _COMPLETED
        and one.events >= _LEAST_EVENTS
    )
    found = sorted(paces)
    return found[len(found) // 2] if found else None


def _step(job: JobId, events: list[StepEvent]) -> StepAnatomy | None:
    events.sort(key=lambda event: event.at)
    taken_in = next((one for one in events if isinstance(one, Submitted)), None)
    if taken_in is None:
        return None
    listed = _first(
        taken_in,
        (
            one
            for one in events
            if isinstance(one, Listed) and one.target == _REACHED
        ),
    )
    runs = [_run(taken_in, one) for one in events if isinstance(one, RunEnded)]
    needed = _needed(runs, listed)
    last = max(needed, key=lambda run: run.ended, default=None)
    return StepAnatomy(
        job=job,
        at=taken_in.at,
        items=taken_in.items,
        owners=sum(isinstance(one, Owned) for one in events),
        refused=sum(run.end == 'refused' for run in runs),
        moved=sum(isinstance(one, Moved) for one in events),
        first_item=min((run.began for run in runs), default=None),
        last_text=None if last is None else last.ended,
        listed=listed,
        shown=_first(taken_in, _shown_after(taken_in, events, listed)),
        ended=_first(taken_in, filter(_is_end, events)),
        longest=max((run.events for run in needed), default=0),
        slowest=_chain(taken_in, events, runs, last),
    )


def _is_end(event: StepEvent) -> bool:
    return isinstance(event, Ended)


def _first(
    taken_in: Submitted, events: Iterable[StepEvent]
) -> dt.timedelta | None:
    found = next(iter(events), None)
    return None if found is None else found.at - taken_in.at


def _run(taken_in: Submitted, event: RunEnded) -> ItemRun:
    ended = event.at - taken_in.at
    return ItemRun(
        event.item,
        event.upstream,
        ended - dt.timedelta(milliseconds=event.took_ms),
        ended,
        event.end,
        event.events,
    )


def _needed(
    runs: Iterable[ItemRun], listed: dt.timedelta | None
) -> list[ItemRun]:
    """Return the whole runs whose texts were there when the target was."""
    return [
        run
        for run in runs
        if run.end == _COMPLETED and (listed is None or run.ended <= listed)
    ]


def _shown_after(
    taken_in: Submitted,
    events: Iterable[StepEvent],
    listed: dt.timedelta | None,
) -> Iterator[Shown]:
    for event in events:
        if listed is None or not isinstance(event, Shown):
            continue
        if event.at - taken_in.at >= listed:
            yield event


def _chain(
    taken_in: Submitted,
    events: Iterable[StepEvent],
    runs: Iterable[ItemRun],
    last: ItemRun | None,
) -> tuple[ItemRun, ...]:
    """Return all runs of an item; one that moved has no line of its end."""
    if last is None:
        return ()
    found = [run for run in runs if run.item == last.item]
    for event in events:
        if isinstance(event, Moved) and event.item == last.item:
            left = event.at - taken_in.at
            began = max(
                (run.ended for run in found if run.ended < left),
                default=dt.timedelta(),
            )
            found.append(
                ItemRun(
                    event.item,
                    event.upstream,
                    began,
                    left,
                    f'left, {event.why}',
                    event.events,
                )
            )
    return tuple(sorted(found, key=lambda run: run.ended))
