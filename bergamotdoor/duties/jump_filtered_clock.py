"""Wall time without clock jumps, for windows that all processes share."""

from __future__ import annotations

import datetime as dt
from typing import Final

from bergamotdoor.duties.usage import UNIX_EPOCH

#: Change of the wall clock's offset that counts as a jump. Its drift against
#: the monotonic clock is far smaller.
_MIN_JUMP_MS: Final = 300
_MIN_JUMP: Final = dt.timedelta(milliseconds=_MIN_JUMP_MS)
#: Time for which a jump must last until the new wall time is accepted.
_ACCEPT_JUMP_AFTER_S: Final = 60
_ACCEPT_JUMP_AFTER: Final = dt.timedelta(seconds=_ACCEPT_JUMP_AFTER_S)


class JumpFilteredClock:
    """Wall time that ignores short jumps of the wall clock.

    The wall clock of a VM may jump by seconds, and back some seconds later.
    Requests would be counted in the wrong window meanwhile. The clock that
    counts from the machine's start does not jump, and it includes the time
    for which the machine is suspended. The offset between the two clocks
    therefore distinguishes a jump from time that has passed.
    """

    def __init__(self) -> None:
        #: Accepted offset of the wall clock; ``None`` before the first read.
        self._offset: dt.timedelta | None = None
        #: Time since the machine's start at which the wall clock jumped;
        #: ``None`` if there is no pending jump.
        self._jumped_at: dt.timedelta | None = None

    def read(self, wall: dt.datetime, uptime: dt.timedelta) -> dt.datetime:
        """Return the corrected wall time.

        Parameters
        ----------
        wall
            Present time of the wall clock.
        uptime
            Present time since the machine's start.
        """
        offset = wall - UNIX_EPOCH - uptime
        if self._offset is None or self._accepts(offset, uptime):
            self._offset = offset
        return UNIX_EPOCH + uptime + self._offset

    def _accepts(self, offset: dt.timedelta, uptime: dt.timedelta) -> bool:
        """Return whether an offset is not a jump, or a jump that has lasted."""
        assert self._offset is not None
        if abs(offset - self._offset) < _MIN_JUMP:
            self._jumped_at = None
            return True
        if self._jumped_at is None:
            self._jumped_at = uptime
        has_lasted = uptime - self._jumped_at >= _ACCEPT_JUMP_AFTER
        if has_lasted:
            self._jumped_at = None
        return has_lasted
