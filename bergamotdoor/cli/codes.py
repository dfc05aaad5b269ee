"""The exit codes of every command."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit codes, by which scripts distinguish the outcomes of a command."""

    OK = 0
    #: The settings, the document or the request were rejected, or a daemon
    #: failed to start, or to stop in time.
    REFUSED = 1
    #: The command line is wrong.
    USAGE = 2
    #: There was no response, or none that shows the outcome; the printed
    #: text says whether the request may have run.
    UNREACHABLE = 3
    #: The configuration was changed by somebody else first.
    LOST_RACE = 4
