"""How many groups the trainer of a running job still waits for."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bergamotdoor.jobs.listing import Target

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bergamotdoor.jobs.messages import JobSpec
    from bergamotdoor.steps.job_run import JobRun
    from bergamotdoor.types import GroupId


def find_resubmitted_groups(
    spec: JobSpec, earlier: Iterable[JobSpec]
) -> frozenset[GroupId]:
    """Return the groups of a job that an earlier job of its model had too.

    Parameters
    ----------
    spec
        The job.
    earlier
        Jobs that were submitted before it; those of other models are ignored.
    """
    before = {
        item.group
        for one in earlier
        if one.model == spec.model and one.job != spec.job
        for item in one.items
    }
    return frozenset(item.group for item in spec.items) & before


def target_of(run: JobRun, resubmitted_groups: frozenset[GroupId]) -> Target:
    """Return the target of a job, and how many groups are missing from it.

    Parameters
    ----------
    run
        The job.
    resubmitted_groups
        Groups of the job that an earlier job had too, see
        ``find_resubmitted_groups``.
        The trainer waits for each of these groups. For the rest of the target
        it waits for any of the other groups.
    """
    open_groups = _open_groups(run)
    missing_others = count_missing_others(run, resubmitted_groups)
    missing = len(resubmitted_groups & open_groups) + missing_others
    return Target(run.spec.target_groups, missing)


def _open_groups(run: JobRun) -> frozenset[GroupId]:
    unfinished = run.items.item_queue.unfinished()
    return frozenset(queued.spec.group for queued in unfinished)


def count_missing_others(
    run: JobRun, resubmitted_groups: frozenset[GroupId]
) -> int:
    """Return how many groups besides the resubmitted ones a target lacks.

    Parameters
    ----------
    run
        The job.
    resubmitted_groups
        Groups of the job that an earlier job had too.
    """
    others = {item.group for item in run.spec.items} - resubmitted_groups
    complete = others - _open_groups(run)
    wanted = run.spec.target_groups - len(resubmitted_groups)
    return max(wanted - len(complete), 0)
