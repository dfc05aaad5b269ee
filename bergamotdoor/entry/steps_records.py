"""The objects of steps, batches and progress in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Generic, TypeVar

import msgspec

from bergamotdoor.samples.delivery import BatchManifest, Progress
from bergamotdoor.samples.parts import digest_of, unpack
from bergamotdoor.samples.plan import StepPlan
from bergamotdoor.store.protocols import StoreFailure, StoreProblem
from bergamotdoor.types import ABSENT, ObjectVersion, StepId
from bergamotdoor.weights.versions import PublishedWeights

if TYPE_CHECKING:
    from bergamotdoor.samples.events import BatchSample
    from bergamotdoor.store.protocols import ObjectStore, StoredObject
    from bergamotdoor.types import ServiceId, TrainerId

Record = TypeVar('Record')

STEP: Final = 'step'
BATCH: Final = 'batch'
PART: Final = 'part'
PROGRESS: Final = 'progress'
WEIGHTS: Final = 'weights'


class Versioned(msgspec.Struct, Generic[Record], frozen=True):
    """A record and the object version to update it by; None if absent."""

    record: Record | None
    version: ObjectVersion = ABSENT


class StepRecords:
    """Reads and writes typed records; the objects themselves are JSON.

    Parameters
    ----------
    store
        The platform's object API.
    """

    def __init__(self, store: ObjectStore) -> None:
        self.store = store

    async def step(
        self, trainer: TrainerId, step: StepId
    ) -> Versioned[StepPlan] | StoreFailure:
        """Return a step as it was put."""
        return await self._read(STEP, step_name(trainer, step), StepPlan)

    async def manifest(
        self, trainer: TrainerId, step: StepId
    ) -> Versioned[BatchManifest] | StoreFailure:
        """Return a step's manifest."""
        return await self._read(BATCH, step_name(trainer, step), BatchManifest)

    async def progress(
        self, trainer: TrainerId
    ) -> Versioned[Progress] | StoreFailure:
        """Return a trainer's progress."""
        return await self._read(PROGRESS, trainer, Progress)

    async def weights(
        self, service: ServiceId
    ) -> Versioned[PublishedWeights] | StoreFailure:
        """Return a service's current version."""
        return await self._read(WEIGHTS, service, PublishedWeights)

    async def open_steps(
        self, trainer: TrainerId
    ) -> tuple[StepId, ...] | StoreFailure:
        """Return the numbers of a trainer's stored steps, lowest first."""
        names = await self.store.names(STEP, f'{trainer}.')
        if isinstance(names, StoreFailure):
            return names
        return numbers_of(names, trainer)

    async def write(
        self, kind: str, name: str, record: object, expected: ObjectVersion
    ) -> StoredObject | StoreFailure:
        """Write a record if its version is still `expected`."""
        body = msgspec.json.encode(record)
        return await self.store.write(kind, name, body, expected)

    async def write_part(self, name: str, body: bytes) -> StoreFailure | None:
        """Write a part; its name holds its content's digest.

        So a part that already stands there is this one: written before,
        with the answer lost.
        """
        found = await self.store.write(PART, name, body, ABSENT)
        if not isinstance(found, StoreFailure):
            return None
        conflict = found.problem is StoreProblem.CONFLICT
        return None if conflict else found

    async def samples(
        self, manifest: BatchManifest
    ) -> tuple[BatchSample, ...] | StoreFailure:
        """Return the samples of a committed batch from its parts."""
        bodies = []
        for name in manifest.parts:
            part = await self.store.read(PART, name)
            if isinstance(part, StoreFailure):
                return part
            bodies.append(part.body)
        if digest_of(bodies) != manifest.digest:
            return StoreFailure(
                StoreProblem.UNAVAILABLE,
                f'parts of {manifest.batch} do not match its digest',
            )
        return unpack(bodies)

    async def clear(self, kind: str, name: str) -> StoreFailure | None:
        """Delete an object, if it is there."""
        found = await self.store.read(kind, name)
        if not isinstance(found, StoreFailure):
            found = await self.store.delete(kind, name, found.version)
        if not isinstance(found, StoreFailure):
            return None
        return None if found.problem is StoreProblem.NOT_FOUND else found

    async def _read(
        self, kind: str, name: str, record_type: type[Record]
    ) -> Versioned[Record] | StoreFailure:
        found = await self.store.read(kind, name)
        if isinstance(found, StoreFailure):
            absent = found.problem is StoreProblem.NOT_FOUND
            return Versioned(None) if absent else found
        return decode(found, record_type)


def decode(
    found: StoredObject, record_type: type[Record]
) -> Versioned[Record] | StoreFailure:
    """Return the record in a stored object.

    An object that can't be read is reported as if the store were down:
    overwriting it would destroy what a newer release may have written.
    """
    try:
        record = msgspec.json.decode(found.body, type=record_type)
    except msgspec.MsgspecError as error:
        return StoreFailure(
            StoreProblem.UNAVAILABLE, f'{found.kind}/{found.name}: {error}'
        )
    return Versioned(record, found.version)


def step_name(trainer: TrainerId, step: StepId) -> str:
    """Return the name of a step's objects."""
    return f'{trainer}.{step}'


def numbers_of(
    names: tuple[str, ...], trainer: TrainerId
) -> tuple[StepId, ...]:
    """Return the step numbers in names of one trainer's objects.

    Names of a trainer whose id continues this one's after a dot are left
    out: what follows this trainer's id has to be a number alone.
    """
    prefix = f'{trainer}.'
    numbers = (name.removeprefix(prefix) for name in names)
    return tuple(
        sorted(StepId(int(text)) for text in numbers if text.isdecimal())
    )
