"""Feeds of the changes of object kinds."""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final, Protocol

import msgspec

from bergamotdoor.objects.client import WatchCall
from bergamotdoor.stored import Changes, Outcome

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.objects.client import ObjectClient
    from bergamotdoor.types import Revision

#: Wait of a watch for a view whose age no rule bounds. A watch counts as one
#: call however long it waits; the store accepts waits of up to 30 s.
_DEFAULT_WAIT_S: Final = 10
LONG_WAIT: Final = dt.timedelta(seconds=_DEFAULT_WAIT_S)
#: Share of its wait after which a watch without a change has ended in order. A
#: shorter one was cut off.
_COMPLETE_WAIT_SHARE: Final = 0.9


class Watch(msgspec.Struct, frozen=True):
    """The kind of objects that is watched, and the timing of the watches."""

    kind: str
    #: Delay before each watch of the store. Each change ends a watch and each
    #: watch costs a call, so this delay batches changes that are close
    #: together into one call.
    gather: dt.timedelta
    #: Longest time that a single watch of the store waits. A watch whose
    #: history the store has dropped stays open without a response; the next
    #: watch gets HISTORY_GONE, so that the kind is listed again.
    wait: dt.timedelta = LONG_WAIT
    #: Interval after which the follower gets a result even without changes, as
    #: a proof that its view is current. ``None`` if it needs no proof.
    proof: dt.timedelta | None = None

    @property
    def patience(self) -> dt.timedelta:
        """Time that a single watch of the store waits for a change."""
        return self.wait if self.proof is None else min(self.wait, self.proof)


class News(Protocol):
    """Feed of the changes of object kinds."""

    async def changes(self, watch: Watch, since: Revision) -> Changes | Outcome:
        """Wait for changes of a kind after a revision.

        Parameters
        ----------
        watch
            The kind, and the timing of the watches.
        since
            The revision after which changes are returned.

        Returns
        -------
        Changes or Outcome
            The changes, empty if there were none during the wait. With
            HISTORY_GONE and CUT_SHORT the kind has to be listed. With any
            other outcome the store can't be reached.
        """


class StoreNews:
    """Feed of changes that watches the store itself.

    Parameters
    ----------
    store
        Client of the object store.
    clock
        The clock for delays and for the time of proofs.
    """

    def __init__(self, store: ObjectClient, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    async def changes(self, watch: Watch, since: Revision) -> Changes | Outcome:
        """Watch the store once, after the delay for batching."""
        await self._clock.sleep(watch.gather)
        began_at = self._clock.elapsed()
        proven_at = self._clock.uptime()
        found = await self._store.changes(
            WatchCall(watch.kind, since, watch.patience, watch.gather)
        )
        waited = self._clock.elapsed() - began_at
        if isinstance(found, Outcome):
            ended_early = _ended_early(waited, watch.patience)
            is_cut = found is Outcome.UNCLEAR and ended_early
            return Outcome.CUT_SHORT if is_cut else found
        # The store answers at once if the kind had changed before the watch,
        # so the result proves the state at the beginning of the watch.
        found = msgspec.structs.replace(found, proven_at=proven_at)
        if found.changes:
            return found
        # A watch may also end without an event because the store did not
        # report a change. The next watch begins at the same revision, and
        # returns the change or HISTORY_GONE. A watch that ended before its
        # time was cut off.
        if _ended_early(waited, found.wait or watch.patience):
            return Outcome.CUT_SHORT
        return found


def _ended_early(waited: dt.timedelta, asked: dt.timedelta) -> bool:
    return waited <= asked * _COMPLETE_WAIT_SHARE
