"""Faults of the calls between the processes of a history."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from bergamotdoor.peers import codec
from bergamotdoor.peers.messages import StoreCall
from lab.model.attempts import JOBS_PATH
from lab.model.fates import Fate
from lab.model.plans import CallKind

if TYPE_CHECKING:
    from bergamotdoor.http.messages import ClientRequest

STORE: Final = 'store'
_OBJECTS_PREFIX: Final = '/-/objects/'
#: Duration of an outage of the store.
_OUTAGE_S: Final = 4.5
#: Kinds of the calls that write a job's record, by HTTP method and number of
#: path segments after the kind of the object.
_JOB_CALL_KINDS: Final = MappingProxyType(
    {
        ('POST', 0): CallKind.JOB,
        ('PUT', 1): CallKind.CLAIM,
        ('PUT', 2): CallKind.END,
    }
)


class Faults:
    """Faults in force, and the time at which each process was last disturbed.

    Parameters
    ----------
    upstreams
        Names of the upstreams; calls to them never fail here.
    """

    def __init__(self, upstreams: frozenset[str]) -> None:
        self._upstreams = upstreams
        #: Pairs of a calling and a called process whose calls are lost.
        self._cut_links: set[tuple[str, str]] = set()
        #: Processes whose calls the store rejects.
        self._rejected: set[str] = set()
        #: Fate of all calls to the store, and the loop time until which it
        #: holds.
        self._outage: tuple[Fate, float] = (Fate.DONE, 0)
        #: Whether no more outages begin.
        self._is_over = False
        #: Faults of the next calls, in the order in which they are used up.
        self._armed_faults: list[tuple[CallKind, Fate]] = []
        #: Loop time at which each process was last disturbed.
        self._last_disturbed_s: defaultdict[str, float] = defaultdict(float)

    def cut(self, origin: str, goal: str) -> None:
        """Lose all calls from one process to another."""
        self._cut_links.add((origin, goal))

    def reject(self, origin: str) -> None:
        """Have the store reject all calls of one process."""
        self._rejected.add(origin)

    def begin_outage(self, fate: Fate) -> None:
        """Give all calls to the store a fate for some seconds."""
        if self._is_over:
            return
        now_s = asyncio.get_running_loop().time()
        self._outage = (fate, now_s + _OUTAGE_S)

    def arm(self, call: CallKind, fate: Fate, count: int) -> None:
        """Set the fate of the next `count` calls of a kind."""
        self._armed_faults.extend((call, fate) for _ in range(count))

    def heal(self) -> None:
        """Remove all cut links, outages and faults of the next calls."""
        self._cut_links.clear()
        self._rejected.clear()
        self._outage = (Fate.DONE, 0)
        self._armed_faults.clear()

    def end(self) -> None:
        """Remove all faults, and let no call that is late begin an outage."""
        self.heal()
        self._is_over = True

    def disturb(self, process: str) -> None:
        """Record that a fault affects a process now.

        Such a fault is a failed call, a pause or a start of the process.
        """
        self._last_disturbed_s[process] = asyncio.get_running_loop().time()

    def calm_since(self, process: str) -> float:
        """Return the loop time at which a process was last disturbed."""
        return self._last_disturbed_s[process]

    def fate(self, origin: str, goal: str, request: ClientRequest) -> Fate:
        """Return the fate of a call; use up the fault that is armed for it.

        Parameters
        ----------
        origin
            Name of the calling process.
        goal
            Name of the called process.
        request
            The call.
        """
        if goal in self._upstreams:
            return Fate.DONE
        fate = self._lasting_fate(origin, goal)
        if fate is Fate.DONE:
            fate = self._pop_fate(_classify_call(goal, request))
        if fate is not Fate.DONE:
            self.disturb(origin)
            self.disturb(goal)
        return fate

    def _lasting_fate(self, origin: str, goal: str) -> Fate:
        """Return the fate of all calls on a link, unless calls get through."""
        if (origin, goal) in self._cut_links:
            return Fate.LOST
        if goal != STORE:
            return Fate.DONE
        fate, until_s = self._outage
        if asyncio.get_running_loop().time() < until_s:
            return fate
        return Fate.REFUSED if origin in self._rejected else Fate.DONE

    def _pop_fate(self, kinds: frozenset[CallKind]) -> Fate:
        for number, (call, fate) in enumerate(self._armed_faults):
            if call in kinds:
                self._armed_faults.pop(number)
                return fate
        return Fate.DONE


def _classify_call(
    destination: str, request: ClientRequest
) -> frozenset[CallKind]:
    if destination == STORE:
        return frozenset((_classify_store_call(request),))
    return frozenset(
        (CallKind.PEER, CallKind.RELAYED_JOB)
        if _relays_job(request)
        else (CallKind.PEER,)
    )


def _relays_job(request: ClientRequest) -> bool:
    assert isinstance(request.body, bytes)
    message = codec.decode_request(request.body)
    return (
        isinstance(message, StoreCall)
        and message.method == 'POST'
        and message.path == JOBS_PATH
    )


def _classify_store_call(request: ClientRequest) -> CallKind:
    kind, *rest = request.target.removeprefix(_OBJECTS_PREFIX).split('/')
    if request.method == 'GET' or kind == 'entries':
        return CallKind.LOOK
    if kind == 'jobs':
        return _JOB_CALL_KINDS[request.method, len(rest)]
    return _classify_part_call(request)


def _classify_part_call(request: ClientRequest) -> CallKind:
    if request.method == 'PUT':
        return CallKind.KEEP
    body = request.body if isinstance(request.body, bytes) else b''
    return CallKind.RECORD if b'"result-' in body else CallKind.PART
