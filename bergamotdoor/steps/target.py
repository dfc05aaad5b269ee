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
    open_groups = run.items.item_queue.open_groups
    others = {item.group for item in run.spec.items} - resubmitted_groups
    wanted = run.spec.target_groups
    missing_others = (
        wanted - len(resubmitted_groups) - len(others - open_groups)
    )
    missing = len(resubmitted_groups & open_groups) + max(missing_others, 0)
    return Target(wanted, missing)
