"""Outages of the store that begin with a write whose response is lost."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Final

from lab.outages import Loss, Outage, StoredWrite
from lab.store import StoreMode

if TYPE_CHECKING:
    import random

    from lab.deployment import Deployment

#: The share of outages of any manner. The others begin with the write that
#: creates a job, a reset and rejections, so that the job may be refused at each
#: attempt.
_OTHER_SHARE: Final = 0.5
_MODES: Final = tuple(mode for mode in StoreMode if mode is not StoreMode.UP)
_DURATION_RANGE_S: Final = (0.5, 4.5)
_MAX_OUTAGES: Final = 2
#: How long to wait for the write.
_WRITE_TIMEOUT_S: Final = 3
#: How long after the outage a late write is applied at most.
_MAX_LATENESS_S: Final = 1
_LATE_SHARE: Final = 0.2
_PARTIAL_SHARE: Final = 0.3
_RELAYED_SHARE: Final = 0.2
#: How long calls are relayed before, so that entries have kept connections.
#: For a second after an outage for all, no calls are relayed.
_RELAYING_S: Final = 1.5


class LostWrites:
    """Writes that the store carries out just before it can't be reached.

    Parameters
    ----------
    deployment
        The deployment with the store.
    rng
        The random source for writes, manners and durations.
    """

    def __init__(self, deployment: Deployment, rng: random.Random) -> None:
        self._deployment = deployment
        self._outages = deployment.store.write_faults.outages
        self._rng = rng
        self._entry_ips = [entry.ip for entry in deployment.entries]

    async def lose(self) -> None:
        """Lose the response to a write, in a manner that is drawn at random.

        While two outages last or wait for their write, no other one begins,
        so that the store carries out some writes in between.
        """
        if len(self._outages) >= _MAX_OUTAGES:
            return
        rng = self._rng
        duration_s = rng.uniform(*_DURATION_RANGE_S)
        outage = Outage(StoredWrite.RECORD, Loss.RESET, StoreMode.BUSY)
        if rng.random() < _OTHER_SHARE:
            outage = self._draw_outage(duration_s)
        relayed = rng.random() < _RELAYED_SHARE
        await self.lose_write(outage, duration_s, relayed=relayed)

    async def lose_write(
        self, outage: Outage, duration_s: float, *, relayed: bool = False
    ) -> None:
        """Lose the response to a write; return once its outage is over.

        Parameters
        ----------
        outage
            The outage that begins with the write.
        duration_s
            How long the outage lasts.
        relayed
            Whether all entries but one are rejected before, so that writes
            are relayed, and connections between entries are reset as well.
        """
        with contextlib.ExitStack() as ends:
            if relayed:
                self._have_writes_relayed(ends)
                outage.on_write = self._reset_entry_connections
                await asyncio.sleep(_RELAYING_S)
            self._apply(outage, ends)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_WRITE_TIMEOUT_S):
                    await outage.begun.wait()
            if outage.begun.is_set():
                await asyncio.sleep(duration_s)

    def _draw_outage(self, duration_s: float) -> Outage:
        """Return an outage with any write, at times for some entries only."""
        rng = self._rng
        outage = Outage(
            rng.choice(tuple(StoredWrite)),
            rng.choice(tuple(Loss)),
            rng.choice(_MODES),
        )
        if rng.random() < _LATE_SHARE:
            outage.write_delay_s = duration_s + rng.uniform(0, _MAX_LATENESS_S)
        if rng.random() < _PARTIAL_SHARE:
            count = rng.randrange(1, max(len(self._entry_ips), 2))
            outage.client_ips = frozenset(rng.sample(self._entry_ips, count))
        return outage

    def _apply(self, outage: Outage, ends: contextlib.ExitStack) -> None:
        self._outages.append(outage)
        ends.callback(self._outages.remove, outage)

    def _have_writes_relayed(self, ends: contextlib.ExitStack) -> None:
        """Reject all entries but one, which gets no submissions."""
        relay = self._rng.choice(self._deployment.entries)
        outage = Outage(None, Loss.RESET, StoreMode.BUSY)
        outage.client_ips = frozenset(self._entry_ips) - {relay.ip}
        self._apply(outage, ends)
        relay.in_rotation = False
        ends.callback(setattr, relay, 'in_rotation', True)

    def _reset_entry_connections(self) -> None:
        names = [entry.name for entry in self._deployment.entries]
        for proxy in self._deployment.ways_between(names, names):
            proxy.reset()
