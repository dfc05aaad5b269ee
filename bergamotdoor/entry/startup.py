"""The first listings that a process needs before it can serve callers."""

from __future__ import annotations

import asyncio
import enum
from typing import Final

#: How long a request waits for the first listings of a new process. The
#: store answers in milliseconds, and in a quarter of a second when it is
#: sixty times as slow as usual.
_LISTINGS_TIMEOUT_S: Final = 0.3


class StartupListing(enum.Enum):
    """Listing that must be known before callers can be served."""

    MANIFEST = 'manifest'
    UPSTREAMS = 'upstreams'
    #: The strikes of the other entries.
    STRIKES = 'strikes'


class StartupGate:
    """Gate that holds the first requests until the first listings are known.

    Failure: a process reads requests a few milliseconds before it has its
    first manifest. Symptom: it refuses them, and after a loss of power
    everywhere it also refuses the one retry that each caller makes. Waiting
    for the listings, which are already in flight, costs some milliseconds;
    the wait is bounded while the store is unreachable.
    """

    def __init__(self) -> None:
        self._known = {listing: asyncio.Event() for listing in StartupListing}
        self._complete = asyncio.Event()

    def mark_known(self, listing: StartupListing) -> None:
        """Record that a listing is known.

        Parameters
        ----------
        listing
            The listing; it may have been known before.
        """
        self._known[listing].set()
        if all(known.is_set() for known in self._known.values()):
            self._complete.set()

    @property
    def knows_strikes(self) -> bool:
        """Whether the strikes of the other entries are known."""
        return self._known[StartupListing.STRIKES].is_set()

    async def wait_for(self, listing: StartupListing) -> None:
        """Return once a listing is known, however long that takes."""
        await self._known[listing].wait()

    async def wait(self) -> None:
        """Return once all listings are known or the timeout has passed."""
        if self._complete.is_set():
            return
        try:
            async with asyncio.timeout(_LISTINGS_TIMEOUT_S):
                await self._complete.wait()
        except TimeoutError:
            return
