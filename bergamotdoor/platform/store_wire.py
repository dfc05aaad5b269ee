"""Bodies of the platform's object store."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final, TypeVar

import msgspec

from bergamotdoor.observe.once import Once
from bergamotdoor.stored import (
    Change,
    Changes,
    Listing,
    StoredObject,
    UnreadableError,
    reading,
)
from bergamotdoor.types import Revision

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

_NULL: Final = b'null'
Part = TypeVar('Part')

_log = logging.getLogger('bergamotdoor.platform')
#: The same object comes again with each listing.
_unreadable: Final = Once()


class _Metadata(msgspec.Struct, frozen=True):
    name: str
    #: The revision of its last change.
    rev: Revision = Revision(0)


class _Object(msgspec.Struct, frozen=True):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(_NULL)
    status: msgspec.Raw = msgspec.Raw(_NULL)


class _Name(msgspec.Struct, frozen=True):
    name: str


class _Named(msgspec.Struct, frozen=True):
    """As much of an object as says which one it is."""

    metadata: _Name


class _List(msgspec.Struct, frozen=True):
    #: Each is decoded by itself, so that a broken one breaks no other.
    items: tuple[msgspec.Raw, ...]
    as_of: Revision
    more_pages: bool = False


class _Event(msgspec.Struct, frozen=True):
    object: msgspec.Raw
    removed: bool = False


class _Events(msgspec.Struct, frozen=True):
    events: tuple[msgspec.Raw, ...]
    as_of: Revision


class Page(msgspec.Struct, frozen=True):
    """A part of a listing."""

    listing: Listing
    more: bool


def object_body(name: str, spec: bytes, revision: Revision | None) -> bytes:
    """Write an object to create, or to replace at a revision."""
    metadata: dict[str, object] = {'name': name, 'finalizers': []}
    if revision is not None:
        metadata['rev'] = revision
    return msgspec.json.encode(
        {'metadata': metadata, 'spec': msgspec.Raw(spec)}
    )


def status_body(name: str, status: bytes) -> bytes:
    """Write a status, whatever the object's revision."""
    return msgspec.json.encode(
        {'metadata': {'name': name}, 'status': msgspec.Raw(status)}
    )


def parse_object(body: bytes) -> StoredObject:
    """Read one object.

    Raises
    ------
    UnreadableError
        If it is none, or has no name.
    """
    with reading('object'):
        try:
            written = msgspec.json.decode(body, type=_Object)
        except msgspec.ValidationError:
            # Whoever keeps the object drops it, knowing which one it was.
            named = msgspec.json.decode(body, type=_Named)
            return StoredObject(named.metadata.name, Revision(0), b'')
    return StoredObject(
        written.metadata.name,
        written.metadata.rev,
        bytes(written.spec),
        bytes(written.status),
    )


def parse_page(body: bytes) -> Page:
    """Read a page of a listing, without objects that have no name.

    Raises
    ------
    UnreadableError
        If it is no page.
    """
    with reading('page'):
        written = msgspec.json.decode(body, type=_List)
    listed = tuple(_readable(written.items, parse_object))
    return Page(Listing(listed, written.as_of), written.more_pages)


def parse_changes(body: bytes) -> Changes:
    """Read what a watch returned, without objects that have no name.

    Raises
    ------
    UnreadableError
        If it is no answer of a watch.
    """
    with reading('changes'):
        written = msgspec.json.decode(body, type=_Events)
    changes = tuple(_readable(written.events, _change))
    return Changes(changes, written.as_of)


def _change(body: bytes) -> Change:
    with reading('change'):
        written = msgspec.json.decode(body, type=_Event)
    return Change(parse_object(bytes(written.object)), written.removed)


def _readable(
    bodies: Iterable[msgspec.Raw], parse: Callable[[bytes], Part]
) -> Iterator[Part]:
    for body in bodies:
        try:
            yield parse(bytes(body))
        except UnreadableError as error:
            if _unreadable.is_new(str(bytes(body))):
                _log.warning('platform: an object is left out: %s', error)
