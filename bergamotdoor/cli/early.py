"""Signals that come while a process loads its modules.

Failure: the platform tells a process that its settings have changed, or to
stop, a tenth of a second after its start. Symptom: it ends as by a crash,
since nothing has taken the signal over yet. A change is ignored, as the
settings have not been read by then or are looked at again; a stop ends a
process that has begun nothing, in order. The daemon takes both over later.
"""

from __future__ import annotations

import signal
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import FrameType


def take_signals() -> None:
    """Survive SIGHUP, and end in order on SIGTERM, from now on."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _end)


def _end(_number: int, _frame: FrameType | None) -> None:
    sys.exit(0)
