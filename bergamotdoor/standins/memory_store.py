"""The object API without HTTP, for tests of other parts."""

from __future__ import annotations

import datetime as dt
import itertools
from typing import TYPE_CHECKING, Final

from bergamotdoor.standins._platform_table import (
    MAX_VALUE_BYTES,
    CallKind,
    Change,
    ObjectKey,
    ObjectTable,
    Outage,
    Record,
    WriteStatus,
)
from bergamotdoor.standins._platform_watch import wait_above
from bergamotdoor.store.protocols import (
    StoredObject,
    StoreFailure,
    StoreProblem,
)

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.types import ObjectVersion

_TIMEOUT: Final = dt.timedelta(seconds=2)
_nonces: Final = itertools.count(1)


class MemoryObjectStore:
    """An ``ObjectStore`` straight on a table, with the table's faults.

    A write whose answer is lost is reported as UNKNOWN after `timeout`:
    this stands for a real store that could not read it back in time.
    Several stores may share one table, each for another process.
    """

    def __init__(
        self,
        table: ObjectTable,
        clock: Clock,
        timeout: dt.timedelta = _TIMEOUT,
    ) -> None:
        self.table = table
        self._clock = clock
        self._timeout = timeout

    async def read(self, kind: str, name: str) -> StoredObject | StoreFailure:
        """Return the object as it is now."""
        refusal = await self._admit(CallKind.READ)
        if refusal:
            return refusal
        return self._found(ObjectKey(kind, name))

    async def write(
        self,
        kind: str,
        name: str,
        body: bytes,
        expected: ObjectVersion,
    ) -> StoredObject | StoreFailure:
        """Write if the version is still `expected`.

        Raises
        ------
        ValueError
            If `body` is above the platform's 1 MiB.
        """
        if len(body) > MAX_VALUE_BYTES:
            raise ValueError(f'{kind}/{name}: {len(body)} bytes, at most 1 MiB')
        change = Change(
            ObjectKey(kind, name), expected, f'nonce-{next(_nonces)}', body
        )
        return await self._submit(change, CallKind.WRITE)

    async def delete(
        self, kind: str, name: str, expected: ObjectVersion
    ) -> StoredObject | StoreFailure:
        """Delete if the version is still `expected`; returns no body."""
        change = Change(ObjectKey(kind, name), expected)
        return await self._submit(change, CallKind.DELETE)

    async def names(
        self, kind: str, prefix: str = ''
    ) -> tuple[str, ...] | StoreFailure:
        """Return the sorted names of a kind that start with `prefix`."""
        refusal = await self._admit(CallKind.NAMES)
        return refusal or self.table.names(kind, prefix)

    async def watch(
        self,
        kind: str,
        name: str,
        above: ObjectVersion,
        timeout: dt.timedelta,
    ) -> StoredObject | StoreFailure:
        """Wait until the object's version is above `above`."""
        refusal = await self._admit(CallKind.WATCH)
        if refusal:
            return refusal
        key = ObjectKey(kind, name)
        if not await wait_above(self.table, key, above, timeout):
            return StoreFailure(StoreProblem.NO_CHANGE, f'{kind}/{name}')
        return self._found(key)

    async def _admit(self, kind: CallKind) -> StoreFailure | None:
        admission = self.table.admit(kind, self._clock.elapsed())
        if admission.outage is Outage.HANG:
            await self._clock.sleep(self._timeout)
        else:
            await self._clock.sleep(self.table.faults.delay)
        if admission.served:
            return None
        # A write that hangs may still be on its way when we give up.
        writes = kind in {CallKind.WRITE, CallKind.DELETE}
        if writes and admission.outage is Outage.HANG:
            return StoreFailure(StoreProblem.UNKNOWN, 'the store hangs')
        return StoreFailure(StoreProblem.UNAVAILABLE, 'the store refuses')

    async def _submit(
        self, change: Change, kind: CallKind
    ) -> StoredObject | StoreFailure:
        refusal = await self._admit(kind)
        if refusal:
            return refusal
        outcome = self.table.submit(change)
        key = change.key
        if outcome.status is WriteStatus.DONE:
            version = outcome.version or change.expected
            return StoredObject(*key, version, change.body or b'')
        if outcome.status is WriteStatus.NO_ANSWER:
            await self._clock.sleep(self._timeout)
            return StoreFailure(StoreProblem.UNKNOWN, 'no answer came')
        detail = (
            f'{key.kind}/{key.name} has version {outcome.version}, '
            f'expected {change.expected}'
        )
        if outcome.status is WriteStatus.ABSENT:
            return StoreFailure(StoreProblem.NOT_FOUND, detail)
        return StoreFailure(StoreProblem.CONFLICT, detail)

    def _found(self, key: ObjectKey) -> StoredObject | StoreFailure:
        record = self.table.read(key)
        if record is None:
            return StoreFailure(
                StoreProblem.NOT_FOUND, f'{key.kind}/{key.name}'
            )
        return _stored(key, record)


def _stored(key: ObjectKey, record: Record) -> StoredObject:
    return StoredObject(key.kind, key.name, record.version, record.body)
