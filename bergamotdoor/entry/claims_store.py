"""Claims in the platform's store."""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor import utils
from bergamotdoor.entry.patient_store import PatientStore
from bergamotdoor.routing.keys import (
    Claim,
    ClaimFound,
    ClaimMade,
    ClaimResult,
    StoreSilent,
)
from bergamotdoor.store.protocols import (
    ObjectStore,
    StoredObject,
    StoreFailure,
    StoreProblem,
)
from bergamotdoor.types import ABSENT, ObjectVersion

if TYPE_CHECKING:
    from collections.abc import Callable

    from bergamotdoor.clock import Clock

CLAIM_KIND: Final = 'claim'
#: How long the store is left alone after it was silent.
_REST_MS: Final = 2000
_SETTLED: Final = frozenset((StoreProblem.NOT_FOUND, StoreProblem.CONFLICT))


class StoreHealth:
    """Remembers when the store was silent, and leaves it alone then.

    Failure: the store hangs. Symptom: each keyed request waits for it in
    vain, although the key's home alone would do. Enough: one request in
    two seconds finds out whether it is back.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._silent_until = dt.timedelta(0)

    @property
    def resting(self) -> bool:
        """Whether the store was silent a moment ago."""
        return self._clock.elapsed() < self._silent_until

    def silent(self, failure: StoreFailure) -> StoreSilent:
        """Note that the store gave no clear answer."""
        rest = utils.from_ms(_REST_MS)
        self._silent_until = self._clock.elapsed() + rest
        return StoreSilent(failure.detail or failure.problem.value)


class KeptClaim(msgspec.Struct, frozen=True):
    """A claim as it stands in the store."""

    claim: Claim
    version: ObjectVersion


class ClaimStore:
    """Creates and reads claims.

    Parameters
    ----------
    store
        The platform's.
    health
        Told when the store is silent.
    """

    def __init__(self, store: ObjectStore, health: StoreHealth) -> None:
        #: Told of each claim that was made, and of its version.
        self.on_made: list[Callable[[str, ObjectVersion], None]] = []
        # A caller waits for each of its answers.
        self._store = PatientStore(store)
        self._health = health

    async def create(
        self, name: str, claim: Claim, expired_before_ms: int
    ) -> ClaimResult:
        """Create a claim, or return the one that is there.

        Parameters
        ----------
        name
            Of the claim object.
        claim
            What to store.
        expired_before_ms
            A claim made before this counts as absent.
        """
        made = await self._put(name, claim, ABSENT)
        if made is not None:
            return made
        kept = await self.read(name)
        if kept is None:
            return StoreSilent('the claim went away while it was read')
        if isinstance(kept, StoreSilent):
            return kept
        if kept.claim.made_at_ms >= expired_before_ms:
            return ClaimFound(kept.claim)
        replaced = await self._put(name, claim, kept.version)
        return replaced or StoreSilent('another request took the claim over')

    async def read(self, name: str) -> KeptClaim | StoreSilent | None:
        """Return the claim of that name; None if there is none."""
        found = await self._store.read(CLAIM_KIND, name)
        if isinstance(found, StoredObject):
            claim = msgspec.json.decode(found.body, type=Claim)
            return KeptClaim(claim, found.version)
        if found.problem is StoreProblem.NOT_FOUND:
            return None
        return self._health.silent(found)

    async def remove(self, name: str, version: ObjectVersion) -> bool:
        """Delete a claim; False if the store did not answer."""
        gone = await self._store.delete(CLAIM_KIND, name, version)
        return isinstance(gone, StoredObject) or gone.problem in _SETTLED

    async def names(self) -> tuple[str, ...]:
        """Return the names of all claims; none if the store is silent."""
        found = await self._store.names(CLAIM_KIND)
        if isinstance(found, StoreFailure):
            self._health.silent(found)
            return ()
        return found

    async def _put(
        self, name: str, claim: Claim, expected: ObjectVersion
    ) -> ClaimMade | StoreSilent | None:
        """Write a claim; None if there is another one."""
        body = msgspec.json.encode(claim)
        written = await self._store.write(CLAIM_KIND, name, body, expected)
        if isinstance(written, StoredObject):
            for told in self.on_made:
                told(name, written.version)
            return ClaimMade(claim)
        if written.problem in _SETTLED:
            return None
        return self._health.silent(written)
