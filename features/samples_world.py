"""Entries with owners and trainers' interfaces around one store and fleet."""

from __future__ import annotations

import asyncio
import json
import random
from typing import TYPE_CHECKING, Any, TypeVar

import async_solipsism
import msgspec

from bergamotdoor.clock import LoopClock
from bergamotdoor.entry.steps import StepOwner
from bergamotdoor.entry.steps_board import BatchBoard
from bergamotdoor.entry.steps_context import EntryContext
from bergamotdoor.entry.trainers import TrainerApi
from bergamotdoor.entry.trainers_parts import TrainerParts
from bergamotdoor.http.messages import Headers, HttpRequest, HttpResponse
from bergamotdoor.settings import document as doc
from bergamotdoor.settings.process import TrainerToken
from bergamotdoor.standins._platform_table import ObjectKey, ObjectTable
from bergamotdoor.standins.memory_store import MemoryObjectStore
from bergamotdoor.store.protocols import (
    StoredObject,
    StoreFailure,
    StoreProblem,
)
from bergamotdoor.types import (
    EntryId,
    FencingToken,
    Generation,
    ObjectVersion,
    RegionId,
    ServiceId,
    StepId,
    TrainerId,
    UpstreamId,
    UpstreamKind,
    VmId,
    WeightVersion,
    ZoneId,
)
from features.samples_fleet import FakeFleet, FakeRunner
from features.support import EPOCH

if TYPE_CHECKING:
    import datetime as dt
    from collections.abc import Coroutine

Result = TypeVar('Result')

TRAINER = TrainerId('roster')
SERVICE = ServiceId('kreol-lm')
TOKEN = 'a-trainer-token'
ADDRESS = doc.Address(ip='127.0.0.1', port=1)


def configuration(
    engines: int,
    bound: int = 1,
    generation: int = 1,
    leaving: tuple[str, ...] = (),
) -> doc.Configuration:
    """One engine service and its trainer."""
    upstreams = tuple(
        doc.Upstream(
            id=UpstreamId(f'engine-{number}'),
            vm=VmId(f'vm-{number}'),
            zone=ZoneId('ebene'),
            sidecar=ADDRESS,
            target=ADDRESS,
        )
        for number in range(engines)
    )
    service = doc.Service(
        id=SERVICE, kind=UpstreamKind.ENGINE, upstreams=upstreams
    )
    region = doc.Region(id=RegionId('mauritius'), zones=(ZoneId('ebene'),))
    trainers = (
        doc.Trainer(id=TRAINER, service=SERVICE),
        doc.Trainer(id=TrainerId('reader'), service=SERVICE, publishes=False),
    )
    rule = doc.TrainerRule(trainer=TRAINER, max_staleness_versions=bound)
    document = doc.Document(
        inventory=doc.Inventory(
            regions=(region,), services=(service,), trainers=trainers
        ),
        rules=doc.Rules(
            trainers=(rule,),
            leaving=tuple(UpstreamId(name) for name in leaving),
        ),
    )
    body = msgspec.json.encode(document)
    return doc.Configuration(Generation(generation), '', document, body)


class Leases:
    """Grants leases by hand; a holder need not know that it lost one."""

    def __init__(self) -> None:
        self.tokens: dict[str, int] = {}
        self.beliefs: dict[tuple[EntryId, str], int] = {}

    def grant(self, name: str, entry: EntryId) -> None:
        self.tokens[name] = self.tokens.get(name, 0) + 1
        self.beliefs[entry, name] = self.tokens[name]

    def tell(self, entry: EntryId) -> None:
        """Have an entry find out which leases it has lost."""
        for holder, name in list(self.beliefs):
            if holder == entry and (
                self.beliefs[holder, name] != self.tokens[name]
            ):
                del self.beliefs[holder, name]

    def holder(self, name: str) -> EntryId | None:
        """Return the entry that truly holds a lease."""
        for (entry, lease), token in self.beliefs.items():
            if lease == name and token == self.tokens[name]:
                return entry
        return None

    def revoke(self, name: str) -> None:
        for holder, lease in list(self.beliefs):
            if lease == name:
                del self.beliefs[holder, lease]


