"""Finds the only sidecar that may run a keyed call.

How claims and homes make up for each other is told in
``docs/design/idempotency.md``.
"""

from __future__ import annotations

import datetime as dt
from collections.abc import Callable
from typing import TYPE_CHECKING, Final, Protocol

import msgspec

from bergamotdoor import utils
from bergamotdoor.clock import Clock
from bergamotdoor.entry.claims_store import ClaimStore, StoreHealth
from bergamotdoor.entry.claims_sweep import ClaimSweeper
from bergamotdoor.entry.claims_witnesses import (
    KnownBook,
    SeenHomes,
    WitnessBooks,
)
from bergamotdoor.entry.dispatch_state import ClaimState
from bergamotdoor.entry.interfaces import Call, ConfigurationView
from bergamotdoor.routing.keys import (
    Claim,
    ClaimFound,
    ClaimResult,
    NoClaim,
    StoreSilent,
    claim_name,
    join_claim,
    judge_claim,
)
from bergamotdoor.routing.witnesses import (
    MAX_SKEW_MS,
    WitnessBook,
    WitnessTimes,
    acting_home,
    with_homes,
    witness_of,
)
from bergamotdoor.settings.document import Limits
from bergamotdoor.store.protocols import ObjectStore
from bergamotdoor.types import (
    IdempotencyKey,
    Incarnation,
    ServiceId,
    UpstreamId,
)
from bergamotdoor.verdict import Failure, Reason, Verdict

if TYPE_CHECKING:
    from bergamotdoor.routing.attempts import Binding
    from bergamotdoor.settings.document import Configuration

_MS_PER_SECOND: Final = 1000
_RETRY_AFTER_MS: Final = 1000
#: The home of a key may change while it is looked up.
_MAX_LOOKUPS: Final = 3


class HomeFinder(Protocol):
    """Tells which incarnation of a sidecar is there."""

    async def incarnation(
        self, upstream: UpstreamId, patience: dt.timedelta
    ) -> Incarnation | None:
        """Return it; None if the sidecar can't be reached."""


def nobody_leads() -> bool:
    """Leave to others what others left."""
    return False


class ClaimParts(msgspec.Struct, frozen=True, kw_only=True):
    """What the claims are built from.

    ``leads`` says whether this entry is the one, of all, that deletes old
    claims which other entries left.
    """

    store: ObjectStore
    configuration: ConfigurationView
    homes: HomeFinder
    clock: Clock
    leads: Callable[[], bool] = nobody_leads


class _Question(msgspec.Struct, frozen=True):
    """Which key is asked about, of which request, and when."""

    service: ServiceId
    key: IdempotencyKey
    hashed: str
    patience: dt.timedelta
    times: WitnessTimes

    @property
    def claim_name(self) -> str:
        return claim_name(self.service, self.key)

    @property
    def oldest_ms(self) -> int:
        """When the oldest claims that count were made."""
        times = self.times
        return times.now_ms - times.retention_ms - MAX_SKEW_MS

    def home(self, book: WitnessBook) -> UpstreamId | None:
        return acting_home(book, self.service, self.key, self.times)


class _Home(msgspec.Struct, frozen=True):
    """A key's home as it was found."""

    upstream: UpstreamId
    incarnation: Incarnation
    known: KnownBook


