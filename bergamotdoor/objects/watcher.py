"""Follows one kind of objects: lists it, then watches for changes."""

from __future__ import annotations

import datetime as dt
import logging
from typing import TYPE_CHECKING, Final, Protocol

from bergamotdoor.objects.patient_listing import list_patiently
from bergamotdoor.stored import Listing, Outcome
from bergamotdoor.types import Revision

if TYPE_CHECKING:
    from collections.abc import Callable

    from bergamotdoor.clock import Clock
    from bergamotdoor.objects.client import ObjectClient
    from bergamotdoor.objects.news import News, Watch
    from bergamotdoor.stored import Change

_FIRST_BACKOFF: Final = dt.timedelta(milliseconds=100)
_LAST_BACKOFF_MS: Final = 800
_LAST_BACKOFF: Final = dt.timedelta(milliseconds=_LAST_BACKOFF_MS)

_log = logging.getLogger('bergamotdoor.objects')


class View(Protocol):
    """Keeps what is known of a kind."""

    def reset(self, listing: Listing) -> None:
        """Take the whole kind."""

    def apply(self, changes: tuple[Change, ...]) -> None:
        """Take changes, in order."""

    def interrupted(self) -> None:
        """Take that the store can't be reached now."""


class Watcher:
    """Keeps a view of one kind up to date.

    Failure: the store tells a watch of nothing for a while and cuts it; the
    next watch goes on from the same revision and is told of later changes
    only. Symptom: this process lives by an old view for as long as that
    watch waits. After each interruption the kind is listed again, which
    cannot miss a change, and after a watch that ended without an event the
    next one begins at the same revision.

    Parameters
    ----------
    store
        Where the objects are.
    news
        Tells of their changes.
    watch
        Which objects, and how closely they are followed.
    view
        Takes what is found.
    clock
        For the pauses.
    on_proof
        Told when the view was known to be current, in time since the
        machine's start.
    """

    def __init__(
        self,
        store: ObjectClient,
        news: News,
        watch: Watch,
        view: View,
        clock: Clock,
        on_proof: Callable[[dt.timedelta], None] | None = None,
    ) -> None:
        self._store = store
        self._news = news
        self._watch = watch
        self._kind = watch.kind
        self._view = view
        self._clock = clock
        self._on_proof = on_proof
        self._backoff = _FIRST_BACKOFF
        #: The highest revision seen.
        self.revision = Revision(0)

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        while True:
            began = self._clock.uptime()
            found = await list_patiently(self._store, self._kind)
            await self._follow_listing(found, began)

    async def _follow_listing(
        self, found: Listing | Outcome, began: dt.timedelta
    ) -> None:
        if isinstance(found, Outcome):
            await self._rest(found)
            return
        self._view.reset(found)
        self._reached(found.revision)
        self._prove(began)
        outcome: Outcome | None = None
        while outcome is None:
            outcome = await self._follow_changes()

    async def _follow_changes(self) -> Outcome | None:
        found = await self._news.changes(self._watch, self.revision)
        if isinstance(found, Outcome):
            return await self._interrupted(found)
        if found.changes:
            self._view.apply(found.changes)
            self._reached(found.revision)
        self._prove(found.proven_at)
        return None

    def _prove(self, proven_at: dt.timedelta | None) -> None:
        if self._on_proof is not None and proven_at is not None:
            self._on_proof(proven_at)

    async def _interrupted(self, found: Outcome) -> Outcome:
        if found is Outcome.HISTORY_GONE:
            _log.info('objects: history of %s is gone, list it', self._kind)
        else:
            await self._rest(found)
        return found

    def _reached(self, revision: Revision) -> None:
        self.revision = max(self.revision, revision)
        self._backoff = _FIRST_BACKOFF

    async def _rest(self, why: Outcome) -> None:
        self._view.interrupted()
        _log.warning(
            'objects: watch of %s interrupted: %s, revision %d',
            self._kind,
            why.value,
            self.revision,
        )
        await self._clock.sleep(self._backoff)
        self._backoff = min(self._backoff * 2, _LAST_BACKOFF)
