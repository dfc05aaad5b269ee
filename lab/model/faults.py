"""What goes wrong on the ways between processes."""

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
_PREFIX: Final = '/-/objects/'
#: Calls about a job's record, by method and how much of a path follows.
_OF_JOB: Final = MappingProxyType(
    {
        ('POST', 0): CallKind.JOB,
        ('PUT', 1): CallKind.CLAIM,
        ('PUT', 2): CallKind.END,
    }
)


class Faults:
    """Decides what becomes of calls, and remembers who was disturbed."""

    def __init__(self, upstreams: frozenset[str]) -> None:
        self._upstreams = upstreams
        self._cut: set[tuple[str, str]] = set()
        self._armed: list[tuple[CallKind, Fate]] = []
        #: When a process was last disturbed.
        self._disturbed_s: defaultdict[str, float] = defaultdict(float)

    def cut(self, origin: str, goal: str) -> None:
        """Lose all calls on a way."""
        self._cut.add((origin, goal))

    def arm(self, call: CallKind, fate: Fate, count: int) -> None:
        """Give the next calls of a kind a fate."""
        self._armed.extend((call, fate) for _ in range(count))

    def heal(self) -> None:
        """Do all calls from now on."""
        self._cut.clear()
        self._armed.clear()

    def disturb(self, process: str) -> None:
        """Note that something is wrong with a process now."""
        self._disturbed_s[process] = asyncio.get_running_loop().time()

    def calm_since(self, process: str) -> float:
        """Return when a process was last disturbed."""
        return self._disturbed_s[process]

    def fate(self, origin: str, goal: str, request: ClientRequest) -> Fate:
        """Return what becomes of a call."""
        if goal in self._upstreams:
            return Fate.DONE
        fate = Fate.LOST
        if (origin, goal) not in self._cut:
            fate = self._next(_kind(goal, request))
        if fate is not Fate.DONE:
            self.disturb(origin)
            self.disturb(goal)
        return fate

    def _next(self, kind: CallKind) -> Fate:
        for number, (call, fate) in enumerate(self._armed):
            if call is kind:
                self._armed.pop(number)
                return fate
        return Fate.DONE


def _kind(goal: str, request: ClientRequest) -> CallKind:
    if goal != STORE:
        return CallKind.PEER
    kind, *rest = request.target.removeprefix(_PREFIX).split('/')
    if request.method == 'GET' or kind == 'entries':
        return CallKind.LOOK
    if kind == 'jobs':
        return _OF_JOB[request.method, len(rest)]
    return _of_part(request)


def _of_part(request: ClientRequest) -> CallKind:
    if request.method == 'PUT':
        return CallKind.KEEP
    body = request.body if isinstance(request.body, bytes) else b''
    return CallKind.RECORD if b'"result-' in body else CallKind.PART
