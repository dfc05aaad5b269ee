"""Calls to the platform's object store."""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from http import HTTPStatus
from typing import TYPE_CHECKING, Final, Protocol, TypeVar

import msgspec

from bergamotdoor.http.messages import (
    BodyBrokenError,
    BodyTooLargeError,
    Client,
    ClientRequest,
    ClientResponse,
    Headers,
)
from bergamotdoor.http.sending import send
from bergamotdoor.observe.call_counts import CallCounts, CallType
from bergamotdoor.platform import store_paths, store_wire
from bergamotdoor.stored import (
    Changes,
    Conflict,
    Listing,
    Outcome,
    StoredObject,
    UnreadableError,
)
from bergamotdoor.types import Revision

if TYPE_CHECKING:
    from collections.abc import Callable

    from bergamotdoor.settings.document import Address

#: The store answers in milliseconds; even one that is sixty times as slow
#: as usual does so within a quarter of this.
CALL_TIMEOUT: Final = dt.timedelta(seconds=1)
#: A page is a megabyte, which takes a quarter of a second on the smallest
#: links of 30 Mbit/s alone, and several are loaded at once after a restart.
_LIST_TIMEOUT_S: Final = 3
LIST_TIMEOUT: Final = dt.timedelta(seconds=_LIST_TIMEOUT_S)
#: An object is a megabyte at most, a page of a listing little more.
_MAX_BODY_BYTES: Final = 16_777_216
_SHOWN_BYTES: Final = 80
#: How much later than its wait a watch may be answered: twice the time of a
#: store that is sixty times as slow as usual.
_WATCH_MARGIN_MS: Final = 500
_WATCH_MARGIN: Final = dt.timedelta(milliseconds=_WATCH_MARGIN_MS)
_MS: Final = dt.timedelta(milliseconds=1)
Body = TypeVar('Body')
_REFUSALS: Final = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)

_log = logging.getLogger('bergamotdoor.objects')


class Answer(msgspec.Struct, frozen=True):
    """A whole answer of the store."""

    status: int
    body: bytes


class Caller(Protocol):
    """Carries one call to the store, on whatever way."""

    async def call(
        self, method: str, path: str, body: bytes, timeout: dt.timedelta
    ) -> Answer | Outcome:
        """Return the answer, NOT_DONE or UNCLEAR."""

    async def watch(self, path: str, timeout: dt.timedelta) -> Answer | Outcome:
        """Make a call that waits by its nature; its silence tells nothing."""


class DirectCaller:
    """Calls the store over HTTP from this VM."""

    def __init__(self, client: Client, address: Address) -> None:
        self._client = client
        self.address = address

    async def call(
        self, method: str, path: str, body: bytes, timeout: dt.timedelta
    ) -> Answer | Outcome:
        """Send one call; say what is known if no answer comes."""
        request = ClientRequest(
            address=self.address,
            method=method,
            target=path,
            headers=Headers.of([('content-type', 'application/json')]),
            body=body,
            timeout=timeout,
        )
        # Each call is conditional, or says the same when it is repeated.
        response = await send(self._client, request)
        if not isinstance(response, ClientResponse):
            _log.warning('objects: %s %s: %s', method, path, response.detail)
            return Outcome.UNCLEAR if response.sent else Outcome.NOT_DONE
        try:
            whole = await response.read_body(_MAX_BODY_BYTES)
        except (BodyBrokenError, BodyTooLargeError) as error:
            _log.warning('objects: %s %s: %r', method, path, error)
            return Outcome.UNCLEAR
        return Answer(response.status, whole)

    async def watch(self, path: str, timeout: dt.timedelta) -> Answer | Outcome:
        """Wait for news, on the one way there is.

        Failure: the store takes a watch and is silent from then on, also
        after its return. Symptom: sent on a kept connection, the watch is
        sent again once its time is up, and waits as long once more; callers
        are answered by an old manifest meanwhile. It has its time once.
        """
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await self.call('GET', path, b'', timeout)
        except TimeoutError:
            _log.warning('objects: GET %s: no answer in %s', path, timeout)
            return Outcome.UNCLEAR


