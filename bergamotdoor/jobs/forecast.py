"""Forecast of each open job, and the order in which items start.

Load pattern: the items of the open steps of one or more trainers are more
than the engines can run before the steps are due. A short item of an earlier
step can wait, while a long item of a newer step takes nearly all the time
that its step has. So long items start first, in the order of the latest time
at which they have to start. The others start by due time and group by group,
so that groups become complete one after the other. Items of groups that
cannot be complete on time, or that no trainer waits for, start when no other
item waits.
"""

from __future__ import annotations

import datetime as dt
import math
from typing import TYPE_CHECKING, Any, Final, TypeAlias

import msgspec

from bergamotdoor.jobs.kept_groups import (
    GroupKey,
    Pool,
    Works,
    choose_kept_groups,
    due_order,
    find_pools,
)
from bergamotdoor.jobs.open_work import GroupWork, OpenJob, work_of_groups
from bergamotdoor.types import GroupId, ItemId, JobId

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

    from bergamotdoor.types import UpstreamId

#: Sort key of an item, its job, and the item.
_Entry: TypeAlias = tuple[tuple[Any, ...], JobId, ItemId]
_ZERO: Final = dt.timedelta()


class JobForecast(msgspec.Struct, frozen=True):
    """When the target of a job can be complete, and which groups are kept."""

    kept: frozenset[GroupId]
    deferred: frozenset[GroupId]
    due_in: dt.timedelta
    #: Time until the target can be complete; ``None`` if no engine is known.
    target_in: dt.timedelta | None

    @property
    def is_late(self) -> bool:
        """Whether the target is expected to be complete after the due time."""
        return self.target_in is not None and self.target_in > self.due_in


class StepPlan(msgspec.Struct, frozen=True):
    """Decisions for all open jobs of an owner."""

    forecasts: dict[JobId, JobForecast] = {}
    #: Place of each open item in the start order of all jobs.
    ranks: dict[JobId, dict[ItemId, int]] = {}


def plan_steps(
    jobs: Sequence[OpenJob], slots: Mapping[UpstreamId, int]
) -> StepPlan:
    """Decide which groups are kept, and the order of all items.

    Parameters
    ----------
    jobs
        The open jobs.
    slots
        Number of slots of each engine that other processes do not use.
    """
    works = {job.job: work_of_groups(job) for job in jobs}
    pools = find_pools(jobs, slots)
    kept = choose_kept_groups(pools, works).union(
        (job.job, one.group)
        for job in jobs
        if not job.engines
        for one in works[job.job]
    )
    ranks: dict[JobId, dict[ItemId, int]] = {job.job: {} for job in jobs}
    ahead = {job.job: _work_ahead_s(job, jobs, works, slots) for job in jobs}
    for rank, (owner, item) in enumerate(
        _start_order(jobs, works, kept, ahead)
    ):
        ranks[owner][item] = rank
    kept_work = {job.job: _kept_work(job, works, kept) for job in jobs}
    target_times = {
        job.job: _target_in(job, pool, works[job.job], kept, kept_work)
        for pool in pools
        for job in pool.jobs
    }
    return StepPlan(
        {
            job.job: _forecast(
                job, works[job.job], kept, target_times.get(job.job)
            )
            for job in jobs
        },
        ranks,
    )


def _forecast(
    job: OpenJob,
    groups: Sequence[GroupWork],
    kept: frozenset[GroupKey],
    target_in: dt.timedelta | None,
) -> JobForecast:
    names = frozenset(one.group for one in groups)
    kept_names = frozenset(name for name in names if (job.job, name) in kept)
    return JobForecast(kept_names, names - kept_names, job.due_in, target_in)


