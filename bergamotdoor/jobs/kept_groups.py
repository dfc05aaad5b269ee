"""Which groups of the open jobs are kept, and which are deferred.

Load pattern: the items of the open steps of one or more trainers are more
than the engines can run before the steps are due. If the engines worked on
all groups, all steps would end late together. Instead the largest number of
groups that can be complete on time is kept, and the others are deferred: their
items start when no kept item waits.
"""

from __future__ import annotations

import datetime as dt
import heapq
from collections.abc import Mapping, Sequence
from typing import Final, TypeAlias

import msgspec

from bergamotdoor.jobs.open_work import GroupWork, OpenJob
from bergamotdoor.types import GroupId, JobId, UpstreamId

#: Identifies a group among those of all jobs.
GroupKey: TypeAlias = tuple[JobId, GroupId]
Works: TypeAlias = Mapping[JobId, Sequence[GroupWork]]
_Engines: TypeAlias = frozenset[UpstreamId]
#: Work of a group with a minus sign, the group, and its eligible engines.
_Added: TypeAlias = tuple[dt.timedelta, GroupKey, _Engines]
_ZERO: Final = dt.timedelta()


class Pool(msgspec.Struct, frozen=True):
    """Jobs that share engines, and the engines that they share."""

    #: The jobs in the order of their due times.
    jobs: tuple[OpenJob, ...]
    #: Number of slots of each set of engines that jobs are eligible for, and
    #: of all engines of the pool.
    slots: dict[_Engines, int]


def find_pools(
    jobs: Sequence[OpenJob], slots: Mapping[UpstreamId, int]
) -> tuple[Pool, ...]:
    """Divide the jobs into pools that have no engine in common.

    Parameters
    ----------
    jobs
        The open jobs. Those without engines are in no pool.
    slots
        Number of slots of each engine that other processes do not use.
    """
    unions: list[_Engines] = []
    for job in filter(_has_engines, jobs):
        apart = [one for one in unions if not one & job.engines]
        joined = [one for one in unions if one & job.engines]
        unions = [*apart, job.engines.union(*joined)]
    return tuple(_pool(union, jobs, slots) for union in unions)


def choose_kept_groups(
    pools: Sequence[Pool], works: Works
) -> frozenset[GroupKey]:
    """Return the groups that are kept.

    Failure: engines work on groups that cannot be complete on time. Symptom:
    beyond capacity, all steps end late together. Groups that cannot be
    complete on time, since their longest item takes too long or their step is
    overdue, are kept only if there are others that all fit behind them: their
    trainers wait for them. If the others do not all fit by themselves, the
    groups beyond the targets are deferred, those with the longest items
    before others, until the rest fits. If the rest still does not fit, the
    largest number of groups that does is kept (Moore's algorithm).

    Parameters
    ----------
    pools
        The jobs by the engines that they share.
    works
        The open groups of each job.
    """
    kept: set[GroupKey] = set()
    for pool in pools:
        kept.update(_kept_in_pool(pool, works))
    return frozenset(kept)


def _kept_in_pool(pool: Pool, works: Works) -> set[GroupKey]:
    possible = {
        job.job: {
            one.group: one
            for one in works[job.job]
            if one.longest <= job.due_in
        }
        for job in pool.jobs
    }
    late_work = _late_work(pool, works, possible)
    if any(possible.values()) and _fits(pool, possible, late_work):
        return {
            (job.job, one.group) for job in pool.jobs for one in works[job.job]
        }
    for beyond_job, beyond_group in _beyond_targets(possible):
        if _fits(pool, possible):
            break
        possible[beyond_job].pop(beyond_group)
    if not _fits(pool, possible):
        _defer_most_work(pool, possible)
    return {
        (job, group) for job, groups in possible.items() for group in groups
    }


def _late_work(
    pool: Pool,
    works: Works,
    possible: Mapping[JobId, Mapping[GroupId, GroupWork]],
) -> dict[JobId, dt.timedelta]:
    """Return the work of each job's groups that cannot be on time."""
    return {
        job.job: sum(
            (
                one.work
                for one in works[job.job]
                if one.group not in possible[job.job]
            ),
            _ZERO,
        )
        for job in pool.jobs
    }


