"""Client of the platform's object store."""

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
    ClientFailure,
    ClientRequest,
    ClientResponse,
    Headers,
)
from bergamotdoor.http.sending import send
from bergamotdoor.observe import call_trace
from bergamotdoor.observe.call_counts import CallCounts, CallOutcome, CallType
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

#: Timeout of a call for a single object. The store answers in milliseconds; a
#: store that is sixty times slower than usual needs a quarter of this.
CALL_TIMEOUT: Final = dt.timedelta(seconds=1)
#: Timeout of a page of a listing. A page has a megabyte, which takes a quarter
#: of a second on an otherwise idle link of 30 Mbit/s, the smallest, and a
#: process loads several pages at a time after a restart.
_LIST_TIMEOUT_S: Final = 3
LIST_TIMEOUT: Final = dt.timedelta(seconds=_LIST_TIMEOUT_S)
#: Limit of a response body. An object has at most a megabyte, a page of a
#: listing has little more.
_MAX_BODY_BYTES: Final = 16_777_216
#: Size of the start of an unreadable body that is logged.
_LOGGED_BYTES: Final = 80
#: Time beyond the wait of a watch until it times out: twice what a store
#: that is sixty times slower than usual needs to answer.
_WATCH_MARGIN_MS: Final = 500
WATCH_MARGIN: Final = dt.timedelta(milliseconds=_WATCH_MARGIN_MS)
_MILLISECOND: Final = dt.timedelta(milliseconds=1)
_NO_TIME: Final = dt.timedelta()
#: A relayed call that takes longer is logged even if it succeeds.
_LATE_MS: Final = 1000
Body = TypeVar('Body')
_READ_METHOD: Final = 'GET'
#: With these statuses the store promises that it did nothing.
_REFUSAL_STATUSES: Final = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)
#: With these statuses the store tells the state of the object or its history.
_STATE_STATUSES: Final = frozenset(
    (HTTPStatus.NOT_FOUND, HTTPStatus.CONFLICT, HTTPStatus.GONE)
)

_log = logging.getLogger('bergamotdoor.objects')


class Answer(msgspec.Struct, frozen=True):
    """A complete response of the store."""

    status: int
    body: bytes
    #: How long the store was asked to wait, if this answers a watch.
    wait: dt.timedelta | None = None

    @property
    def is_rejection(self) -> bool:
        """Whether the store promises that this call had no effect.

        With 429 and 503 it promises that it did nothing. After any other
        server error the call may have been carried out.
        """
        if self.status in _REFUSAL_STATUSES:
            return True
        return (
            self.status not in _STATE_STATUSES
            and HTTPStatus.MULTIPLE_CHOICES
            <= self.status
            < HTTPStatus.INTERNAL_SERVER_ERROR
        )


class WatchCall(msgspec.Struct, frozen=True):
    """A watch of one kind of objects."""

    kind: str
    #: The revision after which changes are returned.
    since: Revision
    #: How long the store waits for a change.
    wait: dt.timedelta
    #: How long changes were gathered before the watch.
    gather: dt.timedelta = _NO_TIME

    @property
    def path(self) -> str:
        """Path and query of the watch."""
        return store_paths.watch_path(
            self.kind, self.since, self.wait // _MILLISECOND
        )

    @property
    def timeout(self) -> dt.timedelta:
        """The time that the store has to answer, the wait included."""
        return self.wait + WATCH_MARGIN


class Caller(Protocol):
    """Transport of calls to the store, direct or through other processes."""

    async def call(
        self, method: str, path: str, body: bytes, timeout: dt.timedelta
    ) -> Answer | Outcome:
        """Send a call; return the response, NOT_DONE or UNCLEAR.

        Parameters
        ----------
        method
            The HTTP method.
        path
            Path and query.
        body
            The encoded object; empty if the call has none.
        timeout
            The time that the store has to answer.
        """

    async def watch(self, watch: WatchCall) -> Answer | Outcome:
        """Send a watch; a missing response is no sign of a store failure.

        Returns
        -------
        Answer or Outcome
            The answer, with the wait that the store was asked for: it may be
            shorter than that of `watch`. ``CUT_SHORT`` if the watch failed on
            the way to another process, which says nothing about the store.
        """


