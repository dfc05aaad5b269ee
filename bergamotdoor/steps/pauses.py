"""Detection of pauses of this process, after which its state may be old."""

from __future__ import annotations

import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

    from bergamotdoor.clock import Clock

_INTERVAL_MS: Final = 500
_INTERVAL: Final = dt.timedelta(milliseconds=_INTERVAL_MS)
#: A shorter delay of the event loop is no pause. Other entries take the jobs
#: of an owner over that does not answer for 0.4 s.
_MIN_PAUSE_MS: Final = 400
_MIN_PAUSE: Final = dt.timedelta(milliseconds=_MIN_PAUSE_MS)

_log = logging.getLogger('bergamotdoor.gateway')


class PauseDetector:
    """Detects that this process was paused.

    Failure: a VM freezes, or its processor is taken away, for seconds, while
    other processes take over what this one does. Symptom: it continues with
    what it knew before. It was paused if a short sleep took much longer than
    it should.

    Parameters
    ----------
    clock
        Clock whose uptime continues during a suspension of the VM.
    on_resume
        Called after each pause, before anything that was received meanwhile
        is processed.
    """

    def __init__(self, clock: Clock, on_resume: Callable[[], None]) -> None:
        self._clock = clock
        self._on_resume = on_resume

    async def run(self) -> None:
        """Detect pauses until cancelled."""
        while True:
            slept_at = self._clock.uptime()
            await self._clock.sleep(_INTERVAL)
            pause = self._clock.uptime() - slept_at - _INTERVAL
            if pause >= _MIN_PAUSE:
                _log.warning('gateway: this process was paused for %s', pause)
                self._on_resume()
