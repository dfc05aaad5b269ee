"""How far a job that runs here is from what its trainer waits for."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bergamotdoor.jobs.listing import Target

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bergamotdoor.jobs.messages import JobSpec
    from bergamotdoor.steps.job_run import JobRun
    from bergamotdoor.types import GroupId


def groups_again(
    spec: JobSpec, earlier: Iterable[JobSpec]
) -> frozenset[GroupId]:
    """Return the groups of a job that jobs before it had as well."""
    before = {
        item.group
        for one in earlier
        if one.model == spec.model and one.job != spec.job
        for item in one.items
    }
    return frozenset(item.group for item in spec.items) & before


def target_of(run: JobRun, again: frozenset[GroupId]) -> Target:
    """Return what a job's trainer waits for yet.

    Parameters
    ----------
    run
        The job.
    again
        Its groups that came again, see ``groups_again``. The trainer waits
        for each of them; of the others any will do.
    """
    open_groups = run.items.board.open_groups
    others = {item.group for item in run.spec.items} - again
    wanted = run.spec.target_groups
    missing_others = wanted - len(again) - len(others - open_groups)
    missing = len(again & open_groups) + max(missing_others, 0)
    return Target(wanted, missing)