class DirectCaller:
    """Transport that sends calls to the store over HTTP from this VM.

    Parameters
    ----------
    client
        The HTTP client.
    address
        Address of the store.
    """

    def __init__(self, client: Client, address: Address) -> None:
        self._client = client
        self.address = address

    async def call(
        self, method: str, path: str, body: bytes, timeout: dt.timedelta
    ) -> Answer | Outcome:
        """Send a call; return the response, NOT_DONE or UNCLEAR.

        NOT_DONE says that the call was not sent, UNCLEAR that it may have
        been carried out.

        Failure: the store carries out a write and goes down, so the kept
        connection is reset and the second attempt is rejected. Symptom: a
        trainer is told that nothing of its job runs, and the job runs later.
        A rejection of the second attempt says nothing about the first one.
        """
        return await self._send(self._request(method, path, body, timeout))

    async def call_within(
        self, method: str, path: str, body: bytes, timeout: dt.timedelta
    ) -> Answer | Outcome:
        """Send a call, with one timeout for both of its attempts."""
        request = self._request(method, path, body, timeout)
        request.retry_within = timeout
        request.total_timeout = timeout
        return await self._send(request)

    async def watch(self, watch: WatchCall) -> Answer | Outcome:
        """Send a watch, with one timeout for both of its attempts.

        Failure: the store accepts a watch and never answers it, not even
        after it is available again. Symptom: a watch on a reused connection
        is sent once more after its timeout and waits for a second timeout;
        callers get responses by an outdated manifest meanwhile. One timeout
        over both attempts bounds the wait.
        """
        found = await self.call_within('GET', watch.path, b'', watch.timeout)
        if isinstance(found, Outcome):
            return found
        return msgspec.structs.replace(found, wait=watch.wait)

    def _request(
        self, method: str, path: str, body: bytes, timeout: dt.timedelta
    ) -> ClientRequest:
        return ClientRequest(
            address=self.address,
            method=method,
            target=path,
            headers=Headers.of([('content-type', 'application/json')]),
            body=body,
            timeout=timeout,
            total_timeout=timeout * 2,
        )

    async def _send(self, request: ClientRequest) -> Answer | Outcome:
        # Calls are safe to repeat: each is conditional or idempotent.
        sent = call_trace.begin_path('directly')
        response = await send(self._client, request)
        if not isinstance(response, ClientResponse):
            sent.end(_describe_failure(response), failed=True)
            return Outcome.UNCLEAR if response.sent else Outcome.NOT_DONE
        try:
            body_bytes = await response.read_body(_MAX_BODY_BYTES)
        except (BodyBrokenError, BodyTooLargeError) as error:
            sent.end(_describe_response(response, repr(error)), failed=True)
            return Outcome.UNCLEAR
        answer = Answer(response.status, body_bytes)
        sent.end(
            _describe_response(response),
            failed=response.sent_before or _is_failure(answer),
        )
        if response.sent_before and answer.is_rejection:
            return Outcome.UNCLEAR
        return answer


