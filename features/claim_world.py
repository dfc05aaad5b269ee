"""Entries that bind keys, before model sidecars and a faulty store."""

from __future__ import annotations

import collections
import datetime as dt
from typing import TYPE_CHECKING, Any

import async_solipsism

from bergamotdoor.entry.claims import ClaimParts, Claims
from bergamotdoor.entry.interfaces import Call
from bergamotdoor.routing.attempts import Binding
from bergamotdoor.settings.codec import encode_configuration
from bergamotdoor.settings.document import (
    Address,
    Configuration,
    Document,
    Inventory,
    Limits,
    Region,
    Rules,
    Service,
    Upstream,
)
from bergamotdoor.standins._platform_table import ObjectTable
from bergamotdoor.standins.memory_store import MemoryObjectStore
from bergamotdoor.store.protocols import StoreFailure, StoreProblem
from bergamotdoor.types import (
    Generation,
    IdempotencyKey,
    Incarnation,
    Priority,
    RegionId,
    RequestId,
    ServiceId,
    UpstreamId,
    UpstreamKind,
    VmId,
    ZoneId,
)
from features.support import virtual_clock

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from bergamotdoor.store.protocols import StoredObject
    from bergamotdoor.types import ObjectVersion
    from bergamotdoor.verdict import Failure

SERVICE = ServiceId('visitor-log')
NAMES = tuple(UpstreamId(f'log-{number}') for number in range(3))
RETENTION = dt.timedelta(seconds=60)
ZONE = ZoneId('yaba')


class ModelSidecar:
    """Remembers keys for as long as it should, until it restarts."""

    def __init__(self, name: UpstreamId) -> None:
        self.name = name
        self.number = 1
        self.reachable = True
        self.keys: dict[IdempotencyKey, dt.timedelta] = {}

    @property
    def incarnation(self) -> Incarnation:
        return Incarnation(f'{self.name}-{self.number}')

    def restart(self) -> None:
        self.number += 1
        self.keys.clear()


class PartedStore(MemoryObjectStore):
    """One entry's way to the store, which may be cut."""

    cut = False

    async def read(self, kind: str, name: str) -> StoredObject | StoreFailure:
        if self.cut:
            return StoreFailure(StoreProblem.UNAVAILABLE, 'cut off')
        return await super().read(kind, name)

    async def write(
        self, kind: str, name: str, body: bytes, expected: ObjectVersion
    ) -> StoredObject | StoreFailure:
        if self.cut:
            return StoreFailure(StoreProblem.UNAVAILABLE, 'cut off')
        return await super().write(kind, name, body, expected)


class ClaimWorld:
    """Two entries, three sidecars, one store, one configuration."""

    def __init__(self) -> None:
        self.loop = async_solipsism.EventLoop()
        self.clock = virtual_clock()
        self.table = ObjectTable()
        self.sidecars = {name: ModelSidecar(name) for name in NAMES}
        self.configuration = configuration(1, NAMES)
        self.stores = [self._store() for _ in range(2)]
        self.entries = [self._entry(store) for store in self.stores]
        self.last = self.sidecars[NAMES[0]]
        self.bound: list[tuple[IdempotencyKey, Binding]] = []
        self.runs: dict[IdempotencyKey, list[dt.timedelta]] = (
            collections.defaultdict(list)
        )

    def close(self) -> None:
        self.loop.close()

    def do(self, work: Coroutine[Any, Any, Any]) -> Any:
        return self.loop.run_until_complete(work)

    def wait(self, seconds: float) -> None:
        self.do(self.clock.sleep(dt.timedelta(seconds=seconds)))

    def bind(self, entry: int, key: IdempotencyKey) -> Binding | Failure:
        """Have an entry bind a key; the dispatch follows when it may."""
        found = self.do(self.entries[entry].bind(keyed_call(key), 'hash'))
        if isinstance(found, Binding):
            self.bound.append((key, found))
        return found  # type: ignore[no-any-return]

    def dispatch(self, index: int = -1) -> bool:
        """Deliver a call that was bound; whether it ran just now."""
        key, binding = self.bound.pop(index % len(self.bound))
        sidecar = self.sidecars[binding.upstream]
        alive = sidecar.incarnation == binding.incarnation
        now = self.now()
        known = sidecar.keys.get(key)
        if not alive or (known is not None and now < known + RETENTION):
            return False
        sidecar.keys[key] = now
        self.runs[key].append(now)
        self.last = sidecar
        return True

    def set_homes(self, generation: int, names: tuple[UpstreamId, ...]) -> None:
        self.configuration = configuration(generation, names)

    def check(self) -> None:
        """No key may run twice while keys are kept."""
        for key, times in self.runs.items():
            for first, second in zip(times, times[1:], strict=False):
                apart = second - first
                assert apart >= RETENTION, f'{key} ran twice, {apart} apart'

    def now(self) -> dt.timedelta:
        return dt.timedelta(seconds=self.loop.time())

    def current(self) -> Configuration:
        return self.configuration

    async def incarnation(
        self, upstream: UpstreamId, patience: dt.timedelta
    ) -> Incarnation | None:
        sidecar = self.sidecars[upstream]
        return sidecar.incarnation if sidecar.reachable else None

    def _store(self) -> PartedStore:
        return PartedStore(self.table, self.clock, dt.timedelta(seconds=1))

    def _entry(self, store: PartedStore) -> Claims:
        return Claims(
            ClaimParts(
                store=store, configuration=self, homes=self, clock=self.clock
            ),
        )


def configuration(
    generation: int, names: tuple[UpstreamId, ...]
) -> Configuration:
    nowhere = Address(ip='127.0.0.1', port=1)
    upstreams = tuple(
        Upstream(
            id=name,
            vm=VmId(name),
            zone=ZONE,
            sidecar=nowhere,
            target=nowhere,
        )
        for name in names
    )
    document = Document(
        inventory=Inventory(
            regions=(Region(id=RegionId('lagos'), zones=(ZONE,)),),
            services=(
                Service(
                    id=SERVICE, kind=UpstreamKind.SERVICE, upstreams=upstreams
                ),
            ),
        ),
        rules=Rules(
            limits=Limits(retention_ms=int(RETENTION.total_seconds() * 1000)),
        ),
    )
    return encode_configuration(Generation(generation), document)


def keyed_call(key: IdempotencyKey) -> Call:
    return Call(
        request_id=RequestId('call'),
        service=SERVICE,
        method='POST',
        target='/visitors',
        priority=Priority.INTERACTIVE,
        deadline=dt.timedelta(seconds=10),
        idempotent=False,
        key=key,
    )
