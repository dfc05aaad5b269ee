"""The failures that trainers are told of."""

from __future__ import annotations

from typing import Final

from bergamotdoor.store.protocols import StoreFailure, StoreProblem
from bergamotdoor.verdict import Failure, Reason, Verdict

RETRY_MS: Final = 1000


def store_failure(found: StoreFailure) -> Failure:
    """Return what a failed store call means to a trainer.

    Each request of a trainer may be repeated, also after MAY_HAVE_RUN.
    """
    unclear = found.problem is StoreProblem.UNKNOWN
    return Failure(
        Verdict.MAY_HAVE_RUN if unclear else Verdict.NOT_RUN,
        Reason.STORE_UNAVAILABLE,
        found.detail,
        RETRY_MS,
    )


def refused(
    reason: Reason, detail: str, retry_after_ms: int | None = None
) -> Failure:
    """Return a failure of a request that changed nothing."""
    return Failure(Verdict.NOT_RUN, reason, detail, retry_after_ms)
