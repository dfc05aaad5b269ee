"""Submissions of a job over a network in which any call may go wrong."""

from __future__ import annotations

import asyncio
import datetime as dt
import json
import random
from http import HTTPStatus
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final

from bergamotdoor.http.messages import (
    BodyBrokenError,
    ClientFailure,
    ClientRequest,
    ClientResponse,
    Headers,
    Reachability,
)
from bergamotdoor.jobs.messages import JobRecord, JobSpec
from bergamotdoor.objects.client import DirectCaller, ObjectClient
from bergamotdoor.objects.job_names import JOB_KIND
from bergamotdoor.objects.job_store import JobStore, Submitted
from bergamotdoor.peers import codec
from bergamotdoor.peers.client import PeerClient
from bergamotdoor.peers.directory import Directory, EntryRecord
from bergamotdoor.peers.messages import StoreCall
from bergamotdoor.peers.relay import PeerRelay, RelayingCaller, relayed
from bergamotdoor.peers.sharing import SharingBounds
from bergamotdoor.types import JobId, ModelId, NodeId, WeightVersion
from lab.site import at
from lab.virtual import run_virtual, virtual_clock

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping, Sequence
    from typing import TypeAlias

    from bergamotdoor.settings.document import Address
    from bergamotdoor.stored import Outcome

    _StatusesByFate: TypeAlias = Mapping[str, Sequence[int]]

_DRAIN: Final = dt.timedelta(seconds=2)
#: How the store may treat a call, from frequent to rare.
STORE_FATES: Final = (
    *('done', 'done', 'done', 'rejected', 'rejected', 'unanswered'),
    *('unanswered before an outage', 'unanswered before an outage', 'late'),
    *('lost', 'unsent', 'unsent'),
    *('failed', 'done and failed', 'unreadable', 'cut off', 'odd'),
)
#: How another entry may treat a call that it relays.
PEER_FATES: Final = ('done', 'done', 'unanswered', 'lost', 'unsent')
#: Fates with which the store carries out a call at once.
_EXECUTED: Final = frozenset(
    (
        *('done', 'done and failed', 'unreadable', 'cut off', 'unanswered'),
        'unanswered before an outage',
    )
)
#: Fates with which a call gets no response.
_SILENT: Final = frozenset(
    ('late', 'lost', 'unanswered', 'unanswered before an outage')
)
#: Statuses of responses that have no object.
_STATUSES: Final[_StatusesByFate] = MappingProxyType(
    {
        'rejected': (429, 503),
        'failed': (500, 502, 504),
        'done and failed': (500, 502, 504),
        # PROTOCOL gives none of these for a write of an entry.
        'odd': (301, 400, 404, 408, 410, 413),
    }
)
ENTRIES: Final = 3
_STORE: Final = at(9900)
_ADDRESSES: Final = tuple(at(9100 + number) for number in range(ENTRIES))
_SPEC: Final = JobSpec(
    JobId('j1'),
    'lab.example',
    '/roll/j1',
    ModelId('m'),
    WeightVersion(1),
    (),
)
#: Time after which every delayed call has been carried out.
_SETTLING_S: Final = 12


