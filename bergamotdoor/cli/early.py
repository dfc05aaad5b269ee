"""Handlers for signals that arrive while a process loads its modules.

Failure: a tenth of a second after the start of a process, the platform sends
it a signal that its settings have changed, or that it must stop. Symptom: the
process ends as in a crash, since it has no signal handlers yet. SIGHUP for a
change is ignored, because the process reads the settings later, or compares
them with the file again. SIGTERM ends the process with exit code 0, because
it has not started any work. The daemon later installs its own handlers.
"""

from __future__ import annotations

import signal
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import FrameType


def take_signals() -> None:
    """Ignore SIGHUP and exit with code 0 on SIGTERM from now on."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _exit)


def _exit(_number: int, _frame: FrameType | None) -> None:
    sys.exit(0)
