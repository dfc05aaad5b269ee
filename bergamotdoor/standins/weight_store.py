"""A stand-in for the platform's rate-limited weight store."""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final, NamedTuple

import msgspec

from bergamotdoor.standins import _platform_http as http
from bergamotdoor.standins._platform_daemon import PlatformDaemon
from bergamotdoor.store.protocols import WeightRecord
from bergamotdoor.types import ServiceId, WeightVersion

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.http.messages import HttpRequest, HttpResponse
    from bergamotdoor.settings.document import Address
    from bergamotdoor.standins.platform_settings import WeightStoreSettings

_ROOT: Final = 'weights'
_RECORD_PARTS: Final = 3
_LOAD_PARTS: Final = 4
_LOAD: Final = 'load'
_CONFLICT: Final = 409
_MAX_BODY_BYTES: Final = 1024
_SECOND: Final = dt.timedelta(seconds=1)


class WeightKey(NamedTuple):
    """Where a version is kept."""

    service: ServiceId
    version: WeightVersion


class PublishBody(msgspec.Struct, frozen=True):
    """What was uploaded."""

    size_bytes: int


class WeightStoreStandin:
    """Publishes versions and serves them to engines at a rate.

    Parameters
    ----------
    clock
        Times the loads.
    bytes_per_second
        The rate of each load.
    max_loads
        More loads at once are refused, with when to come back.
    token
        The bearer token asked for; empty asks for none.
    """

    def __init__(
        self,
        clock: Clock,
        bytes_per_second: int,
        max_loads: int,
        token: str = '',
    ) -> None:
        self.loads = 0
        self.refused = 0
        #: Whether every call is refused.
        self.down = False
        self._clock = clock
        self._bytes_per_second = bytes_per_second
        self._max_loads = max_loads
        self._token = token
        self._records: dict[WeightKey, WeightRecord] = {}
        self._ends: list[dt.timedelta] = []

    def publish(
        self, service: ServiceId, version: WeightVersion, size_bytes: int
    ) -> bool:
        """Register a version; False if it is there with another size."""
        record = WeightRecord(service, version, size_bytes)
        key = WeightKey(service, version)
        return self._records.setdefault(key, record) == record

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        if not http.is_authorized(request, self._token):
            return http.refusal(http.UNAUTHORIZED, 'wrong bearer token')
        if self.down:
            return http.refuse_for(http.UNAVAILABLE, _SECOND)
        parts = http.parse_target(request.target).parts
        key = _key_of(parts)
        if key is None:
            return http.refusal(http.NOT_FOUND, f'no such path {parts}')
        if len(parts) == _LOAD_PARTS:
            return await self._load(key)
        if request.method == 'PUT':
            return await self._put(request, key)
        return self._described(key)

    def _described(self, key: WeightKey) -> HttpResponse:
        record = self._records.get(key)
        if record is None:
            where = f'{key.service}/{key.version}'
            return http.refusal(http.NOT_FOUND, f'no version {where}')
        return http.json_response(record)

    async def _put(self, request: HttpRequest, key: WeightKey) -> HttpResponse:
        body = await request.read_body(_MAX_BODY_BYTES)
        try:
            sent = msgspec.json.decode(body, type=PublishBody)
        except msgspec.DecodeError as error:
            return http.refusal(http.BAD_REQUEST, str(error))
        if not self.publish(key.service, key.version, sent.size_bytes):
            return http.refusal(_CONFLICT, 'published with another size')
        return self._described(key)

    async def _load(self, key: WeightKey) -> HttpResponse:
        record = self._records.get(key)
        if record is None:
            return self._described(key)
        if len(self._ends) >= self._max_loads:
            self.refused += 1
            wait = min(self._ends) - self._clock.elapsed()
            return http.refuse_for(http.TOO_MANY_REQUESTS, wait)
        duration = _SECOND * (record.size_bytes / self._bytes_per_second)
        end = self._clock.elapsed() + duration
        self._ends.append(end)
        try:
            await self._clock.sleep(duration)
        finally:
            self._ends.remove(end)
        self.loads += 1
        return http.json_response(record)


class WeightStoreDaemon(PlatformDaemon):
    """Runs the stand-in behind a server."""

    def __init__(
        self, listen: Address, standin: WeightStoreStandin, clock: Clock
    ) -> None:
        super().__init__(listen, standin.handle, clock)
        self.standin = standin

    @classmethod
    def from_config(
        cls, settings: WeightStoreSettings, clock: Clock
    ) -> WeightStoreDaemon:
        """Build from settings, with the versions they publish."""
        standin = WeightStoreStandin(
            clock,
            settings.bytes_per_second,
            settings.max_loads,
            settings.token,
        )
        for found in settings.weights:
            standin.publish(found.service, found.version, found.size_bytes)
        return cls(settings.listen, standin, clock)


def _key_of(parts: tuple[str, ...]) -> WeightKey | None:
    loads = len(parts) == _LOAD_PARTS and parts[-1] == _LOAD
    if parts[:1] != (_ROOT,) or not (loads or len(parts) == _RECORD_PARTS):
        return None
    service, version = parts[1:_RECORD_PARTS]
    if not version.isdecimal():
        return None
    return WeightKey(ServiceId(service), WeightVersion(int(version)))
