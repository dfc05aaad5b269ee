"""Who does a duty, and until when it may go on with it.

Decisions only: no input or output, and the time is passed in.

A duty has one record in the store. Whoever acts replaces the record first, at
the revision that it knows, and acts within a bounded time of the begin of that
write, or not at all. Another process takes the duty over by the same write,
once it has seen the record unchanged for longer than the holder may act. So
the holder before is silent by then, whether it is paused, cut off or slow, and
its next write fails.
"""

from __future__ import annotations

import datetime as dt
from typing import Final

import msgspec

from bergamotdoor.duties.usage import UsageReport
from bergamotdoor.types import FencingToken, NodeId, Revision, UsageWindow

#: Of the platform's lease bound: how long a holder may begin to act after its
#: write began. Its last call ends within the call's own timeout.
_ACTING_SHARE: Final = 0.7
#: The same: how long the record must have been unchanged before another
#: process takes it. Holders then do not take turns within the bound either.
_QUIET_SHARE: Final = 1.4


class DutyRecord(msgspec.Struct, frozen=True):
    """Who does a duty, and what is decided and perhaps not done."""

    holder: NodeId
    #: Raised by each takeover, also by a new process on the same VM.
    token: FencingToken
    #: Drawn at each start of the holder's process.
    boot: str
    #: All windows below this one are decided.
    decided_below: UsageWindow
    #: Counts the holder's writes: one that changed nothing would leave the
    #: record's revision, and the others would take it for unchanged.
    writes: int = 0
    #: Decided, and not known to have been received.
    reports: tuple[UsageReport, ...] = ()


class KnownRecord(msgspec.Struct, frozen=True):
    """A duty's record as this process knows it."""

    record: DutyRecord
    revision: Revision
    #: Since when it is known to be unchanged, in time since the machine's
    #: start.
    seen_at: dt.timedelta


class TenureBounds(msgspec.Struct, frozen=True):
    """How long a holder may act, and the others must wait."""

    #: Two holders must not take turns within this.
    lease: dt.timedelta

    @property
    def acting(self) -> dt.timedelta:
        """How long after the begin of its write a holder begins to act."""
        return self.lease * _ACTING_SHARE

    @property
    def call_timeout(self) -> dt.timedelta:
        """How long one act may take."""
        return (self.quiet - self.acting) / 2

    @property
    def quiet(self) -> dt.timedelta:
        """How long a record is unchanged before another process takes it."""
        return self.lease * _QUIET_SHARE

    def may_act(self, written_at: dt.timedelta, now: dt.timedelta) -> bool:
        """Return whether the holder may begin to act.

        Parameters
        ----------
        written_at
            When its last write that was done began.
        now
            The time since the machine's start, as `written_at`.
        """
        return now - written_at < self.acting

    def may_take(self, known: KnownRecord, now: dt.timedelta) -> bool:
        """Return whether another process may take the duty over."""
        return now - known.seen_at >= self.quiet


def taken_over(known: DutyRecord, node: NodeId, boot: str) -> DutyRecord:
    """Return the record of the next holder; what was decided stays so."""
    return msgspec.structs.replace(
        known, holder=node, token=FencingToken(known.token + 1), boot=boot
    )
