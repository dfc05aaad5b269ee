"""Entries with real links, over cables that can be cut, and one store."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import random
from typing import TYPE_CHECKING
from unittest import mock

from bergamotdoor.entry.configuration import ConfigurationTask
from bergamotdoor.entry.configuration_sidecars import SidecarSpread
from bergamotdoor.entry.group import EntryGroupTask
from bergamotdoor.entry.leaving import LeavingTask
from bergamotdoor.settings.codec import encode_configuration
from bergamotdoor.settings.document import (
    Address,
    Document,
    Inventory,
    Region,
    Rules,
    Service,
    Upstream,
)
from bergamotdoor.settings.process import (
    EntrySettings,
    LinkSecurity,
    LinkTimes,
    PeerEntry,
    PlatformSettings,
)
from bergamotdoor.standins._platform_table import (
    Change,
    ObjectKey,
    ObjectTable,
)
from bergamotdoor.standins.memory_store import MemoryObjectStore
from bergamotdoor.store.protocols import VmRecord, VmSnapshot, VmState
from bergamotdoor.types import (
    EntryId,
    Generation,
    Incarnation,
    ObjectVersion,
    RegionId,
    ServiceId,
    UpstreamId,
    UpstreamKind,
    VmId,
    ZoneId,
)
from bergamotdoor.wire import link as wire_link
from bergamotdoor.wire.link import Endpoint, PeerIdentity, Vitals
from bergamotdoor.wire.messages import PeerRole
from features.support import virtual_clock

if TYPE_CHECKING:
    import datetime as dt
    from collections.abc import AsyncIterator, Iterable

    from bergamotdoor.clock import Clock
    from bergamotdoor.settings.document import Configuration
    from bergamotdoor.wire.link import Link, LinkFailure

IP = '127.0.0.1'
KEY = 'a shared key of thirty-two characters or more'
PORT = 7000
CABLE_PORT = 9000


class CableState(enum.Enum):
    """What a cable does with bytes."""

    OPEN = 'open'
    #: They wait, as in the buffers of a process that is stopped.
    HELD = 'held'
    #: They are lost without a word.
    CUT = 'cut'


class Cable:
    """One direction of dialling between two entries."""

    def __init__(self, listen: int, target: int) -> None:
        self._listen = listen
        self._target = target
        self._state = CableState.OPEN
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> Address:
        return Address(ip=IP, port=self._listen)

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._accept, IP, self._listen
        )

    def set(self, state: CableState) -> None:
        """Change the state; what was lost stays lost."""
        self._state = state
        self._changed.set()
        self._changed = asyncio.Event()

    async def stop(self) -> None:
        assert self._server is not None
        self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            far = await asyncio.open_connection(IP, self._target)
            async with asyncio.TaskGroup() as both:
                both.create_task(self._pump(reader, far[1]))
                both.create_task(self._pump(far[0], writer))
        except (OSError, ExceptionGroup):
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # A connection that lost bytes stays dead, also after the cut.
        lost = False
        while data := await reader.read(65_536):
            while self._state is CableState.HELD:
                await self._changed.wait()
            lost = lost or self._state is CableState.CUT
            if not lost:
                writer.write(data)
        if not lost:
            writer.close()


class PausableClock:
    """A clock whose process can be stopped for a while."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._running = asyncio.Event()
        self._running.set()

    def pause(self) -> None:
        self._running.clear()

    def resume(self) -> None:
        self._running.set()

    def elapsed(self) -> dt.timedelta:
        return self._clock.elapsed()

    def now(self) -> dt.datetime:
        return self._clock.now()

    async def sleep(self, delay: dt.timedelta) -> None:
        await self._clock.sleep(delay)
        await self._running.wait()


class FakeVmList:
    """The VM list as of now; each test says what it shows."""

    def __init__(self) -> None:
        self.snapshot = VmSnapshot(1, ())
        self.calls = 0

    def show(self, version: int, **states: str) -> None:
        records = (
            VmRecord(VmId(name), VmState(state))
            for name, state in states.items()
        )
        self.snapshot = VmSnapshot(version, tuple(records))

    async def fetch(self) -> VmSnapshot:
        self.calls += 1
        return self.snapshot


class Entry:
    """The membership part of one entry process."""

    def __init__(self, rig: Rig, name: str, zone: str) -> None:
        settings = rig.settings(name, zone)
        rig.lives += 1
        self.clock = PausableClock(rig.clock)
        endpoint = Endpoint(
            identity=PeerIdentity(
                name,
                PeerRole.ENTRY,
                ZoneId(zone),
                Incarnation(f'{name}-{rig.lives}'),
            ),
            security=settings.security,
            times=settings.link,
            clock=self.clock,
            vitals=Vitals,
        )
        store = MemoryObjectStore(rig.table, rig.clock)
        self.store = store
        chance = random.Random(rig.lives)
        self.group = EntryGroupTask(settings, store, endpoint, chance)
        self.configuration = ConfigurationTask(
            store, self.group, self.clock, chance
        )
        self.leaving = LeavingTask(
            rig.vm_list, self.configuration, self.group, self.clock
        )
        self.sidecars = SidecarSpread(self.configuration, self.leaving)
        #: Every generation that was ever in force, in order.
        self.seen: list[int] = []
        self.configuration.subscribe(
            lambda found: self.seen.append(found.generation)
        )

    async def start(self) -> None:
        await self.group.start()
        await self.configuration.start()
        await self.leaving.start()

    async def stop(self) -> None:
        await self._stop_parts()
        await self.group.stop()

    async def crash(self) -> None:
        await self._stop_parts()
        await self.group.abort()

    def generation(self) -> int:
        current = self.configuration.current()
        return current.generation if current else 0

    async def _stop_parts(self) -> None:
        self.clock.resume()
        await self.sidecars.stop()
        await self.leaving.stop()
        await self.configuration.stop()


