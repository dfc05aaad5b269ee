"""A client whose calls meet faults on their way to a stand-in."""

from __future__ import annotations

import asyncio
import datetime as dt
import enum
import random
from typing import TYPE_CHECKING, Any, Final

from bergamotdoor.http.messages import (
    ClientFailure,
    ClientRequest,
    ClientResponse,
    Headers,
    HttpRequest,
)
from bergamotdoor.settings.document import Address
from bergamotdoor.settings.process import PlatformSettings
from bergamotdoor.standins._platform_table import Change
from bergamotdoor.standins.object_api import (
    ObjectApiStandin,
    ObjectKey,
    ObjectTable,
)
from bergamotdoor.store.object_api import HttpObjectStore
from bergamotdoor.types import ABSENT
from features.support import virtual_clock

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable, Iterator

ADDRESS: Final = Address(ip='127.0.0.1', port=7100)
SETTINGS: Final = PlatformSettings(object_api=ADDRESS, token='a-token')
KEY: Final = ObjectKey('claim', 'x')
HANG: Final = dt.timedelta(hours=1)


class Fate(enum.Enum):
    """What happens to one call."""

    WORKS = 'works'
    #: It takes effect; the connection breaks before the answer.
    ANSWER_LOST = 'answer-lost'
    #: It takes effect; nothing ever comes back.
    ANSWER_HANGS = 'answer-hangs'
    #: It gets lost on its way.
    LOST = 'lost'
    #: It arrives only when the caller has long given up.
    LATE = 'late'
    #: It arrives after the next call and before the one after that.
    OVERTAKEN = 'overtaken'
    #: Something in between gives up on it, though it takes effect.
    GATEWAY_TIMEOUT = 'gateway-timeout'
    NOT_CONNECTED = 'not-connected'
    BUSY = 'busy'
    #: Another process writes just before it, or just after.
    OTHER_BEFORE = 'other-before'
    OTHER_AFTER = 'other-after'


NEVER_ARRIVES: Final = frozenset((Fate.LATE, Fate.LOST, Fate.OVERTAKEN))


class FaultyClient:
    """Hands requests straight to a stand-in, each with its own fate."""

    def __init__(
        self, standin: ObjectApiStandin, fates: Iterable[Fate]
    ) -> None:
        self.sent = 0
        self._standin = standin
        self._fates: Iterator[Fate] = iter(fates)
        self._late: list[ClientRequest] = []
        self._overtaken: list[tuple[int, ClientRequest]] = []

    async def send(
        self, request: ClientRequest
    ) -> ClientResponse | ClientFailure:
        self.sent += 1
        await self._deliver_overtaken()
        fate = next(self._fates, Fate.WORKS)
        if fate is Fate.NOT_CONNECTED:
            return ClientFailure(sent=False, detail='refused')
        if fate is Fate.BUSY:
            return response_of(429, (('retry-after-ms', '20'),))
        if fate in NEVER_ARRIVES:
            self._keep(fate, request)
            return ClientFailure(sent=True, detail='reset')
        if fate is Fate.OTHER_BEFORE:
            self.write_as_other()
        return await self._answer(fate, await self.deliver(request))

    async def _answer(
        self, fate: Fate, response: ClientResponse
    ) -> ClientResponse | ClientFailure:
        if fate is Fate.OTHER_AFTER:
            self.write_as_other()
        if fate is Fate.ANSWER_HANGS:
            await asyncio.sleep(HANG.total_seconds())
        if fate is Fate.ANSWER_LOST:
            return ClientFailure(sent=True, detail='reset')
        if fate is Fate.GATEWAY_TIMEOUT:
            return response_of(504, ())
        return response

    def _keep(self, fate: Fate, request: ClientRequest) -> None:
        if fate is Fate.LATE:
            self._late.append(request)
        if fate is Fate.OVERTAKEN:
            self._overtaken.append((self.sent + 2, request))

    async def _deliver_overtaken(self) -> None:
        due = [item for item in self._overtaken if item[0] <= self.sent]
        for item in due:
            self._overtaken.remove(item)
            await self.deliver(item[1])

    async def close(self) -> None:
        """Hold nothing."""

    async def deliver(self, request: ClientRequest) -> ClientResponse:
        served = await self._standin.handle(
            HttpRequest(
                method=request.method,
                target=request.target,
                headers=request.headers,
                body=pieces(bytes(request.body)),  # type: ignore[arg-type]
            )
        )
        assert isinstance(served.body, bytes)
        return response_of(served.status, served.headers, served.body)

    async def deliver_late(self) -> None:
        """Let what was late arrive now."""
        overtaken = [request for _, request in self._overtaken]
        late = [*self._late, *overtaken]
        self._late.clear()
        self._overtaken.clear()
        for request in late:
            await self.deliver(request)

    def write_as_other(self) -> None:
        table = self._standin.table
        found = table.read(KEY)
        version = found.version if found else ABSENT
        table.apply(Change(KEY, version, 'another', b'of another'))


class SilentPool:
    """Connections of the pool never answer; new ones do."""

    def __init__(self, client: FaultyClient) -> None:
        self._client = client

    async def send(
        self, request: ClientRequest
    ) -> ClientResponse | ClientFailure:
        if request.idempotent:
            await asyncio.sleep(HANG.total_seconds())
        return await self._client.send(request)

    async def close(self) -> None:
        """Hold nothing."""


def response_of(status: int, headers: Any, body: bytes = b'') -> ClientResponse:
    return ClientResponse(
        status=status, headers=Headers.of(headers), body=pieces(body)
    )


async def pieces(body: bytes) -> AsyncIterator[bytes]:
    yield body


def faulty_store(
    fates: Iterable[Fate], table: ObjectTable
) -> tuple[HttpObjectStore, FaultyClient]:
    """Return a store and the client that its calls go through."""
    clock = virtual_clock()
    standin = ObjectApiStandin(clock, table, SETTINGS.token)
    client = FaultyClient(standin, fates)
    store = HttpObjectStore.from_config(
        SETTINGS, client, clock, random.Random(1)
    )
    return store, client
