"""When results are listed that a trainer can't go on with yet.

Load pattern: a trainer waits until so many groups of a step are whole, and
reads it at most once in half a second; each read returns as soon as it has
a result. Groups end in a trickle, the last one that is needed some seconds
behind the first. One that is listed just before it takes the read that
waits, and the trainer comes back up to half a second later for the rest.
"""

from __future__ import annotations

import datetime as dt
from typing import Final

import msgspec

#: How long results are held back for the target at the most. It is twice the
#: pause between two reads, so that the read which the target ends has begun
#: half a second before; held longer, one that waits a second ends empty.
_LONGEST_HOLD_S: Final = 1
LONGEST_HOLD: Final = dt.timedelta(seconds=_LONGEST_HOLD_S)
_NO_TIME: Final = dt.timedelta()


class TargetProgress(msgspec.Struct, frozen=True):
    """How far a step is from what its trainer waits for.

    Groups that came again from an earlier step are all waited for; of the
    others any will do.
    """

    #: How many other groups are missing.
    missing: int
    #: How long each of those that came again and is not whole takes yet.
    again: tuple[dt.timedelta, ...]
    #: The same for the others.
    others: tuple[dt.timedelta, ...]

    @property
    def reached(self) -> bool:
        """Whether the trainer can go on."""
        return self.missing <= 0 and not self.again

    def time_left(self) -> dt.timedelta | None:
        """Return how long the target takes yet; None if it can't be met."""
        if self.missing > len(self.others):
            return None
        needed = sorted(self.others)[: max(self.missing, 0)]
        return max((*self.again, *needed), default=_NO_TIME)


def holds(
    progress: TargetProgress, held: dt.timedelta, due_in: dt.timedelta
) -> bool:
    """Return whether results that are whole should wait for the target.

    Failure: results are listed a moment before the one that ends the step.
    Symptom: the trainer reads the last one half a second late on average,
    and a trainer whose steps take as long as it has for them falls behind
    for good. Nothing waits for longer than ``LONGEST_HOLD`` or beyond the
    step's due time, so what a wrong guess costs is bounded.

    Parameters
    ----------
    progress
        What the trainer still waits for.
    held
        How long the results have waited.
    due_in
        How long it is until the step is due.
    """
    if progress.reached or due_in <= _NO_TIME:
        return False
    left = progress.time_left()
    return left is not None and held + left <= LONGEST_HOLD
