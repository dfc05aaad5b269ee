"""Reach the store through other entries if the direct path fails.

Failure: for seconds, a VM can't reach the store, or the store refuses its
calls, while its callers, the engines and the other entries still reach it.
Symptom: the VM's entry can neither accept jobs nor list results, and a step
that it owns misses its deadline. The calls to the store are conditional, so
a call that was sent both directly and through another entry takes effect
once. All entries see the same store.
"""

from __future__ import annotations

import datetime as dt
import functools
import logging
from typing import TYPE_CHECKING, Final, Protocol

import msgspec

from bergamotdoor.objects.client import Answer
from bergamotdoor.observe import call_trace, subjects
from bergamotdoor.peers.messages import StoreCall, StoreReply
from bergamotdoor.peers.paths import Path, try_paths, usable
from bergamotdoor.stored import Outcome

if TYPE_CHECKING:
    import random

    from bergamotdoor.clock import Clock
    from bergamotdoor.objects.client import Caller, DirectCaller, WatchCall
    from bergamotdoor.peers.client import PeerClient, PeerExchange
    from bergamotdoor.peers.directory import Directory
    from bergamotdoor.peers.messages import PeerReply
    from bergamotdoor.peers.sharing import SharingBounds
    from bergamotdoor.settings.document import Address

#: A call without an answer for so long is also sent through other entries. It
#: is well above the response time of a store that is slow for everyone, so
#: that a slow store does not get calls twice, and far below the call's timeout.
_HEDGE_DELAY_MS: Final = 350
_HEDGE_DELAY: Final = dt.timedelta(milliseconds=_HEDGE_DELAY_MS)
#: How long calls are sent through other entries before the direct path is
#: tried again.
_RELAY_FIRST_PERIOD: Final = dt.timedelta(seconds=1)
#: No call is relayed for so long after no entry got a usable answer. A store
#: that is down for all then receives 1.2 calls for each call instead of 3, if a
#: call is made each 100 ms.
_RELAY_PAUSE: Final = dt.timedelta(seconds=1)
#: How many entries a call is relayed through at most; each may be cut off from
#: the store as well.
_MAX_RELAYS: Final = 2
_MS: Final = dt.timedelta(milliseconds=1)

_log = logging.getLogger('bergamotdoor.peers')


class Relay(Protocol):
    """Interface for calls to the store through one other entry."""

    async def call(
        self, address: Address, call: StoreCall, timeout: dt.timedelta
    ) -> Answer | Outcome:
        """Return the store's answer to the call of the entry at `address`."""


class PeerRelay:
    """Relays calls over the protocol between entries.

    Parameters
    ----------
    peers
        Client for requests to other entries.
    """

    def __init__(self, peers: PeerClient) -> None:
        self._peers = peers

    async def call(
        self, address: Address, call: StoreCall, timeout: dt.timedelta
    ) -> Answer | Outcome:
        """Return the store's answer to the call of the entry at `address`.

        Returns
        -------
        Answer or Outcome
            ``NOT_DONE`` if the call surely had no effect, ``UNCLEAR`` if it
            may have had one.

        Notes
        -----
        Failure: the entry has made the call, its connection is reset, and the
        store rejects the call of the second attempt. Symptom: a write that
        took effect is reported as rejected.

        Both attempts share one time limit, so that an entry which does not
        answer is not waited for twice.
        """
        sent = call_trace.begin_path(
            f'through {address.ip}:{address.port}', relayed=True
        )
        exchange = await self._peers.exchange(
            address, call, timeout, one_limit=True
        )
        answer = _answer_in(exchange.reply)
        sent.end(_describe(exchange), failed=not usable(answer))
        has_no_effect = answer is Outcome.NOT_DONE or (
            isinstance(answer, Answer) and answer.is_rejection
        )
        if exchange.sent_before and has_no_effect:
            return Outcome.UNCLEAR
        return answer


