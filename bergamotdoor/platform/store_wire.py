"""Bodies of requests and responses of the platform's object store."""

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

Part = TypeVar('Part')

_log = logging.getLogger('bergamotdoor.platform')
#: Unreadable objects that were logged; each listing contains them again.
_logged_objects: Final = Once()


class _Metadata(msgspec.Struct, frozen=True):
    name: str
    #: The revision of its last change.
    rev: Revision = Revision(0)


class _Object(msgspec.Struct, frozen=True):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b'null')
    status: msgspec.Raw = msgspec.Raw(b'null')


class _Name(msgspec.Struct, frozen=True):
    name: str


class _Named(msgspec.Struct, frozen=True):
    """The part of an object that identifies it."""

    metadata: _Name


class _List(msgspec.Struct, frozen=True):
    #: Decoded one by one, so that a malformed object affects no other.
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
    """One page of a listing."""

    listing: Listing
    more: bool


def object_body(name: str, spec: bytes, revision: Revision | None) -> bytes:
    """Encode an object to be created, or replaced at a revision."""
    meta = {'name': name, 'finalizers': [], **_condition(revision)}
    return msgspec.json.encode({'metadata': meta, 'spec': msgspec.Raw(spec)})


def status_body(name: str, status: bytes, revision: Revision | None) -> bytes:
    """Encode a status, to be written at any revision if that is ``None``."""
    meta = {'name': name, **_condition(revision)}
    return msgspec.json.encode(
        {'metadata': meta, 'status': msgspec.Raw(status)}
    )


def _condition(revision: Revision | None) -> dict[str, Revision]:
    return {} if revision is None else {'rev': revision}


def parse_object(body: bytes) -> StoredObject:
    """Decode one object.

    Raises
    ------
    UnreadableError
        If the body is not an object or has no name.
    """
    with reading('object'):
        try:
            decoded = msgspec.json.decode(body, type=_Object)
        except msgspec.ValidationError:
            # The name alone lets a view drop the object that it holds.
            named = msgspec.json.decode(body, type=_Named)
            return StoredObject(named.metadata.name, Revision(0), b'')
    return StoredObject(
        decoded.metadata.name,
        decoded.metadata.rev,
        bytes(decoded.spec),
        bytes(decoded.status),
    )


def parse_page(body: bytes) -> Page:
    """Decode a page of a listing, without objects that have no name.

    Raises
    ------
    UnreadableError
        If the body is not a page.
    """
    with reading('page'):
        decoded = msgspec.json.decode(body, type=_List)
    listed = tuple(_decode_readable(decoded.items, parse_object))
    return Page(Listing(listed, decoded.as_of), decoded.more_pages)


def parse_changes(body: bytes) -> Changes:
    """Decode the response of a watch, without objects that have no name.

    Raises
    ------
    UnreadableError
        If the body is not a response of a watch.
    """
    with reading('changes'):
        decoded = msgspec.json.decode(body, type=_Events)
    changes = tuple(_decode_readable(decoded.events, _parse_change))
    return Changes(changes, decoded.as_of)


def _parse_change(body: bytes) -> Change:
    with reading('change'):
        decoded = msgspec.json.decode(body, type=_Event)
    return Change(parse_object(bytes(decoded.object)), decoded.removed)


def _decode_readable(
    bodies: Iterable[msgspec.Raw], parse: Callable[[bytes], Part]
) -> Iterator[Part]:
    for body in bodies:
        try:
            yield parse(bytes(body))
        except UnreadableError as error:
            if _logged_objects.is_new(str(bytes(body))):
                _log.warning('platform: unreadable object skipped: %s', error)