class FaultyNetwork:
    """Client of the store and of other entries; draws the fate of each call."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        #: The bodies of the stored objects, by kind and name.
        self.objects: dict[tuple[str, str], bytes] = {}
        self._rejects_until_s = float()
        self._direct = DirectCaller(self, _STORE)

    async def send(
        self, request: ClientRequest
    ) -> ClientResponse | ClientFailure:
        is_store = request.address == _STORE
        fate = self._rng.choice(STORE_FATES if is_store else PEER_FATES)
        loop = asyncio.get_running_loop()
        if is_store and loop.time() < self._rejects_until_s:
            fate = 'rejected'
        await asyncio.sleep(self._rng.choice((0.003, 0.05, 0.5)))
        if fate == 'unsent':
            return ClientFailure(sent=False, detail=fate, reused=True)
        if is_store:
            return self._call_store(request, fate)
        return await self._call_entry(request, fate)

    def _call_store(
        self, request: ClientRequest, fate: str
    ) -> ClientResponse | ClientFailure:
        loop = asyncio.get_running_loop()
        status, body = 0, b''
        if fate in _EXECUTED:
            status, body = self._do(request)
        if fate == 'late':
            loop.call_later(self._rng.uniform(0.1, 5), self._do, request)
        if fate == 'unanswered before an outage':
            self._rejects_until_s = loop.time() + self._rng.uniform(0.1, 4)
        if fate in _SILENT:
            return self._no_response()
        statuses = _STATUSES.get(fate)
        if statuses:
            return _response(self._rng.choice(statuses))
        if fate == 'unreadable':
            return _response(status, b'{')
        return _response(status, body, is_broken=fate == 'cut off')

    async def _call_entry(
        self, request: ClientRequest, fate: str
    ) -> ClientResponse | ClientFailure:
        if fate == 'lost':
            return self._no_response()
        assert isinstance(request.body, bytes)
        call = codec.decode_request(request.body)
        assert isinstance(call, StoreCall)
        reply = await relayed(self._direct, call)
        if fate == 'unanswered':
            return self._no_response()
        return _response(200, codec.encode(reply))

    def _no_response(self) -> ClientFailure:
        is_reused = self._rng.choice((True, False))
        return ClientFailure(sent=True, detail='reset', reused=is_reused)

    def _do(self, request: ClientRequest) -> tuple[int, bytes]:
        *_, kind, name = request.target.split('/')
        if request.method == 'GET':
            return HTTPStatus.OK, self.objects[kind, name]
        assert isinstance(request.body, bytes)
        body = json.loads(request.body)
        key = name, body['metadata']['name']
        known = self.objects.get(key)
        if known is not None:
            return HTTPStatus.CONFLICT, known
        body['metadata']['rev'] = len(self.objects) + 1
        self.objects[key] = json.dumps(body).encode()
        return HTTPStatus.CREATED, self.objects[key]

    async def probe(self, _: Address) -> Reachability:
        return Reachability.OPEN

    async def close(self) -> None:
        """Do nothing, since no connection is open."""

    def store_of(self, number: int) -> JobStore:
        """Return the access to the store that an entry has."""
        relay = PeerRelay(PeerClient(self))
        caller = RelayingCaller(
            DirectCaller(self, _STORE),
            relay,
            virtual_clock(),
            self._rng,
            SharingBounds(_DRAIN),
        )
        if self._rng.choice((True, False, False)):
            return JobStore(ObjectClient(caller))
        caller.directory = Directory.__new__(Directory)
        caller.directory.entries = {
            NodeId(f'e{other}'): EntryRecord(address)
            for other, address in enumerate(_ADDRESSES)
            if other != number
        }
        return JobStore(ObjectClient(caller))


def _response(
    status: int, body: bytes = b'', *, is_broken: bool = False
) -> ClientResponse:
    return ClientResponse(
        status=status, headers=Headers(), body=_pieces(body, is_broken)
    )


async def _pieces(body: bytes, is_broken: bool) -> AsyncIterator[bytes]:
    yield body
    if is_broken:
        raise BodyBrokenError('cut off')


class SubmissionResult:
    """What came of a submission: what the client is told, what is stored."""

    def __init__(
        self, told: Submitted | Outcome, objects: dict[Any, bytes]
    ) -> None:
        self.told = told
        self.is_stored = any(kind == JOB_KIND for kind, _ in objects)
        self.is_whole = self.is_stored and len(objects) > 1


def submit_with_faults(seed: int) -> SubmissionResult:
    """Submit a job at one entry; any call of the store may go wrong."""

    async def scene() -> SubmissionResult:
        network = FaultyNetwork(seed)
        record = JobRecord(NodeId('e0'), _ADDRESSES[0], 1, 0)
        told = await network.store_of(0).submit(_SPEC, record)
        await asyncio.sleep(_SETTLING_S)
        return SubmissionResult(told, network.objects)

    return run_virtual(scene())
