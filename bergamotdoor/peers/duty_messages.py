"""Messages of the process that reports usage, and to it."""

from __future__ import annotations

import msgspec

from bergamotdoor.duties.tenure import DutyRecord
from bergamotdoor.duties.usage import EntryUsage
from bergamotdoor.types import Revision


class UsageTold(msgspec.Struct, frozen=True, tag=True):
    """Tell whoever reports usage what an entry has counted."""

    usage: EntryUsage


class DutyHeld(msgspec.Struct, frozen=True, tag=True):
    """Tell who reports usage, and how far that has come.

    Reports are left out of the record: whoever takes the duty over reads it.
    """

    record: DutyRecord
    revision: Revision
