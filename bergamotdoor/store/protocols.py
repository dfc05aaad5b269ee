"""What bergamotdoor asks of the platform; one adapter file per form."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Protocol

import msgspec

from bergamotdoor.types import (
    ObjectVersion,
    ServiceId,
    VmId,
    WeightVersion,
)

if TYPE_CHECKING:
    import datetime as dt


class StoreProblem(enum.Enum):
    """Why the platform gave no result."""

    #: The object does not exist.
    NOT_FOUND = 'not-found'
    #: The object's version is not the expected one; nothing was written.
    CONFLICT = 'conflict'
    #: The platform can't be reached or refuses; nothing was written.
    UNAVAILABLE = 'unavailable'
    #: The write's answer was lost and could not be found out in time.
    UNKNOWN = 'unknown'
    #: A watch ended with no change.
    NO_CHANGE = 'no-change'


class StoreFailure(msgspec.Struct, frozen=True):
    """A platform call without a result."""

    problem: StoreProblem
    detail: str = ''


class StoredObject(msgspec.Struct, frozen=True):
    """An object as the platform keeps it."""

    kind: str
    name: str
    version: ObjectVersion
    body: bytes


class ObjectStore(Protocol):
    """Versioned objects with conditional updates and watches.

    ``write`` finds out a lost answer by itself: each write carries a
    nonce, which is read back and compared. Only what stays unclear until
    the timeout is reported as UNKNOWN.
    """

    async def read(self, kind: str, name: str) -> StoredObject | StoreFailure:
        """Return the object as it is now."""

    async def write(
        self,
        kind: str,
        name: str,
        body: bytes,
        expected: ObjectVersion,
    ) -> StoredObject | StoreFailure:
        """Write if the version is still `expected`; ABSENT creates."""

    async def delete(
        self, kind: str, name: str, expected: ObjectVersion
    ) -> StoredObject | StoreFailure:
        """Delete if the version is still `expected`."""

    async def names(
        self, kind: str, prefix: str = ''
    ) -> tuple[str, ...] | StoreFailure:
        """Return the sorted names of a kind that start with `prefix`."""

    async def watch(
        self,
        kind: str,
        name: str,
        above: ObjectVersion,
        timeout: dt.timedelta,
    ) -> StoredObject | StoreFailure:
        """Wait until the object's version is above `above`."""


class VmState(enum.Enum):
    """What the VM list says of a VM."""

    LIVE = 'live'
    LEAVING = 'leaving'


class VmRecord(msgspec.Struct, frozen=True):
    """One line of the VM list."""

    vm: VmId
    state: VmState


class VmSnapshot(msgspec.Struct, frozen=True):
    """The VM list as of `version`; it lags behind the truth."""

    version: int
    records: tuple[VmRecord, ...]


class VmList(Protocol):
    """The platform's lagging list of live and leaving VMs."""

    async def fetch(self) -> VmSnapshot | StoreFailure:
        """Return the newest list."""


class WeightRecord(msgspec.Struct, frozen=True):
    """A published version in the weight store."""

    service: ServiceId
    version: WeightVersion
    size_bytes: int


class WeightStore(Protocol):
    """The rate-limited store that engines load weights from."""

    async def describe(
        self, service: ServiceId, version: WeightVersion
    ) -> WeightRecord | StoreFailure:
        """Return the version's record, if it is there whole."""

    async def publish(
        self, service: ServiceId, version: WeightVersion, size_bytes: int
    ) -> WeightRecord | StoreFailure:
        """Register a version that a trainer has uploaded."""
