"""Listing of a kind by hedged requests, since the store may lose a request."""

from __future__ import annotations

import asyncio
import datetime as dt
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.stored import Listing, Outcome

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.objects.client import ObjectClient

#: Time without a response after which one more listing is started. A store that
#: is sixty times slower than usual needs a quarter of it. It also bounds how
#: much earlier than the store's return the last lost listing was sent.
_HEDGE_DELAY_S: Final = 1
#: Number of listings in flight. Each times out after three seconds, or a
#: little later if it is sent through another entry.
_MAX_IN_FLIGHT: Final = 3


class PatientListing(msgspec.Struct, frozen=True):
    """What came of listings that were started one after the other."""

    #: The first successful listing, or the outcome of the last one.
    found: Listing | Outcome
    #: When the last listing was sent that was lost or failed, as monotonic
    #: time; ``None`` if the first one was successful.
    failed_at: dt.timedelta | None = None


async def list_patiently(
    store: ObjectClient, kind: str, clock: Clock
) -> PatientListing:
    """Return the first successful listing, or the outcome of the last one.

    Failure: the store does not answer for a while, and never answers the
    calls that it received in this time, not even after its return. Symptom:
    the listing waits for three seconds and longer, sent directly or through
    other entries, and an outdated manifest stays in force. With a shorter
    timeout, a process behind a slow link could never load a complete listing;
    so the earlier listings stay in flight beside the later ones.

    Parameters
    ----------
    store
        Client of the object store.
    kind
        The kind to list.
    clock
        The clock for the time of failures.
    """
    #: All listings, with the times at which they were sent, in order.
    sent: dict[asyncio.Task[Listing | Outcome], dt.timedelta] = {}
    pending: set[asyncio.Task[Listing | Outcome]] = set()
    try:
        while True:
            if len(pending) < _MAX_IN_FLIGHT:
                task = asyncio.create_task(store.listing(kind))
                sent[task] = clock.elapsed()
                pending.add(task)
            done, pending = await asyncio.wait(
                pending,
                timeout=_HEDGE_DELAY_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            chosen = _choose(done)
            if chosen is not None and (
                isinstance(chosen.result(), Listing) or not pending
            ):
                return _summarize(sent, chosen)
    finally:
        for task in pending:
            task.cancel()


def _choose(
    done: set[asyncio.Task[Listing | Outcome]],
) -> asyncio.Task[Listing | Outcome] | None:
    """Return a task with a listing if there is one, else any task."""
    return next(
        (task for task in done if isinstance(task.result(), Listing)),
        next(iter(done), None),
    )


def _summarize(
    sent: dict[asyncio.Task[Listing | Outcome], dt.timedelta],
    chosen: asyncio.Task[Listing | Outcome],
) -> PatientListing:
    """Return the result of a listing, and when one before it failed.

    A listing that was sent after the successful one has had no time to be
    answered, so it shows nothing.
    """
    found = chosen.result()
    earlier = [at for at in sent.values() if at < sent[chosen]]
    if not isinstance(found, Listing):
        earlier.append(sent[chosen])
    return PatientListing(found, max(earlier, default=None))