class Claims:
    """Binds keys to sidecars; implements KeyBinder.

    Parameters
    ----------
    parts
        What it uses.
    """

    def __init__(self, parts: ClaimParts) -> None:
        self._parts = parts
        self._health = StoreHealth(parts.clock)
        self._claims = ClaimStore(parts.store, self._health)
        self._books = WitnessBooks(parts.store, self._health)
        self._sweeper = ClaimSweeper(
            self._claims, parts.clock, self._retention, parts.leads
        )
        self._claims.on_made.append(self._sweeper.note)

    def start(self) -> None:
        """Begin to delete old claims."""
        self._sweeper.start()

    async def stop(self) -> None:
        """End the task that deletes old claims."""
        await self._sweeper.stop()

    def dump(self) -> ClaimState:
        """Return the state of this entry's claims."""
        return ClaimState(
            self._health.resting, self._sweeper.kept, self._books.count
        )

    async def bind(self, call: Call, hashed: str) -> Binding | Failure:
        """Return the only sidecar that may run `call`."""
        assert call.key is not None, 'a call without a key'
        current = self._parts.configuration.current()
        if current is None:
            return _no_home(call.service)
        question = _Question(
            call.service, call.key, hashed, call.deadline, self._times(current)
        )
        home = await self._home(question, current)
        if home is None:
            return await self._without_home(question)
        return await self._judge(question, home)

    async def _judge(
        self, question: _Question, home: _Home
    ) -> Binding | Failure:
        witness = witness_of(
            home.known.book,
            question.service,
            question.key,
            home.upstream,
            question.times,
        )
        wanted = Claim(
            home.upstream,
            home.incarnation,
            question.hashed,
            question.times.now_ms,
        )
        if witness.doubted or self._health.resting or not home.known.stored:
            found = await self._look_up(question)
        else:
            found = await self._claims.create(
                question.claim_name, wanted, question.oldest_ms
            )
        return judge_claim(wanted, found, witness)

    async def _home(
        self, question: _Question, current: Configuration
    ) -> _Home | None:
        """Find the key's home, with its incarnation on record."""
        homes = homes_of(current, question.service)
        book = with_homes(
            self._books.known(question.service),
            current.generation,
            homes,
            question.times,
        )
        for _ in range(_MAX_LOOKUPS):
            name = question.home(book)
            incarnation = await self._incarnation(name, question)
            if name is None or incarnation is None:
                return None
            seen = SeenHomes(current.generation, homes, name, incarnation)
            known = await self._books.note(
                question.service, seen, question.times
            )
            book = known.book
            if question.home(book) == name:
                return _Home(name, incarnation, known)
        return None

    async def _incarnation(
        self, upstream: UpstreamId | None, question: _Question
    ) -> Incarnation | None:
        if upstream is None:
            return None
        return await self._parts.homes.incarnation(upstream, question.patience)

    async def _without_home(self, question: _Question) -> Binding | Failure:
        """Ask where an earlier request with the key went, if one did."""
        found = await self._look_up(question)
        if isinstance(found, ClaimFound):
            return join_claim(found.claim, question.hashed)
        return _no_home(question.service)

    async def _look_up(self, question: _Question) -> ClaimResult:
        """Read a claim without making one."""
        if self._health.resting:
            return StoreSilent('the store does not answer')
        kept = await self._claims.read(question.claim_name)
        if isinstance(kept, StoreSilent):
            return kept
        if kept is None or kept.claim.made_at_ms < question.oldest_ms:
            return NoClaim()
        return ClaimFound(kept.claim)

    def _retention(self) -> dt.timedelta:
        current = self._parts.configuration.current()
        limits = current.document.rules.limits if current else Limits()
        return utils.from_ms(limits.retention_ms)

    def _times(self, current: Configuration) -> WitnessTimes:
        now_ms = self._parts.clock.now().timestamp() * _MS_PER_SECOND
        return WitnessTimes(
            int(now_ms), current.document.rules.limits.retention_ms
        )


def homes_of(
    current: Configuration, service: ServiceId
) -> tuple[UpstreamId, ...]:
    """Return the homes of a service's keys, the same in every entry.

    One that the configuration says is leaving refuses new work, so it is
    a home no more. What only the VM list says is not known everywhere at
    once and changes no home.
    """
    leaving = current.document.rules.leaving
    return tuple(
        upstream.id
        for found in current.document.inventory.services
        if found.id == service
        for upstream in found.upstreams
        if upstream.id not in leaving
    )


def _no_home(service: ServiceId) -> Failure:
    return Failure(
        Verdict.NOT_RUN,
        Reason.UPSTREAM_UNREACHABLE,
        f'the home of the key at {service} is not reachable',
        _RETRY_AFTER_MS,
    )
