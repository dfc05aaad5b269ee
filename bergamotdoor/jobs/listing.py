"""Decision whether complete groups wait until the trainer's target is met.

Load pattern: a trainer waits until a target number of a step's groups is
complete. It begins a read every half second at most. A read waits for up to a
second and returns as soon as it has a result. Groups become complete one
after the other, and the last one that the trainer needs some seconds after
the first. If the last groups were listed one by one, each would end the read
that waits, and the group that completes the target would be listed half a
second before the next read begins.
"""

from __future__ import annotations

import datetime as dt
from typing import Final

import msgspec

#: How long results wait for the target at most. This is twice the pause
#: between two reads: the read that waits when the target is reached has
#: usually begun half a second before, so it returns the end of the step. A
#: read waits no longer than this, so a longer hold would gain nothing.
_LONGEST_HOLD_S: Final = 1
LONGEST_HOLD: Final = dt.timedelta(seconds=_LONGEST_HOLD_S)
#: Results are held while at most this share of the target is missing. The
#: last quarter of the groups becomes complete within a second or two. Before
#: that, each group is listed as soon as it is complete.
_LAST_GROUPS_SHARE: Final = 0.25
_ZERO: Final = dt.timedelta()


class Target(msgspec.Struct, frozen=True):
    """Number of complete groups that a trainer waits for."""

    #: How many complete groups the trainer wants.
    groups: int
    #: How many more groups have to become complete.
    missing: int

    @property
    def is_reached(self) -> bool:
        """Whether all groups that the trainer waits for are complete."""
        return self.missing <= 0

    @property
    def is_near(self) -> bool:
        """Whether only the last groups of the target are missing."""
        return 0 < self.missing <= self.groups * _LAST_GROUPS_SHARE


def should_hold(
    target: Target, held_for: dt.timedelta, due_in: dt.timedelta
) -> bool:
    """Return whether results of complete groups should wait for others.

    Failure: results are listed shortly before those that complete the target.
    Symptom: the trainer reads the last ones half a second late on average,
    and a trainer whose steps take all the time that it has for them never
    catches up. Results wait no longer than ``LONGEST_HOLD`` and not beyond
    the due time of the step. Once the target is reached, no result waits.

    Parameters
    ----------
    target
        The groups that the trainer waits for.
    held_for
        How long the results have waited.
    due_in
        Time left until the step is due; negative if it is overdue.
    """
    return target.is_near and due_in > _ZERO and held_for < LONGEST_HOLD
