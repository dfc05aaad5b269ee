"""Decide and send usage reports while this process has the duty."""

from __future__ import annotations

import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.duties.lease import DutyRecord, LeaseBounds, successor_record
from bergamotdoor.duties.usage import UsageReport
from bergamotdoor.reporting.receiver import Receipt
from bergamotdoor.types import FencingToken, UsageWindow

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from bergamotdoor.clock import Clock
    from bergamotdoor.duties.lease import KnownRecord
    from bergamotdoor.reporting.counting import UsageCounts
    from bergamotdoor.reporting.duty_peers import DutyPeers
    from bergamotdoor.reporting.receiver import Receiver
    from bergamotdoor.reporting.record import DutyStore
    from bergamotdoor.settings.node import DutySettings
    from bergamotdoor.types import Revision

_POLL_INTERVAL_MS: Final = 250
_POLL_INTERVAL: Final = dt.timedelta(milliseconds=_POLL_INTERVAL_MS)
#: Share of the time until a report is due for which the holder waits for
#: entries whose counts of the window are incomplete. The rest is reserved for a
#: takeover.
_COLLECTION_SHARE: Final = 0.6
#: Share of the same time by which each successor in turn waits longer before it
#: takes the duty over.
_SUCCESSOR_SHARE: Final = 0.07
#: The holder does not wait for an entry that sent no counts for so many
#: windows.
_MAX_SILENT_WINDOWS: Final = 3
#: How long a new holder waits for the counts of the entries.
_TAKEOVER_COLLECTION_MS: Final = 700
_TAKEOVER_COLLECTION: Final = dt.timedelta(milliseconds=_TAKEOVER_COLLECTION_MS)
#: How many windows one write decides at most, after a long outage.
_MAX_DECIDED_WINDOWS: Final = 6

_log = logging.getLogger('bergamotdoor.reporting')