class ObjectClient:
    """Typed calls to the store, without retries of its own.

    Parameters
    ----------
    caller
        The transport of the calls.
    """

    def __init__(self, caller: Caller) -> None:
        self._caller = caller
        #: Number of calls by type and kind. A call counts once, even if the
        #: transport sends it on several paths.
        self.counts = CallCounts()

    async def get(self, kind: str, name: str) -> StoredObject | Outcome:
        """Return an object, ABSENT, or why the object is unknown."""
        self.counts.add(CallType.READ, kind)
        path = store_paths.object_path(kind, name)
        response = await self._request('GET', path)
        if isinstance(response, Outcome):
            return response
        return _parse_body(store_wire.parse_object, response, Outcome.NOT_DONE)

    async def listing(
        self, kind: str, after: str = '', stale: bool = False
    ) -> Listing | Outcome:
        """Return all objects of a kind, loaded page by page.

        The listing has the oldest revision of its pages, since objects of an
        earlier page may change while a later one is loaded. A watch from that
        revision on reports these changes.

        Parameters
        ----------
        kind
            The kind to list.
        after
            The name after which the listing begins; empty for all names.
        stale
            Whether the store may return a state that is some seconds old.
            Such a listing costs a tenth of a current one.
        """
        objects: list[StoredObject] = []
        revisions: list[Revision] = []
        more = True
        while more:
            self.counts.add(_listing_type(stale), kind)
            path = store_paths.list_path(kind, after, stale)
            response = await self._request('GET', path, LIST_TIMEOUT)
            if response is Outcome.ABSENT:
                return Outcome.NOT_DONE
            if isinstance(response, Outcome):
                return response
            page = _parse_body(
                store_wire.parse_page, response, Outcome.NOT_DONE
            )
            if isinstance(page, Outcome):
                return page
            objects.extend(page.listing.objects)
            revisions.append(page.listing.revision)
            more = page.more and bool(page.listing.objects)
            after = objects[-1].name if objects else after
        if len(revisions) > 1:
            _log.info(
                'objects: %s listed in %d pages at revisions %s',
                kind,
                len(revisions),
                revisions,
            )
        return Listing(tuple(objects), min(revisions))

    async def create(
        self, kind: str, name: str, spec: bytes
    ) -> StoredObject | Conflict | Outcome:
        """Create an object unless one with the same name exists.

        A status that tells the state of an object or its history says nothing
        about a creation, except for the conflict.
        """
        self.counts.add(CallType.WRITE, kind)
        body = store_wire.object_body(name, spec, None)
        outcome = await self._write('POST', store_paths.kind_path(kind), body)
        if outcome is Outcome.ABSENT or outcome is Outcome.HISTORY_GONE:
            return Outcome.UNCLEAR
        return outcome

    async def replace(
        self, kind: str, name: str, spec: bytes, revision: Revision
    ) -> StoredObject | Conflict | Outcome:
        """Replace an object's spec if the object is still at `revision`."""
        self.counts.add(CallType.WRITE, kind)
        body = store_wire.object_body(name, spec, revision)
        return await self._write(
            'PUT', store_paths.object_path(kind, name), body
        )

    async def put_status(
        self,
        kind: str,
        name: str,
        status: bytes,
        revision: Revision | None = None,
    ) -> StoredObject | Conflict | Outcome:
        """Replace an object's status.

        Parameters
        ----------
        kind, name
            The object.
        status
            The encoded status.
        revision
            The revision at which the object must still be; ``None`` replaces
            the status at any revision.
        """
        self.counts.add(CallType.WRITE, kind)
        body = store_wire.status_body(name, status, revision)
        return await self._write(
            'PUT', store_paths.status_path(kind, name), body
        )

    async def delete(self, kind: str, name: str) -> Outcome:
        """Remove an object; return ABSENT if it no longer exists."""
        self.counts.add(CallType.WRITE, kind)
        response = await self._request(
            'DELETE', store_paths.object_path(kind, name)
        )
        return response if isinstance(response, Outcome) else Outcome.ABSENT

    async def changes(self, watch: WatchCall) -> Changes | Outcome:
        """Return the changes of a kind after a revision.

        Parameters
        ----------
        watch
            The watch. If there is no change in its time, the result is
            empty. The result has the time that the store was asked to wait,
            which may be shorter.
        """
        self.counts.add(CallType.WATCH, watch.kind)
        with call_trace.traced_call() as trace:
            response = await self._caller.watch(watch)
            _log_failure('GET', watch.path, response, trace)
        if isinstance(response, Outcome):
            return response
        if response.status >= HTTPStatus.MULTIPLE_CHOICES:
            return _outcome_of_status(response)
        found = _parse_body(store_wire.parse_changes, response, Outcome.UNCLEAR)
        if isinstance(found, Outcome):
            return found
        return msgspec.structs.replace(found, wait=response.wait)

    async def _write(
        self, method: str, path: str, body: bytes
    ) -> StoredObject | Conflict | Outcome:
        response = await self._call(method, path, body, CALL_TIMEOUT)
        if isinstance(response, Outcome):
            return response
        if response.status == HTTPStatus.CONFLICT:
            return Conflict(_parse_current(response.body))
        if response.status >= HTTPStatus.MULTIPLE_CHOICES:
            return _outcome_of_status(response)
        return _parse_body(store_wire.parse_object, response, Outcome.UNCLEAR)

    async def _request(
        self, method: str, path: str, timeout: dt.timedelta = CALL_TIMEOUT
    ) -> Answer | Outcome:
        response = await self._call(method, path, b'', timeout)
        if isinstance(response, Outcome):
            return response
        if response.status >= HTTPStatus.MULTIPLE_CHOICES:
            return _outcome_of_status(response)
        return response

    async def _call(
        self, method: str, path: str, body: bytes, timeout: dt.timedelta
    ) -> Answer | Outcome:
        """Send a call; log what came of each path if any has failed."""
        with call_trace.traced_call() as trace:
            try:
                found = await self._caller.call(method, path, body, timeout)
            except asyncio.CancelledError:
                if method != _READ_METHOD:
                    self.counts.writes[CallOutcome.UNCLEAR] += 1
                    _log.warning(
                        'objects: %s %s: given up %s', method, path, str(trace)
                    )
                raise
            _log_failure(method, path, found, trace)
        if method != _READ_METHOD:
            self.counts.writes[_call_outcome(found)] += 1
        return found