class Rig:
    """Entries `e0`, `e1`, ... in zones, and what lies between them."""

    def __init__(self, *zones: str, seeds: int = 1) -> None:
        self.zones = {f'e{number}': zone for number, zone in enumerate(zones)}
        self.seeds = seeds
        self.clock = virtual_clock()
        self.table = ObjectTable()
        self.vm_list = FakeVmList()
        self.entries: dict[str, Entry] = {}
        self.lives = 0
        self._cables: dict[tuple[str, str], Cable] = {}

    def settings(self, name: str, zone: str) -> EntrySettings:
        nowhere = Address(ip=IP, port=1)
        return EntrySettings(
            id=EntryId(name),
            zone=ZoneId(zone),
            listen=nowhere,
            peer_listen=self.address(name),
            platform=PlatformSettings(object_api=nowhere),
            security=LinkSecurity(shared_key=KEY),
            peers=tuple(
                PeerEntry(id=EntryId(seed), address=self.address(seed))
                for seed in tuple(self.zones)[: self.seeds]
            ),
            link=LinkTimes(),
        )

    def address(self, name: str) -> Address:
        return Address(ip=IP, port=PORT + int(name[1:]))

    async def boot(self, *names: str) -> None:
        for name in names or tuple(self.zones):
            entry = Entry(self, name, self.zones[name])
            self.entries[name] = entry
            await entry.start()

    async def crash(self, name: str) -> None:
        await self.entries.pop(name).crash()

    def cut(self, froms: Iterable[str], tos: Iterable[str]) -> None:
        """Cut every connection between two sets of entries."""
        self._set_between(frozenset(froms), frozenset(tos), CableState.CUT)

    def heal(self) -> None:
        for cable in self._cables.values():
            cable.set(CableState.OPEN)

    def pause(self, name: str) -> None:
        """Stop a process: it reads nothing and its timers stand still."""
        self.entries[name].clock.pause()
        self._set_between({name}, set(self.zones), CableState.HELD)

    def resume(self, name: str) -> None:
        self._set_between({name}, set(self.zones), CableState.OPEN)
        self.entries[name].clock.resume()

    def store_configuration(
        self, generation: int, leaving: Iterable[str] = ()
    ) -> Configuration:
        """Write a configuration as an operator's entry would."""
        found = make_configuration(generation, leaving)
        self.store_body(found.body)
        return found

    def store_body(self, body: bytes) -> None:
        key = ObjectKey('config', 'current')
        known = self.table.read(key)
        version = known.version if known else ObjectVersion(0)
        self.table.apply(
            Change(key, version, f'nonce-{version}-{self.lives}', body)
        )

    def replace_store(self) -> None:
        """Lose every object, and begin to count versions anew."""
        self.table = ObjectTable()
        for entry in self.entries.values():
            entry.store.table = self.table

    def live(self, name: str) -> set[str]:
        return set(self.entries[name].group.live_entries())

    def generations(self) -> set[int]:
        return {entry.generation() for entry in self.entries.values()}

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[Rig]:
        """Lay the cables; stop whatever still runs at the end."""
        pairs = [(a, b) for a in self.zones for b in self.zones if a != b]
        for number, (dialler, target) in enumerate(pairs):
            cable = Cable(CABLE_PORT + number, self.address(target).port)
            self._cables[dialler, target] = cable
            await cable.start()
        patched = 'bergamotdoor.entry.group_session.dial'
        try:
            with mock.patch(patched, self._dial):
                yield self
        finally:
            await self._end()

    async def _end(self) -> None:
        self.heal()
        for entry in tuple(self.entries.values()):
            await entry.crash()
        for cable in self._cables.values():
            await cable.stop()

    def _set_between(
        self, froms: Iterable[str], tos: Iterable[str], state: CableState
    ) -> None:
        for (dialler, target), cable in self._cables.items():
            there = dialler in froms and target in tos
            back = target in froms and dialler in tos
            if there or back:
                cable.set(state)

    async def _dial(
        self, address: Address, expected: PeerRole, endpoint: Endpoint
    ) -> Link | LinkFailure:
        target = f'e{address.port - PORT}'
        cable = self._cables.get((endpoint.identity.name, target))
        where = cable.address if cable else address
        return await wire_link.dial(where, expected, endpoint)


def make_configuration(
    generation: int, leaving: Iterable[str] = (), upstreams: int = 3
) -> Configuration:
    """A document of one service with engines `u0`, ... on VMs `v0`, ..."""
    region = Region(id=RegionId('mauritius'), zones=(ZoneId('ebene'),))
    service = Service(
        id=ServiceId('kreol-lm'),
        kind=UpstreamKind.ENGINE,
        upstreams=tuple(_upstream(number) for number in range(upstreams)),
    )
    document = Document(
        inventory=Inventory(regions=(region,), services=(service,)),
        rules=Rules(leaving=tuple(UpstreamId(name) for name in leaving)),
    )
    return encode_configuration(Generation(generation), document)


def _upstream(number: int) -> Upstream:
    address = Address(ip=IP, port=5000 + number)
    return Upstream(
        id=UpstreamId(f'u{number}'),
        vm=VmId(f'v{number}'),
        zone=ZoneId('ebene'),
        sidecar=address,
        target=address,
    )