class LeasesOf:
    """One entry's LeaseView."""

    def __init__(self, leases: Leases, entry: EntryId) -> None:
        self._leases = leases
        self._entry = entry
        self.wanted: set[str] = set()

    def token(self, name: str) -> FencingToken | None:
        token = self._leases.beliefs.get((self._entry, name))
        return None if token is None else FencingToken(token)

    def want(self, name: str, wanted: bool) -> None:
        if wanted:
            self.wanted.add(name)
        else:
            self.wanted.discard(name)


class GatedStore:
    """A process's way to the store; shut while the process is paused."""

    def __init__(self, store: MemoryObjectStore, gate: asyncio.Event) -> None:
        self._store = store
        self._gate = gate
        #: Pauses the process just before its next write.
        self.pause_at_write = False
        #: The current version as it was last served to each task.
        self.read_versions: dict[Any, int] = {}
        #: Tasks whose last call the store did not serve.
        self.unserved: set[Any] = set()

    async def read(self, kind: str, name: str) -> StoredObject | StoreFailure:
        found = await self._gated(self._store.read(kind, name))
        if kind == 'weights' and isinstance(found, StoredObject):
            version = json.loads(found.body)['version']
            self.read_versions[asyncio.current_task()] = version
        return found

    async def write(
        self, kind: str, name: str, body: bytes, expected: ObjectVersion
    ) -> StoredObject | StoreFailure:
        if self.pause_at_write:
            self.pause_at_write = False
            self._gate.clear()
        return await self._gated(self._store.write(kind, name, body, expected))

    async def delete(
        self, kind: str, name: str, expected: ObjectVersion
    ) -> StoredObject | StoreFailure:
        return await self._gated(self._store.delete(kind, name, expected))

    async def names(
        self, kind: str, prefix: str = ''
    ) -> tuple[str, ...] | StoreFailure:
        return await self._gated(self._store.names(kind, prefix))

    async def watch(
        self, kind: str, name: str, above: ObjectVersion, timeout: dt.timedelta
    ) -> StoredObject | StoreFailure:
        return await self._gated(self._store.watch(kind, name, above, timeout))

    async def _gated(self, call: Coroutine[Any, Any, Result]) -> Result:
        try:
            await self._gate.wait()
        except BaseException:
            call.close()
            raise
        found = await call
        self._note(found)
        await self._gate.wait()
        return found

    def _note(self, found: Any) -> None:
        """Remember whether the store served the task's last call."""
        task = asyncio.current_task()
        unserved = {StoreProblem.UNAVAILABLE, StoreProblem.UNKNOWN}
        failed = isinstance(found, StoreFailure) and found.problem in unserved
        if failed:
            self.unserved.add(task)
        else:
            self.unserved.discard(task)


