"""How far a job that runs here is from what its trainer waits for."""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

from bergamotdoor.jobs.listing import TargetProgress

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bergamotdoor.jobs.messages import JobSpec
    from bergamotdoor.jobs.progress import Speeds
    from bergamotdoor.steps.job_run import JobRun
    from bergamotdoor.types import GroupId, ItemId

#: Of an item that waits for a slot or a score, or came without a hint:
#: longer than any hold.
_UNKNOWN: Final = dt.timedelta(days=1)


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


def target_progress(
    run: JobRun, again: frozenset[GroupId], speeds: Speeds
) -> TargetProgress:
    """Return what a job's trainer waits for yet.

    Parameters
    ----------
    run
        The job.
    again
        Its groups that came again, see ``groups_again``.
    speeds
        How fast its engines are.
    """
    groups = {item.group for item in run.spec.items}
    waits = {
        group: max(_waits(run, items, speeds))
        for group, items in run.items.board.open_groups().items()
    }
    other_groups = groups - again
    whole = len(other_groups - waits.keys())
    return TargetProgress(
        missing=run.spec.target_groups - len(again) - whole,
        again=tuple(wait for group, wait in waits.items() if group in again),
        others=tuple(
            wait for group, wait in waits.items() if group in other_groups
        ),
    )


def _waits(
    run: JobRun, items: Iterable[ItemId], speeds: Speeds
) -> Iterable[dt.timedelta]:
    for item in items:
        running = run.running.get(item)
        if running is None or not running.progress.estimated:
            yield _UNKNOWN
            continue
        progress = running.progress
        interval_s = speeds.interval_s(progress.upstream)
        yield dt.timedelta(seconds=progress.likely_remaining * interval_s)