def _start_order(
    jobs: Sequence[OpenJob],
    works: Works,
    kept: frozenset[GroupKey],
    ahead: Mapping[JobId, float],
) -> Iterator[tuple[JobId, ItemId]]:
    """Yield all items: long ones, other kept ones, then the deferred ones.

    Failure: the items of the step that is due first always start first.
    Symptom: a long item of a new step waits for slots that short items of an
    earlier step occupy, which have time, and the new step ends late.

    Failure: short items start by their length as well. Symptom: all groups of
    a step become complete at its end, and a delay of half a second makes all
    of them late.

    Deferred groups that a target lacks come before others, and those with
    the least work first, so that each group is served whole.
    """
    entries: list[_Entry] = []
    fits = len(kept) == sum(len(groups) for groups in works.values())
    for job in jobs:
        # A long item counts as urgent in any case while not all groups fit.
        ahead_s = ahead[job.job] if fits else math.inf
        entries.extend(_entries_of(job, works[job.job], kept, ahead_s))
    for _, owner, name in sorted(entries):
        yield owner, name


def _entries_of(
    job: OpenJob,
    groups: Sequence[GroupWork],
    kept: frozenset[GroupKey],
    ahead_s: float,
) -> Iterator[_Entry]:
    """Yield the items of a job, each with its sort key.

    A long item is urgent if it would be late behind the work of the jobs that
    are due earlier, which takes `ahead_s` seconds. All other items are served
    in the order of the due times of their jobs, long ones first.
    """
    deferred = {
        one.group: (1, not one.is_needed, one.work, job.job, one.group)
        for one in groups
        if (job.job, one.group) not in kept
    }
    due_s = job.due_in.total_seconds()
    key: tuple[Any, ...]
    for number, item in enumerate(job.items):
        latest_s = due_s - item.events * job.fast_interval_s
        prefix = deferred.get(item.group, ())
        is_long = item.events > job.long_events
        if prefix:
            key = (*prefix, latest_s, number)
        elif is_long and latest_s < ahead_s:
            key = (0, False, latest_s, due_s, job.job, number)
        else:
            key = (0, True, due_s, job.job, not is_long, number)
        yield key, job.job, item.item


def _work_ahead_s(
    job: OpenJob,
    jobs: Sequence[OpenJob],
    works: Works,
    slots: Mapping[UpstreamId, int],
) -> float:
    """Return how long the engines of a job work for jobs that are due earlier.

    The result is in seconds.
    """
    ahead = sum(
        (
            one.work
            for other in jobs
            if due_order(other) < due_order(job) and other.engines & job.engines
            for one in works[other.job]
        ),
        _ZERO,
    )
    count = sum(slots.get(one, 0) for one in job.engines)
    return ahead.total_seconds() / max(count, 1)


def _target_in(
    job: OpenJob,
    pool: Pool,
    groups: Sequence[GroupWork],
    kept: frozenset[GroupKey],
    kept_work: Mapping[JobId, dt.timedelta],
) -> dt.timedelta:
    """Return by when the target of a job can be complete.

    This is the later of the time in which the slots do all the work ahead,
    and of the time that the longest item needed by the target takes by
    itself. The work ahead is the kept work of jobs that are due earlier, and
    the job's own. If the target lacks a deferred group, the kept work of all
    jobs is ahead.
    """
    needed = [one for one in groups if one.is_needed]
    own = sum((one.work for one in needed), _ZERO)
    all_kept = all((job.job, one.group) in kept for one in needed)
    before = [
        other
        for other in pool.jobs
        if other.job != job.job
        and (not all_kept or due_order(other) < due_order(job))
    ]
    times = [one.ends_in for one in needed]
    for engines, slots in pool.slots.items():
        if job.engines <= engines:
            ahead = (
                kept_work[other.job]
                for other in before
                if other.engines <= engines
            )
            times.append(sum(ahead, own) / slots)
    return max(times) if needed else _ZERO


def _kept_work(
    job: OpenJob, works: Works, kept: frozenset[GroupKey]
) -> dt.timedelta:
    return sum(
        (one.work for one in works[job.job] if (job.job, one.group) in kept),
        _ZERO,
    )
