"""When results are listed that a trainer can't go on with yet.

Load pattern: a trainer waits until so many groups of a step are whole. It
begins a read each half second at most; a read waits for a second, and returns
as soon as it has a result. Groups end in a trickle, the last one that is
needed some seconds behind the first. Listed one by one, each of the last ones
takes the read that waits, and the group that ends the step comes half a
second too early for the next one.
"""

from __future__ import annotations

import datetime as dt
from typing import Final

import msgspec

#: How long results are held back for the target at the most. It is twice the
#: pause between two reads: the read which waits when the target is reached
#: has mostly begun half a second before, so the step ends with it. A read
#: waits as long, so a longer hold would gain nothing.
_LONGEST_HOLD_S: Final = 1
LONGEST_HOLD: Final = dt.timedelta(seconds=_LONGEST_HOLD_S)
#: The share of the target that is missing at the most while results are
#: held. The last quarter of the groups ends within a second or two; before
#: that readers get each group as soon as it is whole.
_LAST_SHARE: Final = 0.25
_NO_TIME: Final = dt.timedelta()


class Target(msgspec.Struct, frozen=True):
    """How far a step is from what its trainer waits for."""

    #: How many whole groups the trainer wants.
    groups: int
    #: How many of them are not whole.
    missing: int

    @property
    def reached(self) -> bool:
        """Whether the trainer can go on."""
        return self.missing <= 0

    @property
    def near(self) -> bool:
        """Whether only its last groups are missing."""
        return 0 < self.missing <= self.groups * _LAST_SHARE


def holds(target: Target, held: dt.timedelta, due_in: dt.timedelta) -> bool:
    """Return whether results that are whole should wait for others.

    Failure: results are listed a moment before those that end the step.
    Symptom: the trainer reads the last ones half a second late on average,
    and a trainer whose steps take as long as it has for them falls behind
    for good. Nothing waits for longer than ``LONGEST_HOLD`` or beyond the
    step's due time, and nothing once the trainer can go on.

    Parameters
    ----------
    target
        What the trainer waits for.
    held
        How long the results have waited.
    due_in
        How long it is until the step is due.
    """
    return target.near and due_in > _NO_TIME and held < LONGEST_HOLD
