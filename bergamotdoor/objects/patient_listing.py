"""Lists a kind although the store may have swallowed a listing."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from bergamotdoor.stored import Listing, Outcome

if TYPE_CHECKING:
    from bergamotdoor.objects.client import ObjectClient

#: How long a listing is waited for before another one is begun beside it.
#: Six times what a store takes that is sixty times as slow as usual, and half
#: of the shortest time in which a view must be true after its return.
_PATIENCE_S: Final = 1.5
#: How many are under way at a time. One runs out of time after three
#: seconds, or somewhat later through another entry.
_MOST: Final = 3


async def list_patiently(store: ObjectClient, kind: str) -> Listing | Outcome:
    """Return the first listing that succeeds, or how the last one failed.

    Failure: the store is silent for a while and answers no call that it has
    taken meanwhile, also after its return. Symptom: the listing, and those
    through other entries, wait for three seconds and more, and an old manifest
    stays in force. A shorter time for each would keep a process behind a slow
    link from ever having a whole listing, so the first ones go on.
    """
    pending: set[asyncio.Task[Listing | Outcome]] = set()
    try:
        while True:
            if len(pending) < _MOST:
                pending.add(asyncio.create_task(store.listing(kind)))
            done, pending = await asyncio.wait(
                pending,
                timeout=_PATIENCE_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            found = _best(done)
            if isinstance(found, Listing) or (found and not pending):
                return found
    finally:
        for task in pending:
            task.cancel()


def _best(
    done: set[asyncio.Task[Listing | Outcome]],
) -> Listing | Outcome | None:
    """Return a listing if there is one, or else how one failed, if any."""
    found = [task.result() for task in done]
    return next(
        (one for one in found if isinstance(one, Listing)),
        next(iter(found), None),
    )
