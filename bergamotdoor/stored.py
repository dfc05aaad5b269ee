"""Objects of the platform's store, and the results of calls to it."""

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
    """An object can't be decoded: it is malformed or from another writer."""


@contextlib.contextmanager
def reading(what: str) -> Iterator[None]:
    """Convert each error of a decoder to UnreadableError.

    Failure: another writer stores an object under a kind of this service,
    or an object with a number that is out of range for a time. Symptom: the
    task that watches the kind ends, and the process continues with outdated
    data. The code that reads objects one by one catches this single error.

    Parameters
    ----------
    what
        The name of the decoded data in the message of the error.
    """
    try:
        yield
    except (msgspec.MsgspecError, ValueError, ArithmeticError) as error:
        raise UnreadableError(f'{what}: {error}') from error
    except RecursionError as error:
        raise UnreadableError(f'{what}: nested too deeply') from error


class StoredObject(msgspec.Struct, frozen=True):
    """Object as the store returned it.

    ``spec`` and ``status`` are the encoded bodies.
    """

    name: str
    revision: Revision
    spec: bytes
    status: bytes = b''


class Listing(msgspec.Struct, frozen=True):
    """All objects of a kind, read at `revision` or later.

    Of what changed after it, the listing has some, but not all.
    """

    objects: tuple[StoredObject, ...]
    revision: Revision


class Change(msgspec.Struct, frozen=True):
    """Object that was written or removed."""

    stored: StoredObject
    removed: bool


class Changes(msgspec.Struct, frozen=True):
    """Changes of a kind since a revision, in order."""

    changes: tuple[Change, ...]
    revision: Revision
    #: When these changes were complete, as time since the machine's start;
    #: ``None`` if unknown.
    proven_at: dt.timedelta | None = None
    #: How long the store was asked to wait for a change; ``None`` if unknown.
    wait: dt.timedelta | None = None


class Outcome(enum.Enum):
    """Reason why a call to the store returned no object."""

    #: There is no such object.
    ABSENT = 'absent'
    #: The store no longer has the changes since that revision.
    HISTORY_GONE = 'history-gone'
    #: The call had no effect: it was rejected or not sent.
    NOT_DONE = 'not-done'
    #: The object belongs to another client account.
    FOREIGN = 'foreign'
    #: The call may have taken effect, or may take effect seconds later.
    UNCLEAR = 'unclear'
    #: The watch ended before its time, so it may have missed a change.
    CUT_SHORT = 'cut-short'


class Conflict(msgspec.Struct, frozen=True):
    """The call had no effect: the object exists, or has another revision."""

    current: StoredObject | None
