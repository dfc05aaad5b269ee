"""A store with faults and fixed views, for tests of administration."""

from __future__ import annotations

import asyncio
import datetime as dt
import pathlib

import msgspec

from bergamotdoor.admin.registry_views import RegistryViews
from bergamotdoor.admin.views import (
    MemberView,
    TrainerView,
    UpstreamState,
    UpstreamView,
)
from bergamotdoor.observe.dump import DumpRegistry
from bergamotdoor.observe.metrics import Metrics, Stage
from bergamotdoor.settings.codec import encode_configuration
from bergamotdoor.settings.document import Configuration, Document
from bergamotdoor.settings.loading import parse_document
from bergamotdoor.store.protocols import (
    StoredObject,
    StoreFailure,
    StoreProblem,
)
from bergamotdoor.types import (
    EntryId,
    Generation,
    Incarnation,
    ObjectVersion,
    ServiceId,
    TrainerId,
    UpstreamId,
    ZoneId,
)
from bergamotdoor.wire.messages import MemberState

EXAMPLES = pathlib.Path('examples')


def lagon(*leaving: str) -> Document:
    parsed = parse_document((EXAMPLES / 'lagon.jsonc').read_bytes())
    assert isinstance(parsed, Document)
    ids = tuple(UpstreamId(name) for name in leaving)
    rules = msgspec.structs.replace(parsed.rules, leaving=ids)
    return msgspec.structs.replace(parsed, rules=rules)


class FakeStore:
    """One object, with faults that a test sets."""

    def __init__(self, generation: int, document: Document) -> None:
        first = encode_configuration(Generation(generation), document)
        self.body: bytes | None = first.body
        self.version = 1
        self.fault = ''
        self.colleague_writes = 0
        self.calls = 0
        self.writes = 0
        #: Body and expected version of a write that is on its way.
        self.late: list[tuple[bytes, int]] = []
        self.history = [Stored(first.generation, document)]

    def put(self, body: bytes) -> None:
        self.body = body
        self.version += 1
        self.history.append(msgspec.json.decode(body, type=Stored))

    def land(self) -> None:
        for body, expected in self.late:
            if self.version == expected:
                self.put(body)
        self.late.clear()

    def colleague(self) -> None:
        """Another operator changes something else."""
        assert self.body is not None
        stored = msgspec.json.decode(self.body, type=Stored)
        limits = msgspec.structs.replace(
            stored.document.rules.limits,
            subset_size=stored.document.rules.limits.subset_size + 1,
        )
        rules = msgspec.structs.replace(stored.document.rules, limits=limits)
        document = msgspec.structs.replace(stored.document, rules=rules)
        generation = Generation(stored.generation + 1)
        self.put(encode_configuration(generation, document).body)

    async def read(self, kind: str, name: str) -> StoredObject | StoreFailure:
        assert (kind, name) == ('config', 'current')
        self.calls += 1
        if self.fault == 'is down':
            return StoreFailure(StoreProblem.UNAVAILABLE, 'refused')
        if self.fault == 'hangs':
            await asyncio.sleep(3600)
        if self.writes and self.fault == 'goes under, unseen':
            self.colleague()
        if self.writes and self.fault == 'lands late':
            self.land()
        if self.body is None:
            return StoreFailure(StoreProblem.NOT_FOUND)
        version = ObjectVersion(self.version)
        return StoredObject(kind, name, version, self.body)

    async def write(
        self, kind: str, name: str, body: bytes, expected: ObjectVersion
    ) -> StoredObject | StoreFailure:
        assert (kind, name) == ('config', 'current')
        self.calls += 1
        if self.colleague_writes:
            self.colleague_writes -= 1
            self.colleague()
        version = 0 if self.body is None else self.version
        if version != expected:
            return StoreFailure(StoreProblem.CONFLICT)
        self.writes += 1
        return self._write(kind, name, body, expected)

    def _write(
        self, kind: str, name: str, body: bytes, expected: ObjectVersion
    ) -> StoredObject | StoreFailure:
        match self.fault:
            case 'is down':
                return StoreFailure(StoreProblem.UNAVAILABLE, 'refused')
            case 'lands':
                self.put(body)
            case 'lands late' | 'lands after the answer':
                self.late.append((body, expected))
            case 'loses to another' | 'goes under, unseen':
                self.colleague()
            case 'stays out':
                pass
            case _:
                self.put(body)
                version = ObjectVersion(self.version)
                return StoredObject(kind, name, version, body)
        return StoreFailure(StoreProblem.UNKNOWN, 'no answer')


class Stored(msgspec.Struct):
    generation: Generation
    document: Document


class Budget(msgspec.Struct, frozen=True):
    retry_budget: int
    admin_token: str


class Routing:
    def dump(self) -> Budget:
        return Budget(1, 'hidden-from-all')


class FakeViews(RegistryViews):
    """A process with generation 1 of Lagon in force."""

    def __init__(self) -> None:
        self.in_force: Configuration | None = encode_configuration(
            Generation(1), lagon()
        )
        dumps, metrics = DumpRegistry(), Metrics()
        dumps.register('routing', Routing())
        metrics.count(Stage.SWAP, ServiceId('kreol "lm"'), 12_345_678)
        metrics.record(Stage.TOTAL, dt.timedelta(seconds=1))
        super().__init__(
            'entry-1',
            Incarnation('x'),
            dumps,
            metrics,
            lambda: self.in_force,
        )

    def members(self) -> tuple[MemberView, ...]:
        return tuple(
            MemberView(
                entry=EntryId(f'entry-{number}'),
                address='127.0.0.1:20101',
                zone=ZoneId('ebene'),
                state=state,
                generation=Generation(number),
            )
            for number, state in enumerate(
                (
                    MemberState.LEFT,
                    MemberState.DEAD,
                    MemberState.DEAD,
                    MemberState.SUSPECT,
                    MemberState.ALIVE,
                )
            )
        )

    def upstreams(self) -> tuple[UpstreamView, ...]:
        return tuple(
            UpstreamView(
                upstream=UpstreamId(f'kreol-{number}'),
                service=ServiceId('kreol-lm'),
                zone=ZoneId('ebene'),
                state=UpstreamState.SERVING,
                generation=generation,
            )
            for number, generation in enumerate((Generation(4), None))
        )

    async def trainers(self) -> tuple[TrainerView, ...]:
        trainer = TrainerId('roster-trainer')
        return (TrainerView(trainer=trainer, service=ServiceId('kreol-lm')),)