def _beyond_targets(
    possible: Mapping[JobId, Mapping[GroupId, GroupWork]],
) -> list[GroupKey]:
    """Return groups beyond the targets, those with the longest items first."""
    beyond = [
        (one.longest, one.work, job, one.group)
        for job, groups in possible.items()
        for one in groups.values()
        if not one.is_needed
    ]
    return [(job, group) for *_, job, group in sorted(beyond, reverse=True)]


def _fits(
    pool: Pool,
    kept: Mapping[JobId, Mapping[GroupId, GroupWork]],
    late_work: Mapping[JobId, dt.timedelta] | None = None,
) -> bool:
    """Return whether all kept groups can be complete on time.

    Each set of engines has to do the work of the jobs that can run nowhere
    else, in the order of due times.

    Parameters
    ----------
    pool
        The jobs.
    kept
        The kept groups of each job.
    late_work
        Work of each job that is done before that of the kept groups.
    """
    own = {
        job: sum((one.work for one in groups.values()), _ZERO)
        for job, groups in kept.items()
    }
    late = late_work or {}
    return all(
        _is_done_in_time(
            pool.jobs,
            own,
            engines,
            slots,
            sum(
                (
                    late.get(job.job, _ZERO)
                    for job in pool.jobs
                    if job.engines <= engines
                ),
                _ZERO,
            ),
        )
        for engines, slots in pool.slots.items()
    )


def _is_done_in_time(
    jobs: Sequence[OpenJob],
    own: Mapping[JobId, dt.timedelta],
    engines: _Engines,
    slots: int,
    ahead: dt.timedelta,
) -> bool:
    for job in jobs:
        if own[job.job] and job.engines <= engines:
            ahead += own[job.job]
            if ahead > job.due_in * slots:
                return False
    return True


def _defer_most_work(
    pool: Pool, kept: Mapping[JobId, dict[GroupId, GroupWork]]
) -> None:
    """Remove groups until the others can be complete on time.

    The groups are added in the order of due times. Whenever those added so
    far do not fit, the one with the most work is removed, so that the number
    of the others is the largest possible one (Moore, 1968).
    """
    added = _AddedGroups(pool)
    for job in pool.jobs:
        for one in tuple(kept[job.job].values()):
            for late_job, late_group in added.add(job, one):
                kept[late_job].pop(late_group)


class _AddedGroups:
    """Groups that were added and not removed, with their work by engines."""

    def __init__(self, pool: Pool) -> None:
        self._slots = pool.slots
        self._ahead = dict.fromkeys(pool.slots, _ZERO)
        #: Heaps of the groups by their work, the largest first. A group that
        #: was removed stays in the heaps of other sets of engines.
        self._heaps: dict[_Engines, list[_Added]] = {
            engines: [] for engines in pool.slots
        }
        self._removed: set[GroupKey] = set()

    def add(self, job: OpenJob, one: GroupWork) -> list[GroupKey]:
        """Add a group; return the groups that are removed in turn."""
        key = (job.job, one.group)
        within = [engines for engines in self._slots if job.engines <= engines]
        for engines in within:
            self._ahead[engines] += one.work
            heapq.heappush(self._heaps[engines], (-one.work, key, job.engines))
        removed = []
        for engines in within:
            while self._ahead[engines] > job.due_in * self._slots[engines]:
                removed.append(self._remove_largest(engines))
        return removed

    def _remove_largest(self, engines: _Engines) -> GroupKey:
        minus_work, key, eligible = heapq.heappop(self._heaps[engines])
        while key in self._removed:
            minus_work, key, eligible = heapq.heappop(self._heaps[engines])
        self._removed.add(key)
        for one in self._ahead:
            if eligible <= one:
                self._ahead[one] += minus_work
        return key


def _has_engines(job: OpenJob) -> bool:
    return bool(job.engines)


def due_order(job: OpenJob) -> tuple[dt.timedelta, JobId]:
    """Return the sort key of jobs in the order of their due times."""
    return (job.due_in, job.job)


def _pool(
    union: _Engines, jobs: Sequence[OpenJob], slots: Mapping[UpstreamId, int]
) -> Pool:
    members = sorted(
        (job for job in jobs if job.engines and job.engines <= union),
        key=due_order,
    )
    # Without a free slot the work would take infinitely long. The requests
    # of other processes end, so one slot is assumed.
    return Pool(
        tuple(members),
        {
            engines: max(sum(slots.get(one, 0) for one in engines), 1)
            for engines in (union, *(job.engines for job in members))
        },
    )
