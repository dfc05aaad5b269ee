"""What the open items of a job still need: slot time, and time by itself.

Load pattern: the items of the open steps of one or more trainers are more
than the engines can run before the steps are due. A slot generates the events
of an item one after the other, so a group needs slot time for all of its
items, and at least the time that its longest item takes on a fast engine.
"""

from __future__ import annotations

import datetime as dt
from collections import defaultdict
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.types import GroupId, ItemId, JobId, UpstreamId

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Expected number of events of an item if the job has no length hint at all.
DEFAULT_EVENTS: Final = 20
#: How many more events an item is expected to have once it has outgrown its
#: length hint, as a share of its events so far.
_OVERRUN_SHARE: Final = 0.5
#: The most events that an item is expected to have; at the usual interval
#: they take half a day.
_MAX_EVENTS: Final = 1_000_000
#: Lower bound of an event interval. No engine generates a thousand events of
#: an item in a second.
_LEAST_INTERVAL_S: Final = 0.001


class OpenItem(msgspec.Struct, frozen=True):
    """Item that waits or runs, or whose text waits for a score."""

    item: ItemId
    group: GroupId
    #: Expected number of events that the item still lacks.
    events: float
    #: Event interval, in seconds, of the engine that runs the item; of the
    #: fastest eligible engine while it waits.
    interval_s: float


class OpenJob(msgspec.Struct, frozen=True):
    """Inputs of the forecast of one job."""

    job: JobId
    #: Time left until the step is due; negative if it is overdue.
    due_in: dt.timedelta
    #: Engines that run the items of the job; empty if none is known.
    engines: frozenset[UpstreamId]
    #: The open items, in the order of the job.
    items: tuple[OpenItem, ...]
    #: Event intervals of the engines, in seconds: over all of their slots,
    #: and of the fastest one.
    usual_interval_s: float
    fast_interval_s: float
    #: Groups that an earlier job had too. The trainer needs each of them.
    resubmitted_groups: frozenset[GroupId]
    #: How many of the other open groups the target of the job still lacks.
    missing_others: int
    #: An item that lacks more events than this is long.
    long_events: float = 0


class GroupWork(msgspec.Struct, frozen=True):
    """What an open group still needs."""

    group: GroupId
    #: Slot time of all of its open items.
    work: dt.timedelta
    #: Time that its longest item needs on the fastest eligible engine.
    longest: dt.timedelta
    #: Time that its longest item needs where it runs now.
    ends_in: dt.timedelta
    #: Whether the target of the job lacks this group.
    is_needed: bool


def work_of_groups(job: OpenJob) -> tuple[GroupWork, ...]:
    """Return what each open group of a job still needs.

    The target lacks each resubmitted group, and of the other groups those
    whose longest items are the shortest.
    """
    by_group: defaultdict[GroupId, list[OpenItem]] = defaultdict(list)
    for item in job.items:
        by_group[item.group].append(item)
    works = [_measure(job, *entry) for entry in by_group.items()]
    others = sorted(
        (one for one in works if not one.is_needed), key=_shortest_first
    )
    needed = {one.group for one in others[: job.missing_others]}
    return tuple(
        msgspec.structs.replace(one, is_needed=True)
        if one.group in needed
        else one
        for one in works
    )


def mean_hint(hints: Iterable[float]) -> float:
    """Return the mean of the known length hints, in events.

    Parameters
    ----------
    hints
        Hints of the items of a job, in events; 0 for an item without one.

    Returns
    -------
    float
        ``DEFAULT_EVENTS`` if no hint is known.
    """
    known = [hint for hint in hints if hint]
    return sum(known) / len(known) if known else DEFAULT_EVENTS


def usual_interval_s(engines: Iterable[tuple[int, float]]) -> float:
    """Return the mean event interval over all slots, in seconds.

    Failure: a process is paused, and then receives several events of an
    engine in one moment. Symptom: the measured interval is zero, and the plan
    of all jobs ends with a division by zero. So a lower bound is used.

    Parameters
    ----------
    engines
        Number of slots and event interval, in seconds, of each engine.

    Returns
    -------
    float
        0 if there are no engines.
    """
    known = tuple(engines)
    events_s = sum(
        slots / max(interval_s, _LEAST_INTERVAL_S)
        for slots, interval_s in known
    )
    return sum(slots for slots, _ in known) / events_s if events_s else 0


def events_of(tokens: int, tokens_per_event: float) -> float:
    """Return the number of events of a number of tokens, within bounds.

    Failure: a trainer sends an absurd length hint, or a manifest states no
    tokens for an event. Symptom: the forecast overflows or divides by zero,
    the owner's task ends, and all jobs of the entry stop.

    Parameters
    ----------
    tokens
        Number of tokens.
    tokens_per_event
        Number of tokens in one event; at least one is assumed.
    """
    return min(tokens / max(tokens_per_event, 1), _MAX_EVENTS)


def estimate_remaining(expected: float, events: int, most: float) -> float:
    """Return the expected number of events that an item still lacks.

    This is the best estimate. ``progress.remaining_events``, by which items
    move, never expects less than half of the events so far.

    Parameters
    ----------
    expected
        Expected number of events of the item.
    events
        Number of events that it has.
    most
        Maximum number of events of the item; 0 if it is not known.
    """
    missing = expected - events
    if missing <= 0:
        missing = events * _OVERRUN_SHARE
    return min(missing, max(most - events, 0)) if most else missing


def _measure(job: OpenJob, group: GroupId, items: list[OpenItem]) -> GroupWork:
    events = sum(item.events for item in items)
    longest = max(item.events for item in items)
    return GroupWork(
        group,
        dt.timedelta(seconds=events * job.usual_interval_s),
        dt.timedelta(seconds=longest * job.fast_interval_s),
        dt.timedelta(
            seconds=max(item.events * item.interval_s for item in items)
        ),
        group in job.resubmitted_groups,
    )


def _shortest_first(
    one: GroupWork,
) -> tuple[dt.timedelta, dt.timedelta, GroupId]:
    return (one.longest, one.work, one.group)
