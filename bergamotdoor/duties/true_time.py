"""True time, for windows that all processes must cut alike."""

from __future__ import annotations

import datetime as dt
from typing import Final

from bergamotdoor.duties.usage import UNIX_EPOCH

#: A wall clock that is set by more than this at once has jumped, or jumped
#: back. Its drift against the steady clock is far smaller.
_JUMP_MS: Final = 300
_JUMP: Final = dt.timedelta(milliseconds=_JUMP_MS)
#: How long a jump must last until it is taken for the truth.
_LASTING_S: Final = 60
_LASTING: Final = dt.timedelta(seconds=_LASTING_S)


class TrueTime:
    """Follows the wall clock, but for its jumps.

    Load pattern: a VM's time of day jumps by seconds, and back again some
    seconds later. Requests would be counted in another window meanwhile. The
    clock that counts from the machine's start does not jump, so the distance
    of the two tells a jump from time that passes, also while the machine is
    suspended.
    """

    def __init__(self) -> None:
        self._distance: dt.timedelta | None = None
        self._jumped_at: dt.timedelta | None = None

    def read(self, wall: dt.datetime, uptime: dt.timedelta) -> dt.datetime:
        """Return the true time.

        Parameters
        ----------
        wall
            What the wall clock says.
        uptime
            The time since the machine's start.
        """
        distance = wall - UNIX_EPOCH - uptime
        if self._distance is None or self._believes(distance, uptime):
            self._distance = distance
        return UNIX_EPOCH + uptime + self._distance

    def _believes(self, distance: dt.timedelta, uptime: dt.timedelta) -> bool:
        assert self._distance is not None
        if abs(distance - self._distance) < _JUMP:
            self._jumped_at = None
            return True
        if self._jumped_at is None:
            self._jumped_at = uptime
        lasting = uptime - self._jumped_at >= _LASTING
        if lasting:
            self._jumped_at = None
        return lasting
