"""Reaches the store through other entries where the own way is cut.

Failure: a VM is cut off from the store, or the store turns it away, for
seconds, while its callers, the engines and the other entries reach it.
Symptom: it can neither take jobs in nor list results, and a step that it
owns misses its time. The store's calls are conditional, so a call that
went both ways has one effect, and the other entries see a store that is
the same for all.
"""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from http import HTTPStatus
from typing import TYPE_CHECKING, Final, Protocol

from bergamotdoor.objects.client import Answer, Caller
from bergamotdoor.peers.messages import StoreCall, StoreReply
from bergamotdoor.stored import Outcome

if TYPE_CHECKING:
    import random
    from typing import TypeAlias

    from bergamotdoor.clock import Clock
    from bergamotdoor.peers.client import PeerClient
    from bergamotdoor.peers.directory import Directory
    from bergamotdoor.settings.document import Address

    _Found: TypeAlias = Answer | Outcome
    #: A call on its way.
    _Way: TypeAlias = asyncio.Task[_Found]

#: Well above the store's answers when it is slow for everyone, so that a
#: slow store is not asked twice; far below the call's timeout.
_PATIENCE_MS: Final = 350
_PATIENCE: Final = dt.timedelta(milliseconds=_PATIENCE_MS)
#: How long the other way is taken before the own one is tried again.
_DETOUR: Final = dt.timedelta(seconds=1)
#: How long other entries are left alone after none of them helped. A store
#: that is down for all is then called 1.2 times for each call instead of 3
#: times, with a call each 100 ms.
_CLOSED: Final = dt.timedelta(seconds=1)
#: How many entries are asked; each may be cut off as well.
_MOST_PEERS: Final = 2
_MS: Final = dt.timedelta(milliseconds=1)
_REFUSALS: Final = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)

_log = logging.getLogger('bergamotdoor.peers')


class Relay(Protocol):
    """Asks one other entry for a call of the store."""

    async def call(
        self, address: Address, call: StoreCall, timeout: dt.timedelta
    ) -> Answer | Outcome:
        """Return what the store answered there."""


class PeerRelay:
    """Relays over the protocol between entries."""

    def __init__(self, peers: PeerClient) -> None:
        self._peers = peers

    async def call(
        self, address: Address, call: StoreCall, timeout: dt.timedelta
    ) -> Answer | Outcome:
        """Return what the store answered there."""
        reply = await self._peers.ask(address, call, timeout)
        if not isinstance(reply, StoreReply):
            return Outcome.UNCLEAR
        if reply.status is None:
            return Outcome.UNCLEAR if reply.unclear else Outcome.NOT_DONE
        return Answer(reply.status, reply.body)


