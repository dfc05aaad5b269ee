"""The platform's store for those who have a caller waiting."""

from __future__ import annotations

import asyncio
import datetime as dt
from typing import TYPE_CHECKING, Final, TypeVar

from bergamotdoor.store.protocols import StoreFailure, StoreProblem

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from bergamotdoor.store.protocols import ObjectStore, StoredObject
    from bergamotdoor.types import ObjectVersion

Found = TypeVar('Found')

PATIENCE: Final = dt.timedelta(seconds=1)


class PatientStore:
    """An ``ObjectStore`` whose every operation ends within a second.

    Failure: the store hangs, and its client tries on for its own longer
    timeout. Symptom: a caller's keyed request waits for several of those
    in a row only to be refused, and keeps a clerk from sending it again.
    Enough: each operation is given up after a second; a write that may
    still land is reported as unknown, which its users must handle anyway.

    Parameters
    ----------
    store
        The platform's.
    patience
        For each operation but a watch.
    """

    def __init__(
        self, store: ObjectStore, patience: dt.timedelta = PATIENCE
    ) -> None:
        self._store = store
        self._patience = patience

    async def read(self, kind: str, name: str) -> StoredObject | StoreFailure:
        """Return the object as it is now."""
        return await self._bounded(
            self._store.read(kind, name), StoreProblem.UNAVAILABLE
        )

    async def write(
        self, kind: str, name: str, body: bytes, expected: ObjectVersion
    ) -> StoredObject | StoreFailure:
        """Write if the version is still `expected`; ABSENT creates."""
        return await self._bounded(
            self._store.write(kind, name, body, expected),
            StoreProblem.UNKNOWN,
        )

    async def delete(
        self, kind: str, name: str, expected: ObjectVersion
    ) -> StoredObject | StoreFailure:
        """Delete if the version is still `expected`."""
        return await self._bounded(
            self._store.delete(kind, name, expected), StoreProblem.UNKNOWN
        )

    async def names(
        self, kind: str, prefix: str = ''
    ) -> tuple[str, ...] | StoreFailure:
        """Return the sorted names of a kind that start with `prefix`."""
        return await self._bounded(
            self._store.names(kind, prefix), StoreProblem.UNAVAILABLE
        )

    async def watch(
        self,
        kind: str,
        name: str,
        above: ObjectVersion,
        timeout: dt.timedelta,
    ) -> StoredObject | StoreFailure:
        """Wait until the object's version is above `above`."""
        return await self._store.watch(kind, name, above, timeout)

    async def _bounded(
        self, operation: Awaitable[Found], late: StoreProblem
    ) -> Found | StoreFailure:
        try:
            async with asyncio.timeout(self._patience.total_seconds()):
                return await operation
        except TimeoutError:
            return StoreFailure(late, f'no answer within {self._patience}')
