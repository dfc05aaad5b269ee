"""Paths and bodies of the platform's object store."""

from __future__ import annotations

from typing import Final
from urllib.parse import quote, urlencode

import msgspec

from bergamotdoor.objects.messages import (
    Change,
    Changes,
    Listing,
    StoredObject,
)
from bergamotdoor.platform.headers import OBJECTS_PATH
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


def kind_path(kind: str) -> str:
    """Return the path of a kind, to create objects."""
    return OBJECTS_PATH + quote(kind, safe='')


def object_path(kind: str, name: str, revision: Revision | None = None) -> str:
    """Return the path of an object, on condition of its revision."""
    path = f'{kind_path(kind)}/{quote(name, safe="")}'
    return path if revision is None else f'{path}?rev={revision}'


def status_path(kind: str, name: str) -> str:
    """Return the path that replaces an object's status."""
    return f'{object_path(kind, name)}/status'


def list_path(kind: str, after: str, stale: bool) -> str:
    """Return the path of a page; a stale one costs a tenth."""
    query = {}
    if after:
        query['after'] = after
    if stale:
        query['allow_stale'] = '1'
    path = kind_path(kind)
    return f'{path}?{urlencode(query)}' if query else path


def watch_path(kind: str, since: Revision, wait_ms: int) -> str:
    """Return the path that waits for changes."""
    query = urlencode({'watch': since, 'wait_ms': wait_ms})
    return f'{kind_path(kind)}?{query}'


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
