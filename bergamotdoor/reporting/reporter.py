"""Reports usage if this process is the one that does."""

from __future__ import annotations

import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.duties.tenure import DutyRecord, TenureBounds, taken_over
from bergamotdoor.duties.usage import UsageReport
from bergamotdoor.reporting.receiver import Receipt
from bergamotdoor.types import FencingToken, UsageWindow

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from bergamotdoor.clock import Clock
    from bergamotdoor.duties.tenure import KnownRecord
    from bergamotdoor.reporting.counting import UsageCounts
    from bergamotdoor.reporting.duty_peers import DutyPeers
    from bergamotdoor.reporting.receiver import Receiver
    from bergamotdoor.reporting.record import DutyStore
    from bergamotdoor.settings.node import DutySettings
    from bergamotdoor.types import Revision

_TICK_MS: Final = 250
_TICK: Final = dt.timedelta(milliseconds=_TICK_MS)
#: Of the time until a report is due: how long entries are waited for that
#: have not told all. The rest is for a takeover.
_COLLECT_SHARE: Final = 0.6
#: The same, for each process in turn that would take the duty over.
_TURN_SHARE: Final = 0.07
#: An entry that told nothing for so many windows is not waited for.
_ALIVE_WINDOWS: Final = 3
#: How long a new holder waits until the entries have told it their counts.
_TOLD_MS: Final = 700
_TOLD: Final = dt.timedelta(milliseconds=_TOLD_MS)
#: Windows that are decided at once after a long outage.
_MOST_DECIDED: Final = 6

_log = logging.getLogger('bergamotdoor.reporting')


class UsageReporter:
    """Decides and sends reports as long as this process has the duty.

    Failure: a holder is killed, paused or cut off around a report. Symptom:
    two reports of one window with different counts, or none. What is sent is
    decided by the write that also proves the duty, so a successor finds it
    and repeats it exactly.

    Parameters
    ----------
    counts
        What the entries have counted.
    store
        Where the duty's record is.
    receiver
        Takes the reports.
    peers
        The other entries.
    settings
        The bounds.
    clock
        The time.
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
        self._book = counts.told
        self._store = store
        self._receiver = receiver
        self._peers = peers
        self._settings = settings
        self._bounds = TenureBounds(settings.lease)
        self._clock = clock
        #: Reports begin with the first whole window of this process, if
        #: there is no record that says where they end.
        self._first = UsageWindow(
            self._counter.windows.at(self._counter.true_time()) + 1
        )
        #: Decided here or by a holder before, and not known to be taken.
        self._pending: tuple[UsageReport, ...] = ()
        self._collect_until = clock.uptime()

    @property
    def holds(self) -> bool:
        """Whether this process has the duty, as far as it knows."""
        known = self._store.known
        return known is not None and known.record.boot == self._counter.boot

    async def run(self, wanted: Callable[[], bool]) -> None:
        """Work until cancelled, as long as reports are wanted."""
        while True:
            await self._clock.sleep(_TICK)
            if not wanted():
                continue
            if self.holds:
                await self._report()
            elif self._is_overdue():
                await self._take_over()

    def learn(self, record: DutyRecord, revision: Revision) -> None:
        """Take who has the duty, and how far it has come."""
        self._store.learn(record, revision)
        self._forget_decided()

    def _is_overdue(self) -> bool:
        """Return whether the holder should have decided by now.

        Where there is no record, the first of the entries makes one at once.
        """
        turn = self._peers.turn(self._store.known)
        known = self._store.known
        if known is None and turn == 0:
            return self._peers.settled
        due = self._settings.usage_due
        patience = due * (_COLLECT_SHARE + _TURN_SHARE * (turn + 1))
        window = self._first if known is None else known.record.decided_below
        over = self._counter.windows.end(window) + patience
        return self._counter.true_time() > over

    async def _take_over(self) -> None:
        if not self._may_take(self._store.known):
            return
        known = await self._store.read()
        if self.holds:
            self._go_on()
        elif self._may_take(known):
            await self._claim(self._next_record(known))

    def _may_take(self, known: KnownRecord | None) -> bool:
        """Return whether the duty is free, or its holder surely silent."""
        now = self._clock.uptime()
        return known is None or self._bounds.may_take(known, now)

    def _next_record(self, known: KnownRecord | None) -> DutyRecord:
        node, boot = self._counter.node, self._counter.boot
        if known is None:
            return DutyRecord(node, FencingToken(1), boot, self._first)
        return taken_over(known.record, node, boot)

    async def _claim(self, record: DutyRecord) -> None:
        if await self._write(record) or self.holds:
            _log.warning('reporting: taken over, token %d', record.token)
            self._go_on()
            self._collect_until = self._clock.uptime() + _TOLD

    def _go_on(self) -> None:
        """Go on with what is decided, by this process or a holder before.

        A write of this process that was done without an answer is found in
        the store, and what it holds is not lost with the answer.
        """
        self._pending = self._store.reports

    async def _report(self) -> None:
        known = self._store.known
        now = self._clock.uptime()
        if known is None or now < self._collect_until:
            return
        decided = tuple(self._decide(known))
        if not decided and not self._pending:
            return
        below = known.record.decided_below
        record = msgspec.structs.replace(
            known.record,
            decided_below=UsageWindow(below + len(decided)),
            writes=known.record.writes + 1,
            reports=(*self._pending, *decided),
        )
        if await self._write(record):
            await self._send(record, now)
        elif self.holds:
            self._go_on()

    def _decide(self, known: KnownRecord) -> Iterator[UsageReport]:
        first = known.record.decided_below
        for number in range(first, first + _MOST_DECIDED):
            window = UsageWindow(number)
            if not self._is_whole(window):
                return
            yield UsageReport(window, self._book.counts(window))

    def _is_whole(self, window: UsageWindow) -> bool:
        """Return whether a window may be decided.

        One that hears less than half of the others is cut off, and leaves
        the window to a process that hears more.
        """
        windows = self._counter.windows
        if self._counter.whole_below <= window:
            return False
        since = self._clock.uptime() - windows.length * _ALIVE_WINDOWS
        missing = len(self._book.missing(window, since))
        waited = self._settings.usage_due * _COLLECT_SHARE
        if self._counter.true_time() < windows.end(window) + waited:
            return not missing
        return missing * 2 <= self._book.alive(since)

    async def _write(self, record: DutyRecord) -> bool:
        """Write the duty's record; return whether it is surely this one."""
        if not await self._store.write(record):
            return False
        self._forget_decided()
        known = self._store.known
        if known is not None:
            self._peers.announce(known)
        return True

    async def _send(self, record: DutyRecord, written_at: dt.timedelta) -> None:
        left = []
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
                left.append(report)
        self._pending = tuple(left)

    def _forget_decided(self) -> None:
        known = self._store.known
        if known is not None:
            self._counter.reported(known.record.decided_below)
            self._book.reported(known.record.decided_below)