class RelayingCaller:
    """Calls the store directly, or through other entries.

    Parameters
    ----------
    direct
        The own way.
    relay
        The other ways.
    clock
        For the pauses.
    rng
        Spreads the calls over the entries.
    """

    def __init__(
        self,
        direct: Caller,
        relay: Relay,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._direct = direct
        self._relay = relay
        self._clock = clock
        self._rng = rng
        self._detour_until = dt.timedelta()
        self._closed_until = dt.timedelta()
        #: Set once the entries can be known.
        self.directory: Directory | None = None

    async def call(
        self, method: str, path: str, body: bytes, timeout: dt.timedelta
    ) -> Answer | Outcome:
        """Return the first answer that is no refusal, from any way."""
        call = StoreCall(method, path, body, timeout // _MS)
        addresses = self._addresses()
        if not addresses:
            return await self._call_directly(call, timeout)
        found: Answer | Outcome = Outcome.NOT_DONE
        if self._clock.elapsed() < self._detour_until:
            found = await self._go_round(call, addresses, timeout)
            if usable(found):
                return found
        # What was left open on the first way stays so.
        return _worse(await self._either(call, addresses, timeout), found)

    async def watch(self, path: str, timeout: dt.timedelta) -> Answer | Outcome:
        """Wait for news, on one way only.

        Its silence tells nothing, and one that was cut is not begun again
        on another way: its caller lists first.
        """
        addresses = self._addresses()
        if addresses and self._clock.elapsed() < self._detour_until:
            call = StoreCall('GET', path, b'', timeout // _MS)
            return await self._relay.call(addresses[0], call, timeout)
        return await self._direct.watch(path, timeout)

    def _addresses(self) -> list[Address]:
        if self.directory is None or self._closed():
            return []
        known = [entry.address for entry in self.directory.entries.values()]
        return self._rng.sample(known, min(len(known), _MOST_PEERS))

    def _closed(self) -> bool:
        """Return whether the other ways were found to be no better."""
        return self._clock.elapsed() < self._closed_until

    async def _call_directly(
        self, call: StoreCall, timeout: dt.timedelta
    ) -> Answer | Outcome:
        return await self._direct.call(
            call.method, call.path, call.body, timeout
        )

    async def _either(
        self, call: StoreCall, addresses: list[Address], timeout: dt.timedelta
    ) -> Answer | Outcome:
        direct = asyncio.create_task(self._call_directly(call, timeout))
        try:
            return await self._beside(direct, call, addresses, timeout)
        finally:
            direct.cancel()

    async def _beside(
        self,
        direct: _Way,
        call: StoreCall,
        addresses: list[Address],
        timeout: dt.timedelta,
    ) -> _Found:
        await asyncio.wait((direct,), timeout=_PATIENCE.total_seconds())
        if _has_answer(direct):
            return direct.result()
        others = asyncio.create_task(self._go_round(call, addresses, timeout))
        try:
            return await self._first_answer(direct, others)
        finally:
            others.cancel()

    async def _first_answer(self, direct: _Way, others: _Way) -> _Found:
        """Return the answer of the way that has one first.

        Failure: the own way is only slow, and so are the others. Symptom: a
        call whose own answer came 0.05 s after the patience waited 0.7 s for
        another entry's, and a step that was handed over stood still.
        """
        pending = {way for way in (direct, others) if not way.done()}
        while pending and not _has_answer(direct) and not _has_answer(others):
            _, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
        if _has_answer(direct):
            return direct.result()
        if _has_answer(others):
            self._go_by_others()
            return others.result()
        self._closed_until = self._clock.elapsed() + _CLOSED
        return _worse(direct.result(), others.result())

    def _go_by_others(self) -> None:
        now = self._clock.elapsed()
        if now >= self._detour_until:
            _log.warning('peers: the store is reached by others only')
        self._detour_until = now + _DETOUR

    async def _go_round(
        self, call: StoreCall, addresses: list[Address], timeout: dt.timedelta
    ) -> Answer | Outcome:
        found: Answer | Outcome = Outcome.NOT_DONE
        for address in addresses:
            found = _worse(
                await self._relay.call(address, call, timeout), found
            )
            if usable(found):
                return found
        return found


async def relayed(direct: Caller, call: StoreCall) -> StoreReply:
    """Make a call for another process, by the own way only."""
    timeout = call.timeout_ms * _MS
    found = await direct.call(call.method, call.path, call.body, timeout)
    if isinstance(found, Answer):
        return StoreReply(found.status, found.body)
    return StoreReply(None, b'', unclear=found is Outcome.UNCLEAR)


def usable(found: Answer | Outcome) -> bool:
    """Return whether the store answered, and did not turn the call away."""
    return isinstance(found, Answer) and found.status not in _REFUSALS


def _has_answer(way: _Way) -> bool:
    return way.done() and usable(way.result())


def _worse(
    found: Answer | Outcome, earlier: Answer | Outcome
) -> Answer | Outcome:
    """Keep that a call may have been done, if any way left that open."""
    if usable(found):
        return found
    if earlier is Outcome.UNCLEAR:
        return earlier
    return found