class ObjectClient:
    """The store's calls as typed functions; none is repeated here."""

    def __init__(self, caller: Caller) -> None:
        self._caller = caller
        #: Of all calls, each counted once on however many ways it went.
        self.counts = CallCounts()

    async def get(self, kind: str, name: str) -> StoredObject | Outcome:
        """Return an object, ABSENT, or why it is not known."""
        self.counts.add(CallType.READ, kind)
        path = store_paths.object_path(kind, name)
        answer = await self._call('GET', path)
        if isinstance(answer, Outcome):
            return answer
        return _read(store_wire.parse_object, answer, Outcome.NOT_DONE)

    async def listing(
        self, kind: str, after: str = '', stale: bool = False
    ) -> Listing | Outcome:
        """Return all objects of a kind, page after page.

        Parameters
        ----------
        kind
            What to list.
        after
            The name to begin behind.
        stale
            Whether a view that is seconds old will do; it costs a tenth.
        """
        objects: list[StoredObject] = []
        revision = Revision(0)
        more = True
        while more:
            self.counts.add(_listing_type(stale), kind)
            path = store_paths.list_path(kind, after, stale)
            answer = await self._call('GET', path, LIST_TIMEOUT)
            if answer is Outcome.ABSENT:
                return Outcome.NOT_DONE
            if isinstance(answer, Outcome):
                return answer
            page = _read(store_wire.parse_page, answer, Outcome.NOT_DONE)
            if isinstance(page, Outcome):
                return page
            objects.extend(page.listing.objects)
            revision = page.listing.revision
            more = page.more and bool(page.listing.objects)
            after = objects[-1].name if objects else after
        return Listing(tuple(objects), revision)

    async def create(
        self, kind: str, name: str, spec: bytes
    ) -> StoredObject | Conflict | Outcome:
        """Create an object unless one of the name exists."""
        self.counts.add(CallType.WRITE, kind)
        body = store_wire.object_body(name, spec, None)
        return await self._write('POST', store_paths.kind_path(kind), body)

    async def replace(
        self, kind: str, name: str, spec: bytes, revision: Revision
    ) -> StoredObject | Conflict | Outcome:
        """Replace an object's spec if it is still at `revision`."""
        self.counts.add(CallType.WRITE, kind)
        body = store_wire.object_body(name, spec, revision)
        return await self._write(
            'PUT', store_paths.object_path(kind, name), body
        )

    async def put_status(
        self, kind: str, name: str, status: bytes
    ) -> StoredObject | Conflict | Outcome:
        """Replace an object's status, whatever its revision."""
        self.counts.add(CallType.WRITE, kind)
        body = store_wire.status_body(name, status)
        return await self._write(
            'PUT', store_paths.status_path(kind, name), body
        )

    async def delete(self, kind: str, name: str) -> Outcome:
        """Remove an object; ABSENT once it is gone."""
        self.counts.add(CallType.WRITE, kind)
        answer = await self._call('DELETE', store_paths.object_path(kind, name))
        return answer if isinstance(answer, Outcome) else Outcome.ABSENT

    async def changes(
        self, kind: str, since: Revision, wait: dt.timedelta
    ) -> Changes | Outcome:
        """Wait for changes since a revision; none came if it is empty."""
        self.counts.add(CallType.WATCH, kind)
        path = store_paths.watch_path(kind, since, wait // _MS)
        answer = await self._caller.watch(path, wait + _WATCH_MARGIN)
        if isinstance(answer, Outcome):
            return answer
        if answer.status >= HTTPStatus.MULTIPLE_CHOICES:
            return _outcome('GET', path, answer)
        return _read(store_wire.parse_changes, answer, Outcome.UNCLEAR)

    async def _write(
        self, method: str, path: str, body: bytes
    ) -> StoredObject | Conflict | Outcome:
        answer = await self._caller.call(method, path, body, CALL_TIMEOUT)
        if isinstance(answer, Outcome):
            return answer
        if answer.status == HTTPStatus.CONFLICT:
            return Conflict(_conflicting(answer.body))
        if answer.status >= HTTPStatus.MULTIPLE_CHOICES:
            return _outcome(method, path, answer)
        return _read(store_wire.parse_object, answer, Outcome.UNCLEAR)

    async def _call(
        self, method: str, path: str, timeout: dt.timedelta = CALL_TIMEOUT
    ) -> Answer | Outcome:
        answer = await self._caller.call(method, path, b'', timeout)
        if isinstance(answer, Outcome):
            return answer
        if answer.status >= HTTPStatus.MULTIPLE_CHOICES:
            return _outcome(method, path, answer)
        return answer


def _listing_type(stale: bool) -> CallType:
    return CallType.STALE_LIST if stale else CallType.LIST


def _read(
    parse: Callable[[bytes], Body], answer: Answer, otherwise: Outcome
) -> Body | Outcome:
    try:
        return parse(answer.body)
    except UnreadableError as error:
        _log.warning(
            'objects: an answer is unreadable: %s: %r',
            error,
            answer.body[:_SHOWN_BYTES],
        )
        return otherwise


def _conflicting(body: bytes) -> StoredObject | None:
    try:
        return store_wire.parse_object(body)
    except UnreadableError:
        _log.warning(
            'objects: a conflict without the object: %r', body[:_SHOWN_BYTES]
        )
        return None


def _outcome(method: str, path: str, answer: Answer) -> Outcome:
    if answer.status == HTTPStatus.NOT_FOUND:
        return Outcome.ABSENT
    if answer.status == HTTPStatus.GONE:
        return Outcome.HISTORY_GONE
    _log.warning('objects: %s %s: status %d', method, path, answer.status)
    # A refusal, by rate or by an outage, promises that nothing was done;
    # any other failure of the store leaves that open.
    if answer.status in _REFUSALS:
        return Outcome.NOT_DONE
    if answer.status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return Outcome.NOT_DONE
    return Outcome.UNCLEAR
