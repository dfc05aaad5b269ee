"""Messages from and to the process that reports usage."""

from __future__ import annotations

import msgspec

from bergamotdoor.duties.lease import DutyRecord
from bergamotdoor.duties.usage import EntryUsage
from bergamotdoor.types import Revision


class UsageTold(msgspec.Struct, frozen=True, tag=True):
    """Request counts of an entry, sent to the process that reports usage."""

    usage: EntryUsage


class DutyHeld(msgspec.Struct, frozen=True, tag=True):
    """Notification of the reporting duty's holder and its decided windows.

    The record is sent without its reports, since a process that takes the
    duty over reads the stored record.
    """

    record: DutyRecord
    revision: Revision