def _listing_type(stale: bool) -> CallType:
    return CallType.STALE_LIST if stale else CallType.LIST


def _parse_body(
    parse: Callable[[bytes], Body], response: Answer, failure: Outcome
) -> Body | Outcome:
    """Return the parsed body, or `failure` if the body is unreadable."""
    try:
        return parse(response.body)
    except UnreadableError as error:
        _log.warning(
            'objects: the body of a response is unreadable: %s: %r',
            error,
            response.body[:_LOGGED_BYTES],
        )
        return failure


def _parse_current(body: bytes) -> StoredObject | None:
    """Return the stored object in the body of a conflict response."""
    try:
        return store_wire.parse_object(body)
    except UnreadableError:
        _log.warning(
            'objects: a conflict response has no readable object: %r',
            body[:_LOGGED_BYTES],
        )
        return None


def _outcome_of_status(response: Answer) -> Outcome:
    if response.status == HTTPStatus.NOT_FOUND:
        return Outcome.ABSENT
    if response.status == HTTPStatus.GONE:
        return Outcome.HISTORY_GONE
    return Outcome.NOT_DONE if response.is_rejection else Outcome.UNCLEAR


def _is_failure(found: Answer | Outcome) -> bool:
    """Return whether the store neither did a call nor told the state."""
    if isinstance(found, Outcome):
        return True
    return (
        found.status >= HTTPStatus.MULTIPLE_CHOICES
        and found.status not in _STATE_STATUSES
    )


def _call_outcome(found: Answer | Outcome) -> CallOutcome:
    if not _is_failure(found):
        return CallOutcome.DONE
    if isinstance(found, Answer):
        has_no_effect = found.is_rejection
    else:
        has_no_effect = found is Outcome.NOT_DONE
    return CallOutcome.REJECTED if has_no_effect else CallOutcome.UNCLEAR


def _log_failure(
    method: str,
    path: str,
    found: Answer | Outcome,
    trace: call_trace.CallTrace,
) -> None:
    """Log a call that failed on one of its paths, or was relayed and late."""
    is_late = trace.is_relayed and trace.took_ms > _LATE_MS
    if not (is_late or _is_failure(found) or trace.has_failed_path):
        return
    outcome = _call_outcome(found).value
    # The text tells the time so far, so it is made before another thread
    # formats the record.
    _log.warning('objects: %s %s: %s %s', method, path, outcome, str(trace))


def _describe_failure(failure: ClientFailure) -> str:
    sent = 'sent' if failure.sent else 'not sent'
    if not failure.other_failure:
        return f'{sent}, {failure.detail}'
    return f'{sent}, {failure.detail}, other attempt: {failure.other_failure}'


def _describe_response(response: ClientResponse, error: str = '') -> str:
    text = f'status {response.status}'
    if error:
        text = f'{text}, {error}'
    if not response.first_failure:
        return text
    sent = 'sent' if response.sent_before else 'not sent'
    return f'{text}, second attempt, first one {sent}: {response.first_failure}'
