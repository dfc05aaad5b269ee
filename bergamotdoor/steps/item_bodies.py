"""Which items' bodies an owner gives, and why it denies others."""

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
    """Why there is no body of an item for good."""

    ENDED = 'the job has ended'
    LISTED = 'the item is listed'
    UNKNOWN = 'the job has no such item'


def body_of(run: JobRun, item: ItemId) -> bytes | Outcome:
    """Return the body of an item that is not listed, else ABSENT.

    Each denial is logged where it is decided: the entry that was asked
    knows no more than that there is none.
    """
    bodies = (one.body for one in run.spec.items if one.item == item)
    found = _denial(run, item) or next(bodies, Denial.UNKNOWN)
    if not isinstance(found, Denial):
        return found
    _log.info(
        'gateway: job %s: no body of item %s: %s; run %s, term %d, %d of %d'
        ' listed',
        run.spec.job,
        item,
        found.value,
        run.state.value,
        run.found.record.term,
        len(run.ledger),
        len(run.spec.items),
    )
    return Outcome.ABSENT


def _denial(run: JobRun, item: ItemId) -> Denial | None:
    if run.ended:
        return Denial.ENDED
    return Denial.LISTED if item in run.ledger else None