class UsageReporter:
    """Decides and sends reports as long as this process has the duty.

    Failure: a holder is killed, paused or cut off while it sends a report.
    Symptom: two reports of one window with different counts, or none. The
    reports are decided by the same write that confirms the holder's duty, so
    a successor finds them in the record and sends exactly the same.

    Parameters
    ----------
    counts
        Counts of this entry, and those received from all entries.
    store
        Store of the duty's record.
    receiver
        Client that sends the reports.
    peers
        Succession of the entries, and announcements to them.
    settings
        Length of a window, and the time limits for reports and takeovers.
    clock
        Clock of this process.
    """

    def __init__(
        self,
        counts: UsageCounts,
        store: DutyStore,
        receiver: Receiver,
        peers: DutyPeers,
        settings: DutySettings,
        clock: Clock,
    ) -> None:
        self._counter = counts.own
        self._collected_usage = counts.told
        self._store = store
        self._receiver = receiver
        self._peers = peers
        self._settings = settings
        self._bounds = LeaseBounds(settings.lease)
        self._clock = clock
        #: First complete window of this process. Reports begin with it if
        #: there is no record that says which windows are decided.
        self._first_window = UsageWindow(
            self._counter.windows.at(self._counter.true_time()) + 1
        )
        #: Reports that this process or an earlier holder decided, and that
        #: the receiver is not known to have accepted.
        self._pending: tuple[UsageReport, ...] = ()
        self._collect_until = clock.uptime()

    @property
    def holds(self) -> bool:
        """Whether this process has the duty, as far as it knows."""
        known = self._store.known
        return known is not None and known.record.boot == self._counter.boot

    async def run(self, wanted: Callable[[], bool]) -> None:
        """Take the duty over if it is due, and report, until cancelled.

        Parameters
        ----------
        wanted
            Returns whether usage is to be reported at this time.
        """
        while True:
            await self._clock.sleep(_POLL_INTERVAL)
            if not wanted():
                continue
            if self.holds:
                await self._report_usage()
            elif self._is_overdue():
                await self._take_over()

    def learn(self, record: DutyRecord, revision: Revision) -> None:
        """Learn the duty's record that another process has announced."""
        self._store.learn(record, revision)
        self._forget_decided()

    def _is_overdue(self) -> bool:
        """Return whether this process should try to take the duty over.

        That is the case once the next window is not decided in time; each
        successor waits longer than the one before it. If there is no record,
        the first successor creates one as soon as it knows the other entries.
        """
        turn = self._peers.turn(self._store.known)
        known = self._store.known
        if known is None and turn == 0:
            return self._peers.settled
        due = self._settings.usage_due
        wait = due * (_COLLECTION_SHARE + _SUCCESSOR_SHARE * (turn + 1))
        window = (
            self._first_window if known is None else known.record.decided_below
        )
        deadline = self._counter.windows.end(window) + wait
        return self._counter.true_time() > deadline

    async def _take_over(self) -> None:
        if not self._may_take_over(self._store.known):
            return
        known = await self._store.read()
        if self.holds:
            self._resume_reports()
        elif self._may_take_over(known):
            await self._claim_duty(self._next_record(known))

    def _may_take_over(self, known: KnownRecord | None) -> bool:
        """Return whether the duty is free, or its holder surely inactive."""
        now = self._clock.uptime()
        return known is None or self._bounds.may_take_over(known, now)

    def _next_record(self, known: KnownRecord | None) -> DutyRecord:
        node, boot = self._counter.node, self._counter.boot
        if known is None:
            return DutyRecord(node, FencingToken(1), boot, self._first_window)
        return successor_record(known.record, node, boot)

    async def _claim_duty(self, record: DutyRecord) -> None:
        if await self._write_record(record) or self.holds:
            _log.warning('reporting: taken over, token %d', record.token)
            self._resume_reports()
            self._collect_until = self._clock.uptime() + _TAKEOVER_COLLECTION

    def _resume_reports(self) -> None:
        """Continue with the decided reports of the known record.

        This process or an earlier holder decided them. If a write of this
        process took effect and its answer was lost, its reports are found in
        the stored record.
        """
        self._pending = self._store.reports

    async def _report_usage(self) -> None:
        known = self._store.known
        now = self._clock.uptime()
        if known is None or now < self._collect_until:
            return
        decided = tuple(self._decide_reports(known))
        if not decided and not self._pending:
            return
        below = known.record.decided_below
        record = msgspec.structs.replace(
            known.record,
            decided_below=UsageWindow(below + len(decided)),
            writes=known.record.writes + 1,
            reports=(*self._pending, *decided),
        )
        if await self._write_record(record):
            await self._send_reports(record, now)
        elif self.holds:
            self._resume_reports()

    def _decide_reports(self, known: KnownRecord) -> Iterator[UsageReport]:
        first = known.record.decided_below
        for number in range(first, first + _MAX_DECIDED_WINDOWS):
            window = UsageWindow(number)
            if not self._may_decide(window):
                return
            yield UsageReport(window, self._collected_usage.counts(window))

    def _may_decide(self, window: UsageWindow) -> bool:
        """Return whether this process may decide a window now.

        A process that hears from less than half of the other entries is cut
        off from them, and leaves the window to a process that hears from more.
        """
        windows = self._counter.windows
        if self._counter.whole_below <= window:
            return False
        since = self._clock.uptime() - windows.length * _MAX_SILENT_WINDOWS
        unfinished = len(
            self._collected_usage.unfinished_entries(window, since)
        )
        collection_time = self._settings.usage_due * _COLLECTION_SHARE
        if self._counter.true_time() < windows.end(window) + collection_time:
            return not unfinished
        return unfinished * 2 <= self._collected_usage.count_alive(since)

    async def _write_record(self, record: DutyRecord) -> bool:
        """Write and announce the duty's record.

        Returns
        -------
        bool
            Whether the write surely took effect.
        """
        if not await self._store.write(record):
            return False
        self._forget_decided()
        known = self._store.known
        if known is not None:
            self._peers.announce(known)
        return True

    async def _send_reports(
        self, record: DutyRecord, written_at: dt.timedelta
    ) -> None:
        pending = []
        for report in record.reports:
            now = self._clock.uptime()
            receipt = Receipt.OPEN
            if self._bounds.may_act(written_at, now):
                receipt = await self._receiver.send(
                    record, report, self._bounds.call_timeout
                )
            if receipt is Receipt.REJECTED:
                _log.error('reporting: window %d rejected', report.window)
            elif receipt is Receipt.OPEN:
                pending.append(report)
        self._pending = tuple(pending)

    def _forget_decided(self) -> None:
        known = self._store.known
        if known is not None:
            self._counter.reported(known.record.decided_below)
            self._collected_usage.drop_decided(known.record.decided_below)
