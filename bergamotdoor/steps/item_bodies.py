"""Request bodies of items, and the reasons for which an owner denies one."""

from __future__ import annotations

import enum
import logging
from typing import TYPE_CHECKING

from bergamotdoor.stored import Outcome

if TYPE_CHECKING:
    from bergamotdoor.steps.job_run import JobRun
    from bergamotdoor.types import ItemId

_log = logging.getLogger('bergamotdoor.gateway')


class Denial(enum.Enum):
    """The reason for which an item's body is permanently unavailable."""

    ENDED = 'the job has ended'
    LISTED = 'the item is listed'
    UNKNOWN = 'the job has no such item'


def body_of(run: JobRun, item: ItemId) -> bytes | Outcome:
    """Return the request body of an item; ABSENT if it is denied.

    A body is denied if the job has ended, the item is listed already or the
    job has no such item. The owner logs the reason, since the entry that
    forwarded the request only learns that there is no body.
    """
    bodies = (one.body for one in run.spec.items if one.item == item)
    body = _denial_reason(run, item) or next(bodies, Denial.UNKNOWN)
    if not isinstance(body, Denial):
        return body
    _log.info(
        'gateway: job %s: no body of item %s: %s; run %s, term %d, %d of %d'
        ' listed',
        run.spec.job,
        item,
        body.value,
        run.state.value,
        run.stored_job.record.term,
        len(run.ledger),
        len(run.spec.items),
    )
    return Outcome.ABSENT


def _denial_reason(run: JobRun, item: ItemId) -> Denial | None:
    if run.ended:
        return Denial.ENDED
    return Denial.LISTED if item in run.ledger else None
