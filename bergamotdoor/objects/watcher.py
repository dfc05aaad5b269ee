"""Watcher of one object kind: lists it, then watches it for changes."""

from __future__ import annotations

import datetime as dt
import logging
from typing import TYPE_CHECKING, Final, Protocol

from bergamotdoor.objects.listed_ahead import ListedAhead
from bergamotdoor.objects.patient_listing import list_patiently
from bergamotdoor.stored import Listing, Outcome
from bergamotdoor.types import Revision

if TYPE_CHECKING:
    from collections.abc import Callable

    from bergamotdoor.clock import Clock
    from bergamotdoor.objects.client import ObjectClient
    from bergamotdoor.objects.news import News, Watch
    from bergamotdoor.stored import Change

#: Pause after the first interruption; it doubles with each further one.
_MIN_BACKOFF: Final = dt.timedelta(milliseconds=100)
_MAX_BACKOFF_MS: Final = 800
_MAX_BACKOFF: Final = dt.timedelta(milliseconds=_MAX_BACKOFF_MS)

_log = logging.getLogger('bergamotdoor.objects')


class View(Protocol):
    """Local copy of the objects of a kind."""

    def reset(self, listing: Listing) -> None:
        """Replace the content by all objects of the kind."""

    def apply(self, changes: tuple[Change, ...]) -> None:
        """Apply changes, in order."""

    def interrupted(self, failed_at: dt.timedelta) -> None:
        """Note that the store could not be reached.

        Parameters
        ----------
        failed_at
            When the call was sent that failed, as monotonic time. The store
            may have been reachable again right after it.
        """


class Watcher:
    """Keeps a view of one kind up to date.

    Failure: for a while the store does not report changes to a watch, and
    then cuts it; the next watch from the same revision gets later changes
    only. Symptom: this process uses an outdated view for as long as that
    watch waits. Therefore the kind is listed again after each interruption,
    since a listing can't miss a change, and after a watch that ended without
    an event the next watch begins at the same revision.

    A listing of several pages has objects that are newer than its revision,
    so changes that the listing includes arrive once more. They are left out
    until the changes have caught up with it.

    Parameters
    ----------
    store
        Client of the object store, for listings.
    news
        Feed of the changes.
    watch
        The kind, and the timing of the watches.
    view
        The view to keep up to date.
    clock
        The clock for backoffs and for the time of proofs.
    on_proof
        Called with the time up to which the view is proven current, as time
        since the machine's start.
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
        self._backoff = _MIN_BACKOFF
        self._ahead = ListedAhead()
        #: The revision up to which all changes of the kind are known.
        self.revision = Revision(0)

    async def run(self) -> None:
        """Keep the view up to date until cancelled."""
        while True:
            began_at = self._clock.uptime()
            listed = await list_patiently(self._store, self._kind, self._clock)
            if listed.failed_at is not None:
                self._view.interrupted(listed.failed_at)
            if isinstance(listed.found, Outcome):
                await self._back_off(listed.found)
            else:
                await self._watch_from_listing(listed.found, began_at)

    async def _watch_from_listing(
        self, found: Listing, began_at: dt.timedelta
    ) -> None:
        """Apply a listing, then changes until a watch is interrupted."""
        self._view.reset(found)
        self._ahead = ListedAhead.from_listing(found)
        self._advance(found.revision)
        self._report_proof(began_at)
        outcome: Outcome | None = None
        while outcome is None:
            outcome = await self._watch_once()

    async def _watch_once(self) -> Outcome | None:
        """Apply the changes of one watch; return why it was interrupted."""
        sent_at = self._clock.elapsed() + self._watch.gather
        found = await self._news.changes(self._watch, self.revision)
        if isinstance(found, Outcome):
            return await self._handle_interruption(found, sent_at)
        if found.changes:
            self._view.apply(self._ahead.without_older(found))
            self._advance(max(self.revision, found.revision))
        self._report_proof(found.proven_at)
        return None

    def _report_proof(self, proven_at: dt.timedelta | None) -> None:
        if self._on_proof is not None and proven_at is not None:
            self._on_proof(proven_at)

    async def _handle_interruption(
        self, found: Outcome, sent_at: dt.timedelta
    ) -> Outcome:
        """Notify the view unless the interruption says nothing of the store.

        Failure: a single watch ends early, and registrations that are removed
        next count as lapsed in an outage. Symptom: an upstream that has left
        gets calls until it ends. If the store is really away, the listing
        that follows fails as well.
        """
        if found is Outcome.HISTORY_GONE:
            _log.info(
                'objects: change history of %s is gone, listing it', self._kind
            )
            return found
        if found is not Outcome.CUT_SHORT:
            self._view.interrupted(min(sent_at, self._clock.elapsed()))
        await self._back_off(found)
        return found

    def _advance(self, revision: Revision) -> None:
        self.revision = revision
        self._backoff = _MIN_BACKOFF

    async def _back_off(self, reason: Outcome) -> None:
        """Log an interruption, and pause."""
        _log.warning(
            'objects: watch of %s interrupted: %s, revision %d',
            self._kind,
            reason.value,
            self.revision,
        )
        await self._clock.sleep(self._backoff)
        self._backoff = min(self._backoff * 2, _MAX_BACKOFF)