class Node:
    """One entry process."""

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = EntryId(name)
        self.running = asyncio.Event()
        self.running.set()
        self.store = GatedStore(
            MemoryObjectStore(world.table, world.clock), self.running
        )
        self.runner = FakeRunner(world.fleet)
        self.runner.gate = self.running
        self.leases = LeasesOf(world.leases, self.name)
        self.board = BatchBoard()
        context = EntryContext(
            entry=self.name,
            configuration=world,
            leases=self.leases,
            group=world,
            clock=world.clock,
            rng=random.Random(5),
        )
        self.owner = StepOwner(self.store, self.runner, self.board, context)
        self.api = TrainerApi(
            TrainerParts(
                store=self.store,
                weight_store=None,
                board=self.board,
                configuration=world,
                orders=self.runner,
                hints=self,
                clock=world.clock,
            ),
            (
                TrainerToken(trainer=TRAINER, token=TOKEN),
                TrainerToken(trainer=TrainerId('reader'), token='reads'),
            ),
        )

    def step_changed(self, trainer: TrainerId, step: StepId) -> None:
        for node in self.world.nodes.values():
            node.owner.notice(trainer, step)

    def version_published(
        self, service: ServiceId, version: WeightVersion
    ) -> None:
        for node in self.world.nodes.values():
            node.owner.version_published(service, version)

    async def ask(
        self, method: str, path: str, body: Any = None, token: str = TOKEN
    ) -> HttpResponse:
        async def pieces() -> Any:
            yield body if isinstance(body, bytes) else json.dumps(body).encode()

        return await self.api.handle(
            HttpRequest(
                method=method,
                target=f'/v1/trainers/{path}',
                headers=Headers.of([('authorization', f'Bearer {token}')]),
                body=pieces(),
            )
        )

    async def put(self, step: int, groups: Any) -> HttpResponse:
        return await self.ask(
            'PUT', f'{TRAINER}/steps/{step}', {'groups': groups}
        )

    async def get(self, step: int, timeout_ms: int = 0) -> HttpResponse:
        query = f'timeout_ms={timeout_ms}'
        return await self.ask('GET', f'{TRAINER}/steps/{step}/batch?{query}')

    async def ack(self, step: int, batch: str) -> HttpResponse:
        return await self.ask(
            'POST', f'{TRAINER}/steps/{step}/ack', {'batch': batch}
        )

    async def publish(self, version: int) -> HttpResponse:
        return await self.ask(
            'PUT', f'{TRAINER}/weights/{version}', {'size_bytes': 9}
        )

    async def close(self) -> None:
        self.running.set()
        await self.api.stop()
        await self.owner.stop()

    async def crash(self) -> None:
        """End the process: nothing is told to anyone."""
        self.runner.crashed = True
        del self.world.nodes[self.name]
        for holder, name in list(self.world.leases.beliefs):
            if holder == self.name:
                del self.world.leases.beliefs[holder, name]
        await self.close()


class World:
    """The platform, the engines and the entries, in virtual time."""

    def __init__(self, engines: int = 3, bound: int = 1) -> None:
        self.clock = LoopClock(epoch=EPOCH)
        self.table = ObjectTable()
        self.fleet = FakeFleet(engines)
        self.leases = Leases()
        self.nodes: dict[str, Node] = {}
        self.config = configuration(engines, bound)

    def current(self) -> doc.Configuration:
        return self.config

    def live_entries(self) -> tuple[EntryId, ...]:
        return tuple(sorted(node.name for node in self.nodes.values()))

    async def add(self, name: str) -> Node:
        node = Node(self, name)
        self.nodes[name] = node
        await node.owner.start()
        return node

    def own(self, name: str) -> None:
        self.leases.grant(f'trainer.{TRAINER}', EntryId(name))

    def version(self) -> int:
        """The version that the store shows as current."""
        record = self.table.read(ObjectKey('weights', SERVICE))
        return json.loads(record.body)['version'] if record else 0

    async def close(self) -> None:
        for node in list(self.nodes.values()):
            await node.close()
        await self.fleet.close()


class SyncWorld:
    """Runs a World from synchronous rules."""

    def __init__(self, engines: int, bound: int) -> None:
        self.loop = async_solipsism.EventLoop()
        asyncio.set_event_loop(self.loop)
        self.world = self.run(self._make(engines, bound))

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        return self.loop.run_until_complete(work)

    def sleep(self, seconds: float) -> None:
        self.run(asyncio.sleep(seconds))

    def close(self) -> None:
        self.run(self.world.close())
        leaked = asyncio.all_tasks(self.loop)
        self.loop.close()
        asyncio.set_event_loop(None)
        assert not leaked, f'tasks left behind: {leaked}'

    async def _make(self, engines: int, bound: int) -> World:
        return World(engines, bound)
