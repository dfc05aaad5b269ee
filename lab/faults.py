"""Faults that are applied from outside the processes."""

from __future__ import annotations

import asyncio
import enum
from collections import Counter
from collections.abc import Awaitable, Callable
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from lab.aimed_faults import AimedFaults
from lab.contact_faults import ContactFaults
from lab.crash_faults import CrashFaults
from lab.leaving import Leaving
from lab.lost_writes import LostWrites
from lab.process_faults import ProcessFaults
from lab.store_faults import StoreFaults
from lab.upstream_faults import UpstreamFaults

if TYPE_CHECKING:
    import random

    from lab.deployment import Deployment
    from lab.promises import Promises

#: Pauses between two faults: some faults begin together, some are alone.
_FAULT_PAUSES_S: Final = (0, 0.3, 1, 2)


class Fault(enum.Enum):
    """Kinds of faults that can be applied to a deployment."""

    KILL = 'a process is killed and started again'
    STOP = 'a process is stopped as planned and started again'
    PAUSE = 'a process is paused'
    CHANGED_SETTINGS = 'a process is told to read its settings again'
    STORE_LINK = 'a way to the store is broken'
    STORE_AWAY = 'the store refuses or is silent for all'
    STORE_LOST = 'the store loses or delays answers'
    STORE_HISTORY = 'the store forgets its history'
    STORE_DEAF = 'the store tells watches of nothing for a while'
    UPSTREAM_LINK = 'the way to an upstream is broken'
    UPSTREAM_RESET = 'connections to an upstream are reset'
    UPSTREAM_MODE = 'an upstream refuses, fails, breaks or hangs'
    UPSTREAM_REPLACED = "another incarnation is at an upstream's address"
    UPSTREAM_RESTARTED = 'an upstream starts again under its name'
    FOREIGN_OBJECT = 'another writer puts an object of its own into the store'
    ENGINE_SLOW = 'an engine turns slow'
    LATE_ORDER = 'an order to an engine arrives late'
    MANIFEST = 'a new manifest'
    OWNER_PAUSED = "a step's owner is paused past its takeover"
    OWNER_CUT = "a step's owner is cut off from other entries"
    STOP_SERIES = "a step's owners are stopped, one soon after the other"
    ENDING_REQUEST = 'a request ends each service that runs it'
    LOST_WRITE = 'an outage of the store begins with the answer to a write'
    ENTRY_KILLED = 'an entry is killed and started again'
    ENTRY_STOPPED = 'an entry is stopped as planned and started again'
    ENTRY_PAUSED = 'an entry is paused'
    RELAY_PAUSED = 'an entry is back at the store as the others are paused'
    SERVICE_LEAVES = 'a service drains or is removed, and serves on'
    SERVICE_LEAVES_LISTED = 'a service leaves between two pages of a listing'


#: In the order in which they are applied if no other kinds are.
AIMED: Final = (Fault.OWNER_PAUSED, Fault.OWNER_CUT, Fault.STOP_SERIES)
CRASHING: Final = (
    Fault.ENDING_REQUEST,
    Fault.KILL,
    Fault.PAUSE,
    Fault.STORE_LINK,
    Fault.UPSTREAM_RESET,
)
#: Most of these faults are lost writes.
LOST_WRITES: Final = (
    *(Fault.LOST_WRITE,) * 9,
    Fault.ENTRY_KILLED,
    Fault.ENTRY_STOPPED,
    Fault.ENTRY_PAUSED,
)
#: Faults of single processes, so that the others are in touch meanwhile.
CONTACT: Final = (
    *(Fault.RELAY_PAUSED,) * 3,
    *(Fault.SERVICE_LEAVES_LISTED,) * 3,
    *(Fault.MANIFEST,) * 2,
    Fault.SERVICE_LEAVES,
    Fault.STORE_LINK,
    Fault.ENTRY_KILLED,
    Fault.ENTRY_STOPPED,
    Fault.ENTRY_PAUSED,
    Fault.STORE_HISTORY,
)
#: Only these are drawn unless another set is named. Further kinds would change
#: the faults that a seed gives, so that seeds which have failed would no longer
#: repeat their runs.
RANDOM: Final = (
    Fault.KILL,
    Fault.STOP,
    Fault.PAUSE,
    Fault.CHANGED_SETTINGS,
    Fault.STORE_LINK,
    Fault.STORE_AWAY,
    Fault.STORE_LOST,
    Fault.STORE_HISTORY,
    Fault.STORE_DEAF,
    Fault.UPSTREAM_LINK,
    Fault.UPSTREAM_RESET,
    Fault.UPSTREAM_MODE,
    Fault.UPSTREAM_REPLACED,
    Fault.UPSTREAM_RESTARTED,
    Fault.FOREIGN_OBJECT,
    Fault.ENGINE_SLOW,
    Fault.LATE_ORDER,
    Fault.MANIFEST,
)
#: Faults that a soak can draw from, by name.
FAULT_SETS: Final = MappingProxyType(
    {
        'all': (*RANDOM, *AIMED),
        'random': RANDOM,
        'aimed': AIMED,
        'crashing': CRASHING,
        'lost-writes': LOST_WRITES,
        'contact': CONTACT,
    }
)
#: No other fault begins while one of these lasts.
_ALONE: Final = frozenset((*AIMED, Fault.RELAY_PAUSED))


