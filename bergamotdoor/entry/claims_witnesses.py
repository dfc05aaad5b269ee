"""Keeps the record of each service's homes, here and in the store."""

from __future__ import annotations

import asyncio
import collections
import logging
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.entry.patient_store import PatientStore
from bergamotdoor.routing.witnesses import (
    WitnessBook,
    WitnessTimes,
    with_homes,
    with_incarnation,
)
from bergamotdoor.store.protocols import (
    ObjectStore,
    StoredObject,
    StoreProblem,
)
from bergamotdoor.types import (
    ABSENT,
    Generation,
    Incarnation,
    ObjectVersion,
    ServiceId,
    UpstreamId,
)

if TYPE_CHECKING:
    from bergamotdoor.entry.claims_store import StoreHealth

_LOG: Final = logging.getLogger('bergamotdoor.entry')
WITNESS_KIND: Final = 'witness'
_MAX_RACES: Final = 5


class SeenHomes(msgspec.Struct, frozen=True):
    """What a process knows of a service's homes now."""

    generation: Generation
    homes: tuple[UpstreamId, ...]
    upstream: UpstreamId
    incarnation: Incarnation

    def put_in(self, book: WitnessBook, times: WitnessTimes) -> WitnessBook:
        """Return `book` with this in it."""
        listed = with_homes(book, self.generation, self.homes, times)
        return with_incarnation(listed, self.upstream, self.incarnation, times)


class KnownBook(msgspec.Struct, frozen=True):
    """A book, and whether the store has it just so."""

    book: WitnessBook
    stored: bool


class _KeptBook(msgspec.Struct, frozen=True):
    """A book as it stands in the store."""

    book: WitnessBook
    version: ObjectVersion


class WitnessBooks:
    """One book per service; the store's is read when it must change.

    Parameters
    ----------
    store
        The platform's.
    health
        Told when the store is silent.
    """

    def __init__(self, store: ObjectStore, health: StoreHealth) -> None:
        # A caller waits for each of its answers.
        self._store = PatientStore(store)
        self._health = health
        self._books: dict[ServiceId, WitnessBook] = {}
        self._locks: dict[ServiceId, asyncio.Lock] = collections.defaultdict(
            asyncio.Lock
        )

    @property
    def count(self) -> int:
        """How many services have a book here."""
        return len(self._books)

    def known(self, service: ServiceId) -> WitnessBook:
        """Return the book as this process last had it."""
        return self._books.get(service, WitnessBook())

    async def note(
        self, service: ServiceId, seen: SeenHomes, times: WitnessTimes
    ) -> KnownBook:
        """Return the book with `seen` in it, stored if the store answers.

        What the store does not have counts only for this call: a home
        would otherwise ripen in this process alone.
        """
        async with self._locks[service]:
            book = self.known(service)
            if seen.put_in(book, times) == book:
                return KnownBook(book, stored=True)
            return await self._store_change(service, seen, times)

    async def _store_change(
        self, service: ServiceId, seen: SeenHomes, times: WitnessTimes
    ) -> KnownBook:
        for _ in range(_MAX_RACES):
            kept = await self._read(service)
            if kept is None:
                break
            book = seen.put_in(kept.book, times)
            if await self._write(service, book, kept):
                self._books[service] = book
                return KnownBook(book, stored=True)
        return KnownBook(seen.put_in(self.known(service), times), stored=False)

    async def _read(self, service: ServiceId) -> _KeptBook | None:
        if self._health.resting:
            return None
        found = await self._store.read(WITNESS_KIND, service)
        if isinstance(found, StoredObject):
            book = msgspec.json.decode(found.body, type=WitnessBook)
            return _KeptBook(book, found.version)
        if found.problem is StoreProblem.NOT_FOUND:
            return _KeptBook(WitnessBook(), ABSENT)
        self._health.silent(found)
        return None

    async def _write(
        self, service: ServiceId, book: WitnessBook, kept: _KeptBook
    ) -> bool:
        if book == kept.book:
            return True
        body = msgspec.json.encode(book)
        written = await self._store.write(
            WITNESS_KIND, service, body, kept.version
        )
        if isinstance(written, StoredObject):
            _LOG.info('entry: recorded the homes of %s', service)
            return True
        if written.problem is not StoreProblem.CONFLICT:
            self._health.silent(written)
        return False
