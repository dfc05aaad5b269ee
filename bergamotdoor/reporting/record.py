"""The record of a duty in the platform's store."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.duties.lease import DutyRecord, KnownRecord
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
        Client of the store that holds the record.
    clock
        Clock that timestamps each new revision of the record.
    """

    def __init__(self, store: ObjectClient, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._reader = ObjectReader(_log, 'reporting')
        #: Newest record that this process knows; ``None`` if there is none.
        self.known: KnownRecord | None = None

    @property
    def reports(self) -> tuple[UsageReport, ...]:
        """Decided reports that the receiver may lack, as far as known."""
        return () if self.known is None else self.known.record.reports

    def learn(self, record: DutyRecord, revision: Revision) -> None:
        """Remember a record of another process, unless it is not newer."""
        if self.known is None or self.known.revision < revision:
            now = self._clock.uptime()
            self.known = KnownRecord(record, revision, now)

    async def read(self) -> KnownRecord | None:
        """Return the stored record, or the known one if the read fails.

        An outdated record does no harm: the store rejects a write on
        condition of its revision, and the creation of a second record.
        """
        found = await self._store.get(DUTY_KIND, USAGE_NAME)
        if isinstance(found, StoredObject):
            self._learn_stored(found)
        return self.known

    async def write(self, record: DutyRecord) -> bool:
        """Write a record on condition that the known one is the newest.

        Returns
        -------
        bool
            Whether the write surely took effect. If another record prevented
            it, that record is the known one afterwards.
        """
        spec = msgspec.json.encode(record)
        if self.known is None:
            outcome = await self._store.create(DUTY_KIND, USAGE_NAME, spec)
        else:
            outcome = await self._store.replace(
                DUTY_KIND, USAGE_NAME, spec, self.known.revision
            )
        if isinstance(outcome, StoredObject):
            self._learn_stored(outcome)
            return True
        if isinstance(outcome, Conflict) and outcome.current is not None:
            self._learn_stored(outcome.current)
        elif isinstance(outcome, Outcome):
            _log.info('reporting: record not written: %s', outcome.value)
        return False

    def _learn_stored(self, stored: StoredObject) -> None:
        """Remember the record as the store returned it, if it is readable."""
        record = self._reader.read(stored, _parse_record)
        if record is None:
            return
        if self.known is not None and self.known.revision == stored.revision:
            # An announced record lacks the reports that the stored one has.
            self.known = msgspec.structs.replace(self.known, record=record)
        else:
            self.learn(record, stored.revision)


def _parse_record(stored: StoredObject) -> DutyRecord:
    with reading('duty'):
        return msgspec.json.decode(stored.spec, type=DutyRecord)