class Faults:
    """Faults of one run, applied in series and overlapping.

    Parameters
    ----------
    deployment
        The deployment to which the faults are applied.
    promises
        The collector of checks, such as those of graceful stops.
    rng
        The random source for kinds, times and durations.
    """

    def __init__(
        self,
        deployment: Deployment,
        promises: Promises,
        rng: random.Random,
    ) -> None:
        self._rng = rng
        self.done: Counter[Fault] = Counter()
        processes = ProcessFaults(deployment.processes, promises, rng)
        entries = ProcessFaults(deployment.entries, promises, rng)
        store = StoreFaults(deployment, rng)
        upstreams = UpstreamFaults(deployment, rng)
        aimed = AimedFaults(deployment, processes, rng)
        crashes = CrashFaults(deployment, promises, rng)
        self.leaving = Leaving(deployment, rng)
        contact = ContactFaults(deployment, entries, self.leaving, rng)
        self._actions = {
            Fault.KILL: processes.kill,
            Fault.STOP: processes.stop,
            Fault.PAUSE: processes.pause,
            Fault.CHANGED_SETTINGS: processes.reload,
            Fault.STORE_LINK: store.break_way,
            Fault.STORE_AWAY: store.send_away,
            Fault.STORE_LOST: store.lose_answers,
            Fault.STORE_HISTORY: store.forget,
            Fault.STORE_DEAF: store.deafen,
            Fault.UPSTREAM_LINK: upstreams.break_way,
            Fault.UPSTREAM_RESET: upstreams.reset,
            Fault.UPSTREAM_MODE: upstreams.change_mode,
            Fault.UPSTREAM_REPLACED: upstreams.replace,
            Fault.UPSTREAM_RESTARTED: upstreams.restart,
            Fault.FOREIGN_OBJECT: store.put_foreign,
            Fault.ENGINE_SLOW: upstreams.slow_down,
            Fault.LATE_ORDER: upstreams.delay_order,
            Fault.MANIFEST: store.put_manifest,
            Fault.OWNER_PAUSED: aimed.pause_owner,
            Fault.OWNER_CUT: aimed.cut_owner,
            Fault.STOP_SERIES: aimed.stop_series,
            Fault.ENDING_REQUEST: crashes.send,
            Fault.LOST_WRITE: LostWrites(deployment, rng).lose,
            Fault.ENTRY_KILLED: entries.kill,
            Fault.ENTRY_STOPPED: entries.stop,
            Fault.ENTRY_PAUSED: entries.pause,
            Fault.RELAY_PAUSED: contact.pause_relay,
            Fault.SERVICE_LEAVES: self.leaving.leave,
            Fault.SERVICE_LEAVES_LISTED: self.leaving.leave_between_pages,
        }

    async def run(
        self, seconds: float, kinds: tuple[Fault, ...] = RANDOM
    ) -> None:
        """Apply faults for some seconds; return once all are over.

        Parameters
        ----------
        seconds
            How long new faults begin. Aimed faults take seconds each, so
            they continue until each kind was applied at least once.
        kinds
            The kinds to draw from; the aimed ones alone are applied in order.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        async with asyncio.TaskGroup() as group:
            while loop.time() < until or self._is_kind_missing(kinds):
                fault = self._choose_fault(kinds)
                applied = group.create_task(self.apply(fault))
                if fault in _ALONE:
                    # Another fault could stop an owner that is needed, or
                    # impair the process that is to be in touch.
                    await applied
                await asyncio.sleep(self._rng.choice(_FAULT_PAUSES_S))

    async def apply(self, fault: Fault) -> None:
        """Apply one fault; return once it is over."""
        self.done[fault] += 1
        await self._actions[fault]()

    def _is_kind_missing(self, kinds: tuple[Fault, ...]) -> bool:
        return kinds is AIMED and len(self.done) < len(AIMED)

    def _choose_fault(self, kinds: tuple[Fault, ...]) -> Fault:
        if kinds is AIMED:
            return AIMED[self.done.total() % len(AIMED)]
        return self._rng.choice(kinds)


#: Applies the faults of a run; returns once they are over.
Harm = Callable[[Faults], Awaitable[None]]
