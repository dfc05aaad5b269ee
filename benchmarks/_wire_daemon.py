"""Figures of a whole sidecar, from its link to its upstream and back."""

from __future__ import annotations

import statistics
import time
from typing import TYPE_CHECKING, Final, cast

from benchmarks._wire_figures import Figure
from benchmarks._wire_links import KEY, dispatch, endpoint
from bergamotdoor.clock import LoopClock
from bergamotdoor.http.messages import (
    ClientRequest,
    ClientResponse,
    Headers,
)
from bergamotdoor.settings import document
from bergamotdoor.settings.codec import encode_configuration
from bergamotdoor.settings.process import (
    LinkSecurity,
    LinkTimes,
    PlatformSettings,
    SidecarSettings,
)
from bergamotdoor.sidecar.daemon import SidecarDaemon
from bergamotdoor.store.protocols import StoreFailure, StoreProblem
from bergamotdoor.types import (
    Generation,
    RegionId,
    RequestId,
    ServiceId,
    UpstreamId,
    UpstreamKind,
    VmId,
    ZoneId,
)
from bergamotdoor.wire import messages as wire
from bergamotdoor.wire.link import Link, dial

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

    from bergamotdoor.store.protocols import ObjectStore, StoredObject

_COUNT: Final = 3_000
_BATCH: Final = 8
_ANSWER: Final = bytes(1_024)
_OWN: Final = UpstreamId('reservations-1')
_SERVICE: Final = ServiceId('reservations')
_US_PER_SECOND: Final = 1_000_000


class _FixedUpstream:
    """Answers every request at once with the same body."""

    async def send(self, request: ClientRequest) -> ClientResponse:
        return ClientResponse(status=200, headers=Headers(), body=_body())

    async def close(self) -> None:
        """Have nothing to close."""


async def _body() -> AsyncIterator[bytes]:
    yield _ANSWER


class _NoStore:
    """A platform that is down."""

    async def read(self, kind: str, name: str) -> StoredObject | StoreFailure:
        return StoreFailure(StoreProblem.UNAVAILABLE)


def _settings() -> SidecarSettings:
    nowhere = document.Address(ip='127.0.0.1', port=1)
    return SidecarSettings(
        id=_OWN,
        service=_SERVICE,
        kind=UpstreamKind.SERVICE,
        zone=ZoneId('z'),
        listen=document.Address(ip='127.0.0.1', port=0),
        target=nowhere,
        platform=PlatformSettings(object_api=nowhere),
        security=LinkSecurity(shared_key=KEY),
    )


def _configuration(settings: SidecarSettings) -> wire.ConfigBody:
    upstream = document.Upstream(
        id=_OWN,
        vm=VmId('vm'),
        zone=settings.zone,
        sidecar=settings.listen,
        target=settings.target,
    )
    service = document.Service(
        id=_SERVICE, kind=UpstreamKind.SERVICE, upstreams=(upstream,)
    )
    region = document.Region(id=RegionId('r'), zones=(settings.zone,))
    made = encode_configuration(
        Generation(1),
        document.Document(
            inventory=document.Inventory(regions=(region,), services=(service,))
        ),
    )
    return wire.ConfigBody(made.generation, made.digest, made.body)


async def sidecar_figures() -> list[Figure]:
    """Measure requests over a real link to a sidecar, and back."""
    settings = _settings()
    daemon = SidecarDaemon(
        settings,
        LoopClock(),
        _FixedUpstream(),
        cast('ObjectStore', _NoStore()),
    )
    address = await daemon.start()
    own = endpoint('entry', wire.PeerRole.ENTRY, LinkTimes())
    link = await dial(address, wire.PeerRole.SIDECAR, own)
    assert isinstance(link, Link), link
    figures = await _requests(link, _configuration(settings))
    await link.close()
    await daemon.abort()
    return figures


async def _requests(link: Link, configuration: wire.ConfigBody) -> list[Figure]:
    await link.send(configuration)
    return [await _one_by_one(link), await _many_at_once(link)]


async def _one_by_one(link: Link) -> Figure:
    times_s = []
    incoming = link.messages()
    for request_id in _some_names('single'):
        begin = time.perf_counter()
        await link.send(dispatch(request_id))
        await _whole_answer(incoming)
        times_s.append(time.perf_counter() - begin)
        await link.send(wire.Forget(request_id))
    median_us = statistics.median(times_s) * _US_PER_SECOND
    return Figure('sidecar: one at a time, median time', median_us, 'us')


async def _many_at_once(link: Link) -> Figure:
    """Keep eight requests open, as the first limit of a service does."""
    incoming = link.messages()
    begin = time.process_time()
    names = list(_some_names('many'))
    for start in range(0, len(names), _BATCH):
        batch = names[start : start + _BATCH]
        for request_id in batch:
            await link.send(dispatch(request_id))
        for request_id in batch:
            await _whole_answer(incoming)
            await link.send(wire.Forget(request_id))
    cost_us = (time.process_time() - begin) / len(names) * _US_PER_SECOND
    return Figure('sidecar: both ends, processor time', cost_us, 'us')


def _some_names(prefix: str) -> Iterator[RequestId]:
    return (RequestId(f'{prefix}.{number}') for number in range(_COUNT))


async def _whole_answer(incoming: AsyncIterator[wire.AnyMessage]) -> None:
    async for message in incoming:
        assert not isinstance(message, wire.Refused), message
        if isinstance(message, wire.AnswerEnd):
            return
