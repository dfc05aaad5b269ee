"""Listing of a kind by hedged requests, since the store may lose a request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from bergamotdoor.stored import Listing, Outcome

if TYPE_CHECKING:
    from bergamotdoor.objects.client import ObjectClient

#: Time without a response after which one more listing is started. It is six
#: times what a store needs that is sixty times slower than usual, and half of
#: the shortest time in which a view must be current after the store's return.
_HEDGE_DELAY_S: Final = 1.5
#: Number of listings in flight. Each times out after three seconds, or a
#: little later if it is sent through another entry.
_MAX_IN_FLIGHT: Final = 3


async def list_patiently(store: ObjectClient, kind: str) -> Listing | Outcome:
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
    """
    pending: set[asyncio.Task[Listing | Outcome]] = set()
    try:
        while True:
            if len(pending) < _MAX_IN_FLIGHT:
                pending.add(asyncio.create_task(store.listing(kind)))
            done, pending = await asyncio.wait(
                pending,
                timeout=_HEDGE_DELAY_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            found = _select_result(done)
            if isinstance(found, Listing) or (found and not pending):
                return found
    finally:
        for task in pending:
            task.cancel()


def _select_result(
    done: set[asyncio.Task[Listing | Outcome]],
) -> Listing | Outcome | None:
    """Return a listing if any task has one, else an outcome.

    ``None`` if no task is done.
    """
    results = [task.result() for task in done]
    return next(
        (found for found in results if isinstance(found, Listing)),
        next(iter(results), None),
    )
