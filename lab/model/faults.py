"""Faults of the calls between the processes of a history."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from lab.model.network import Fate
from lab.model.plans import CallKind

if TYPE_CHECKING:
    from bergamotdoor.http.messages import ClientRequest

STORE: Final = 'store'
_OBJECTS_PREFIX: Final = '/-/objects/'
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
        #: Faults of the next calls, in the order in which they are used up.
        self._armed_faults: list[tuple[CallKind, Fate]] = []
        #: Loop time at which each process was last disturbed.
        self._last_disturbed_s: defaultdict[str, float] = defaultdict(float)

    def cut(self, origin: str, goal: str) -> None:
        """Lose all calls from one process to another."""
        self._cut_links.add((origin, goal))

    def arm(self, call: CallKind, fate: Fate, count: int) -> None:
        """Set the fate of the next `count` calls of a kind."""
        self._armed_faults.extend((call, fate) for _ in range(count))

    def heal(self) -> None:
        """Remove all cut links and all faults of the next calls."""
        self._cut_links.clear()
        self._armed_faults.clear()

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
        fate = Fate.LOST
        if (origin, goal) not in self._cut_links:
            fate = self._pop_fate(_classify_call(goal, request))
        if fate is not Fate.DONE:
            self.disturb(origin)
            self.disturb(goal)
        return fate

    def _pop_fate(self, kind: CallKind) -> Fate:
        for number, (call, fate) in enumerate(self._armed_faults):
            if call is kind:
                self._armed_faults.pop(number)
                return fate
        return Fate.DONE


def _classify_call(destination: str, request: ClientRequest) -> CallKind:
    if destination != STORE:
        return CallKind.PEER
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
