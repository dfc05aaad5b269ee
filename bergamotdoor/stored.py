"""Objects of the platform's store, and what its calls return."""

from __future__ import annotations

import contextlib
import datetime as dt
import enum
from typing import TYPE_CHECKING

import msgspec

from bergamotdoor.types import Revision

if TYPE_CHECKING:
    from collections.abc import Iterator


class UnreadableError(ValueError):
    """An object is not what its kind holds: another writer's, or broken."""


@contextlib.contextmanager
def reading(what: str) -> Iterator[None]:
    """Turn each error of a decoder into UnreadableError.

    Failure: another writer puts an object under one of our kinds, or a
    number that no clock can hold. Symptom: the task that follows the kind
    ends, and the process lives by what it knew. One error is caught where
    objects are read one by one.
    """
    try:
        yield
    except (msgspec.MsgspecError, ValueError, ArithmeticError) as error:
        raise UnreadableError(f'{what}: {error}') from error
    except RecursionError as error:
        raise UnreadableError(f'{what}: nested too deeply') from error


class StoredObject(msgspec.Struct, frozen=True):
    """An object as the store returned it.

    ``spec`` and ``status`` are the encoded bodies.
    """

    name: str
    revision: Revision
    spec: bytes
    status: bytes = b''


class Listing(msgspec.Struct, frozen=True):
    """All objects of a kind at one revision."""

    objects: tuple[StoredObject, ...]
    revision: Revision


class Change(msgspec.Struct, frozen=True):
    """An object that was written, or removed."""

    stored: StoredObject
    removed: bool


class Changes(msgspec.Struct, frozen=True):
    """What happened to a kind since a revision, in order."""

    changes: tuple[Change, ...]
    revision: Revision
    #: When nothing else had changed, in time since the machine's start; None
    #: is not known.
    proven_at: dt.timedelta | None = None


class Outcome(enum.Enum):
    """Why a call of the store gave no object."""

    #: There is no such object.
    ABSENT = 'absent'
    #: The store no longer has the changes since that revision.
    HISTORY_GONE = 'history-gone'
    #: Nothing was done: refused, or not sent.
    NOT_DONE = 'not-done'
    #: The object is another client account's.
    FOREIGN = 'foreign'
    #: It may have been done, or may be done seconds later.
    UNCLEAR = 'unclear'


class Conflict(msgspec.Struct, frozen=True):
    """Nothing was done: the object exists, or has another revision."""

    current: StoredObject | None
