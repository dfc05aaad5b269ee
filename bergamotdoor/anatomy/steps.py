"""Combines the events of each step, and computes its minimum time."""

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

#: The fewest events of a run from which an event interval is computed. The
#: time of a run includes that of its prompt, which weighs too much in a
#: shorter run.
_MIN_INTERVAL_EVENTS: Final = 40
_MS_PER_S: Final = 1000
_REACHED: Final = 'reached'
_COMPLETED: Final = 'completed'


class ItemRun(msgspec.Struct, frozen=True):
    """Run of an item; times count from the submission of the step."""

    item: ItemId
    upstream: UpstreamId
    began: dt.timedelta
    ended: dt.timedelta
    end: str
    #: How many events the item had when the run ended.
    events: int


class StepAnatomy(msgspec.Struct, frozen=True, kw_only=True):
    """What a step's time was spent on; times count from its submission.

    A time is ``None`` if no log line shows it.
    """

    job: JobId
    #: When the step was submitted.
    at: dt.datetime
    items: int
    owners: int
    refused: int
    moved: int
    first_item: dt.timedelta | None
    #: When the text of the last needed item was complete.
    last_text: dt.timedelta | None
    #: When the results were listed that the trainer needs to continue.
    listed: dt.timedelta | None
    #: When these results were first returned to a reader.
    shown: dt.timedelta | None
    ended: dt.timedelta | None
    #: The number of events of the longest needed item.
    longest: int
    #: The runs of the needed item whose text was complete last.
    slowest: tuple[ItemRun, ...]

    def floor(self, pace_s: float) -> dt.timedelta:
        """Return the minimum time of the step, given the seconds per event."""
        return dt.timedelta(seconds=self.longest * pace_s)


def gather_steps(events: Iterable[StepEvent]) -> Iterator[StepAnatomy]:
    """Return the anatomy of each step, in the order of submission."""
    by_job: dict[JobId, list[StepEvent]] = {}
    for event in events:
        by_job.setdefault(event.job, []).append(event)
    steps = (_build_step(job, found) for job, found in by_job.items())
    known = [step for step in steps if step is not None]
    yield from sorted(known, key=lambda step: step.at)


def usual_pace_s(events: Iterable[StepEvent]) -> float | None:
    """Return the median event interval of complete runs, in s per event.

    The fastest run would mislead: a run that continues after the events of
    an earlier run appears faster than any engine is.
    """
    intervals_s = (
        one.took_ms / _MS_PER_S / one.events
        for one in events
        if isinstance(one, RunEnded)
        and one.end == _COMPLETED
        and one.events >= _MIN_INTERVAL_EVENTS
    )
    found = sorted(intervals_s)
    return found[len(found) // 2] if found else None


def _build_step(job: JobId, events: list[StepEvent]) -> StepAnatomy | None:
    events.sort(key=lambda event: event.at)
    submitted = next(
        (one for one in events if isinstance(one, Submitted)), None
    )
    if submitted is None:
        return None
    listed = _time_of_first(
        submitted,
        (
            one
            for one in events
            if isinstance(one, Listed) and one.target == _REACHED
        ),
    )
    runs = [
        _build_run(submitted, one)
        for one in events
        if isinstance(one, RunEnded)
    ]
    needed = _needed_runs(runs, listed)
    last = max(needed, key=lambda run: run.ended, default=None)
    return StepAnatomy(
        job=job,
        at=submitted.at,
        items=submitted.items,
        owners=sum(isinstance(one, Owned) for one in events),
        refused=sum(run.end == 'refused' for run in runs),
        moved=sum(isinstance(one, Moved) for one in events),
        first_item=min((run.began for run in runs), default=None),
        last_text=None if last is None else last.ended,
        listed=listed,
        shown=_time_of_first(
            submitted, _shown_after(submitted, events, listed)
        ),
        ended=_time_of_first(submitted, filter(_is_ended, events)),
        longest=max((run.events for run in needed), default=0),
        slowest=_item_runs(submitted, events, runs, last),
    )


def _is_ended(event: StepEvent) -> bool:
    return isinstance(event, Ended)


def _time_of_first(
    submitted: Submitted, events: Iterable[StepEvent]
) -> dt.timedelta | None:
    found = next(iter(events), None)
    return None if found is None else found.at - submitted.at


def _build_run(submitted: Submitted, event: RunEnded) -> ItemRun:
    ended = event.at - submitted.at
    return ItemRun(
        event.item,
        event.upstream,
        ended - dt.timedelta(milliseconds=event.took_ms),
        ended,
        event.end,
        event.events,
    )


def _needed_runs(
    runs: Iterable[ItemRun], listed: dt.timedelta | None
) -> list[ItemRun]:
    """Return the complete runs that ended before their step was listed."""
    return [
        run
        for run in runs
        if run.end == _COMPLETED and (listed is None or run.ended <= listed)
    ]


def _shown_after(
    submitted: Submitted,
    events: Iterable[StepEvent],
    listed: dt.timedelta | None,
) -> Iterator[Shown]:
    for event in events:
        if listed is None or not isinstance(event, Shown):
            continue
        if event.at - submitted.at >= listed:
            yield event


def _item_runs(
    submitted: Submitted,
    events: Iterable[StepEvent],
    runs: Iterable[ItemRun],
    last: ItemRun | None,
) -> tuple[ItemRun, ...]:
    """Return all runs of the item of `last`.

    A run from which the item was moved has no log line of its end. It ends
    with the move, and begins with the end of the run before.
    """
    if last is None:
        return ()
    found = [run for run in runs if run.item == last.item]
    for event in events:
        if isinstance(event, Moved) and event.item == last.item:
            left = event.at - submitted.at
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
