"""A stand-in for the platform's VM list."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor import utils
from bergamotdoor.standins import _platform_http as http
from bergamotdoor.standins._lagged import Lagged
from bergamotdoor.standins._platform_daemon import PlatformDaemon
from bergamotdoor.store.protocols import VmRecord, VmSnapshot, VmState
from bergamotdoor.types import VmId

if TYPE_CHECKING:
    import datetime as dt

    from bergamotdoor.clock import Clock
    from bergamotdoor.http.messages import HttpRequest, HttpResponse
    from bergamotdoor.settings.document import Address
    from bergamotdoor.standins.platform_settings import VmListSettings

_MAX_BODY_BYTES: Final = 1024
_LIST_PARTS: Final = ('vms',)
_VM_PARTS: Final = 2


class VmAnswer(msgspec.Struct, frozen=True):
    """The list as it goes over HTTP."""

    version: int
    vms: tuple[VmRecord, ...]


class VmChange(msgspec.Struct, frozen=True):
    """The body of a change."""

    state: VmState


class VmListStandin:
    """Serves a list that shows each change only after a lag.

    Besides ``GET /vms`` it takes ``PUT`` and ``DELETE`` of
    ``/vms/{vm}``, with which a demonstration lets VMs leave.
    """

    def __init__(
        self, clock: Clock, lag: dt.timedelta, token: str = ''
    ) -> None:
        self.calls = 0
        #: Whether every call is refused.
        self.down = False
        self._clock = clock
        self._token = token
        self._truth: dict[VmId, VmState] = {}
        self._version = 0
        self._published = Lagged(VmSnapshot(0, ()), lag)

    def change(self, vm: VmId, state: VmState | None) -> None:
        """Set a VM's state as of now; None removes it."""
        if state is None:
            self._truth.pop(vm, None)
        else:
            self._truth[vm] = state
        self._version += 1
        records = tuple(
            VmRecord(known, found) for known, found in self._truth.items()
        )
        snapshot = VmSnapshot(self._version, records)
        self._published.note(snapshot, self._clock.elapsed())

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        if not http.is_authorized(request, self._token):
            return http.refusal(http.UNAUTHORIZED, 'wrong bearer token')
        parts = http.parse_target(request.target).parts
        if parts[:1] != _LIST_PARTS or len(parts) > _VM_PARTS:
            return http.refusal(http.NOT_FOUND, f'no such path {parts}')
        if len(parts) == _VM_PARTS:
            return await self._change(request, VmId(parts[1]))
        if request.method != 'GET':
            return http.refusal(http.METHOD_NOT_ALLOWED, request.method)
        return self._list()

    def _list(self) -> HttpResponse:
        self.calls += 1
        if self.down:
            return http.refusal(http.UNAVAILABLE, 'the list is down')
        seen = self._published.seen(self._clock.elapsed())
        return http.json_response(VmAnswer(seen.version, seen.records))

    async def _change(self, request: HttpRequest, vm: VmId) -> HttpResponse:
        if request.method == 'DELETE':
            self.change(vm, None)
            return http.json_response(VmAnswer(self._version, ()))
        if request.method != 'PUT':
            return http.refusal(http.METHOD_NOT_ALLOWED, request.method)
        body = await request.read_body(_MAX_BODY_BYTES)
        try:
            change = msgspec.json.decode(body, type=VmChange)
        except msgspec.DecodeError as error:
            return http.refusal(http.BAD_REQUEST, str(error))
        self.change(vm, change.state)
        return http.json_response(VmAnswer(self._version, ()))


class VmListDaemon(PlatformDaemon):
    """Runs the stand-in behind a server."""

    def __init__(
        self, listen: Address, standin: VmListStandin, clock: Clock
    ) -> None:
        super().__init__(listen, standin.handle, clock)
        self.standin = standin

    @classmethod
    def from_config(
        cls, settings: VmListSettings, clock: Clock
    ) -> VmListDaemon:
        """Build from settings; its VMs are in the list after the lag."""
        lag = utils.from_ms(settings.lag_ms)
        standin = VmListStandin(clock, lag, settings.token)
        for record in settings.vms:
            standin.change(record.vm, record.state)
        return cls(settings.listen, standin, clock)
