"""Bodies of the platform's object store."""

from __future__ import annotations

from typing import Final

import msgspec

from bergamotdoor.stored import (
    Change,
    Changes,
    Listing,
    StoredObject,
)
from bergamotdoor.types import Revision

_NULL: Final = b'null'


class _Metadata(msgspec.Struct, frozen=True):
    name: str
    #: The revision of its last change.
    rev: Revision = Revision(0)


class _Object(msgspec.Struct, frozen=True):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(_NULL)
    status: msgspec.Raw = msgspec.Raw(_NULL)


class _List(msgspec.Struct, frozen=True):
    items: tuple[_Object, ...]
    as_of: Revision
    more_pages: bool = False


class _Event(msgspec.Struct, frozen=True):
    object: _Object
    removed: bool = False


class _Events(msgspec.Struct, frozen=True):
    events: tuple[_Event, ...]
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
    """Read one object."""
    return _object(msgspec.json.decode(body, type=_Object))


def parse_page(body: bytes) -> Page:
    """Read a page of a listing."""
    written = msgspec.json.decode(body, type=_List)
    listed = tuple(_object(item) for item in written.items)
    return Page(Listing(listed, written.as_of), written.more_pages)


def parse_changes(body: bytes) -> Changes:
    """Read what a watch returned."""
    written = msgspec.json.decode(body, type=_Events)
    events = tuple(
        Change(_object(event.object), event.removed) for event in written.events
    )
    return Changes(events, written.as_of)


def _object(written: _Object) -> StoredObject:
    return StoredObject(
        written.metadata.name,
        written.metadata.rev,
        bytes(written.spec),
        bytes(written.status),
    )