class RelayingCaller:
    """Calls the store directly, or through other entries.

    Parameters
    ----------
    direct
        Calls the store directly from this VM.
    relay
        Calls the store through another entry.
    clock
        Clock for the periods in which one of the paths is not used.
    rng
        Chooses the entries through which a call is relayed.
    bounds
        Time limits of a watch through another entry.
    sender
        Name of this process for the logs of the other entries.
    """

    def __init__(
        self,
        direct: Caller,
        relay: Relay,
        clock: Clock,
        rng: random.Random,
        bounds: SharingBounds,
        sender: str = '',
    ) -> None:
        self._direct = direct
        self._sender = sender
        self._relay = relay
        self._clock = clock
        self._rng = rng
        self._bounds = bounds
        self._relay_first_until = dt.timedelta()
        self._relay_paused_until = dt.timedelta()
        #: Addresses of the other entries; ``None`` until the directory exists.
        self.directory: Directory | None = None

    async def call(
        self, method: str, path: str, body: bytes, timeout: dt.timedelta
    ) -> Answer | Outcome:
        """Return the first answer that is not a rejection, from any path.

        Returns
        -------
        Answer or Outcome
            ``UNCLEAR`` if there was no such answer and the call may have
            taken effect on any of the paths.
        """
        call = self._message(method, path, body, timeout)
        relays = self._pick_relays()
        if not relays:
            return await self._call_directly(call, timeout)
        started_at = self._clock.elapsed()
        relay_first = self._is_relay_first()
        result = await try_paths(
            self._paths(call, relays, timeout), _HEDGE_DELAY
        )
        if result.path is None:
            self._relay_paused_until = self._clock.elapsed() + _RELAY_PAUSE
        elif not result.path.relayed:
            self._relay_first_until = dt.timedelta()
        elif not relay_first:
            self._prefer_relays(started_at)
        return result.found

    async def watch(self, watch: WatchCall) -> Answer | Outcome:
        """Watch the store on one path only.

        A watch without an answer does not show that its path has failed. An
        interrupted watch is not restarted on another path, since the caller
        has to list first.

        A relayed watch is short, since the relaying entry may stop answering
        while the direct path works again. Its failure says nothing about the
        store.
        """
        relays = self._pick_relays()
        if relays and self._is_relay_first():
            return await self._watch_through(relays[0], watch)
        return await self._direct.watch(watch)

    async def _watch_through(
        self, address: Address, watch: WatchCall
    ) -> Answer | Outcome:
        wait = min(watch.wait, self._bounds.relayed_wait(watch.gather))
        shorter = msgspec.structs.replace(watch, wait=wait)
        call = self._message('GET', shorter.path, b'', shorter.timeout)
        found = await self._relay.call(address, call, wait)
        if isinstance(found, Answer) and usable(found):
            return msgspec.structs.replace(found, wait=wait)
        self._relay_first_until = dt.timedelta()
        return Outcome.CUT_SHORT

    def _message(
        self, method: str, path: str, body: bytes, timeout: dt.timedelta
    ) -> StoreCall:
        subject = subjects.current()
        return StoreCall(
            method,
            path,
            body,
            timeout // _MS,
            self._sender,
            subject.job,
            subject.request,
        )

    def _pick_relays(self) -> list[Address]:
        """Return the entries to relay a call through, in random order."""
        if self.directory is None or self._is_relay_paused():
            return []
        addresses = [entry.address for entry in self.directory.entries.values()]
        return self._rng.sample(addresses, min(len(addresses), _MAX_RELAYS))

    def _is_relay_paused(self) -> bool:
        """Return whether relayed calls recently failed as direct ones did."""
        return self._clock.elapsed() < self._relay_paused_until

    async def _call_directly(
        self, call: StoreCall, timeout: dt.timedelta
    ) -> Answer | Outcome:
        return await self._direct.call(
            call.method, call.path, call.body, timeout
        )

    def _paths(
        self, call: StoreCall, relays: list[Address], timeout: dt.timedelta
    ) -> list[Path]:
        """Return the paths of a call, in the order to try them."""
        direct = Path(
            relayed=False,
            send=functools.partial(self._call_directly, call, timeout),
        )
        first, *others = (
            Path(
                relayed=True,
                send=functools.partial(self._relay.call, relay, call, timeout),
            )
            for relay in relays
        )
        if self._is_relay_first():
            return [first, direct, *others]
        return [direct, first, *others]

    def _is_relay_first(self) -> bool:
        return self._clock.elapsed() < self._relay_first_until

    def _prefer_relays(self, failed_at: dt.timedelta) -> None:
        """Try relays first for a while.

        Parameters
        ----------
        failed_at
            When the direct call was sent that was not answered in time.
        """
        if not self._is_relay_first():
            _log.warning('peers: the store is reached by others only')
        self._relay_first_until = failed_at + _HEDGE_DELAY + _RELAY_FIRST_PERIOD


async def relayed(direct: DirectCaller, call: StoreCall) -> StoreReply:
    """Make a call to the store for another process, directly only.

    The other process does not wait longer than the call's timeout.
    """
    timeout = call.timeout_ms * _MS
    detail = ''
    with (
        subjects.about(job=call.job, request=call.request, action='relay'),
        call_trace.traced_call() as trace,
    ):
        found = await direct.call_within(
            call.method, call.path, call.body, timeout
        )
        if not usable(found) or trace.has_failed_path:
            detail = str(trace)
            _log.warning(
                'peers: %s %s for %s: %s %s',
                call.method,
                call.path,
                call.sender or 'another process',
                found.value if isinstance(found, Outcome) else 'answered',
                detail,
            )
    if isinstance(found, Answer):
        return StoreReply(
            found.status, found.body, detail=detail, covers_all_attempts=True
        )
    return StoreReply(
        None, b'', unclear=found is Outcome.UNCLEAR, detail=detail
    )


def _answer_in(reply: PeerReply | None) -> Answer | Outcome:
    """Return the store's answer in the reply to a relayed call."""
    if not isinstance(reply, StoreReply):
        return Outcome.UNCLEAR
    if reply.status is None:
        return Outcome.UNCLEAR if reply.unclear else Outcome.NOT_DONE
    answer = Answer(reply.status, reply.body)
    if answer.is_rejection and not reply.covers_all_attempts:
        return Outcome.UNCLEAR
    return answer


def _describe(exchange: PeerExchange) -> str:
    """Return what came of a relayed call, for the log."""
    reply = exchange.reply
    text = 'no reply'
    if isinstance(reply, StoreReply):
        text = f'status {reply.status}' if reply.status else 'no answer'
        text = f'{text} {reply.detail}' if reply.detail else text
    if not exchange.failure:
        return text
    sent = ', sent before' if exchange.sent_before else ''
    return f'{text}{sent}: {exchange.failure}'
