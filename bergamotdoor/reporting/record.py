"""The record of a duty in the platform's store."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.duties.tenure import DutyRecord, KnownRecord
from bergamotdoor.objects.reader import ObjectReader
from bergamotdoor.stored import Conflict, Outcome, StoredObject, reading

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.duties.usage import UsageReport
    from bergamotdoor.objects.client import ObjectClient
    from bergamotdoor.types import Revision

DUTY_KIND: Final = 'duties'
USAGE_NAME: Final = 'usage'

_log = logging.getLogger('bergamotdoor.reporting')


class DutyStore:
    """Reads and writes the record of one duty.

    Parameters
    ----------
    store
        Where it is.
    clock
        Tells since when it is unchanged.
    """

    def __init__(self, store: ObjectClient, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._reader = ObjectReader(_log, 'reporting')
        #: The newest record that this process knows.
        self.known: KnownRecord | None = None

    @property
    def reports(self) -> tuple[UsageReport, ...]:
        """What is decided and perhaps not received, as far as it is read."""
        return () if self.known is None else self.known.record.reports

    def learn(self, record: DutyRecord, revision: Revision) -> None:
        """Take a record that another process wrote; an older one is none."""
        if self.known is None or self.known.revision < revision:
            now = self._clock.uptime()
            self.known = KnownRecord(record, revision, now)

    async def read(self) -> KnownRecord | None:
        """Return the record as stored, or as known if the store can't tell.

        No write is done at the revision of one that is outdated, and none is
        created beside one that exists.
        """
        found = await self._store.get(DUTY_KIND, USAGE_NAME)
        if isinstance(found, StoredObject):
            self._take(found)
        return self.known

    async def write(self, record: DutyRecord) -> bool:
        """Write a record on condition that the known one is the newest.

        Returns
        -------
        bool
            Whether it was surely done. If it was not, the one that was in
            the way is known then.
        """
        spec = msgspec.json.encode(record)
        if self.known is None:
            outcome = await self._store.create(DUTY_KIND, USAGE_NAME, spec)
        else:
            outcome = await self._store.replace(
                DUTY_KIND, USAGE_NAME, spec, self.known.revision
            )
        if isinstance(outcome, StoredObject):
            self._take(outcome)
            return True
        if isinstance(outcome, Conflict) and outcome.current is not None:
            self._take(outcome.current)
        elif isinstance(outcome, Outcome):
            _log.info('reporting: record not written: %s', outcome.value)
        return False

    def _take(self, stored: StoredObject) -> None:
        record = self._reader.read(stored, _record)
        if record is None:
            return
        if self.known is not None and self.known.revision == stored.revision:
            # A broadcast leaves out what is decided.
            self.known = msgspec.structs.replace(self.known, record=record)
        else:
            self.learn(record, stored.revision)


def _record(stored: StoredObject) -> DutyRecord:
    with reading('duty'):
        return msgspec.json.decode(stored.spec, type=DutyRecord)
