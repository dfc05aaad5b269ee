"""Lease of a duty: which process holds it, and until when it may act.

This module does no I/O; the time is passed in.

A duty has one record in the store. The holder replaces the record before it
acts, on condition that the record still has the revision that the holder
knows. It then begins to act within a bounded time from the start of that
write, or not at all. Another process takes the duty over with the same
conditional write, once it has seen the record unchanged for longer than the
holder may act. The previous holder does not act any more by then, even if it
is paused, partitioned or slow, and its next write fails.
"""

from __future__ import annotations

import datetime as dt
from typing import Final

import msgspec

from bergamotdoor.duties.usage import UsageReport
from bergamotdoor.types import FencingToken, NodeId, Revision, UsageWindow

#: Share of the lease within which a holder may begin to act, from the start
#: of its write. Its last call ends within the timeout of that call.
_ACTING_SHARE: Final = 0.7
#: Share of the lease for which the record must have been unchanged before
#: another process takes the duty over. It is above 1, so that two holders do
#: not alternate within the lease either.
_QUIET_SHARE: Final = 1.4


class DutyRecord(msgspec.Struct, frozen=True):
    """Stored record of a duty: its holder, and the decided reports."""

    #: The process that holds the duty.
    holder: NodeId
    #: Raised by each takeover, also if a new process on the same VM takes the
    #: duty over.
    token: FencingToken
    #: Random id that is drawn at each start of the holder's process.
    boot: str
    #: The reports of all windows below this one are decided.
    decided_below: UsageWindow
    #: Number of writes by holders. Without it, a write that changes nothing
    #: would keep the record's revision, and the other processes would take
    #: the record for unchanged.
    writes: int = 0
    #: Reports that are decided, but not known to be received.
    reports: tuple[UsageReport, ...] = ()


class KnownRecord(msgspec.Struct, frozen=True):
    """Record of a duty, as far as this process knows it."""

    record: DutyRecord
    revision: Revision
    #: When this process first saw the record at this revision, measured since
    #: the machine's start.
    unchanged_since: dt.timedelta


class LeaseBounds(msgspec.Struct, frozen=True):
    """Time for which a holder may act, and other processes have to wait."""

    #: Time within which the duty must not alternate between two holders.
    lease: dt.timedelta

    @property
    def acting_time(self) -> dt.timedelta:
        """Time within which a holder may act, from the start of its write."""
        return self.lease * _ACTING_SHARE

    @property
    def call_timeout(self) -> dt.timedelta:
        """Timeout of a call that a holder makes when it acts."""
        return (self.takeover_delay - self.acting_time) / 2

    @property
    def takeover_delay(self) -> dt.timedelta:
        """Time for which a record is unchanged before it is taken over."""
        return self.lease * _QUIET_SHARE

    def may_act(self, written_at: dt.timedelta, now: dt.timedelta) -> bool:
        """Return whether the holder may begin to act.

        Parameters
        ----------
        written_at
            When the holder's last successful write began, measured since the
            machine's start.
        now
            The present, measured since the machine's start.
        """
        return now - written_at < self.acting_time

    def may_take_over(self, known: KnownRecord, now: dt.timedelta) -> bool:
        """Return whether another process may take the duty over.

        Parameters
        ----------
        known
            The record as that process knows it.
        now
            The present, measured since the machine's start.
        """
        return now - known.unchanged_since >= self.takeover_delay


def successor_record(known: DutyRecord, node: NodeId, boot: str) -> DutyRecord:
    """Return the record with which a process takes a duty over.

    The new holder keeps what the previous holder has decided.

    Parameters
    ----------
    known
        The record of the previous holder.
    node
        The new holder.
    boot
        Random id of the new holder's process.
    """
    return msgspec.structs.replace(
        known, holder=node, token=FencingToken(known.token + 1), boot=boot
    )
