"""The VM list over HTTP."""

from __future__ import annotations

import random
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor import utils
from bergamotdoor.store.attempts import Answer, CallKind, PlatformCall
from bergamotdoor.store.calls import PlatformCalls
from bergamotdoor.store.guard import CallGuard
from bergamotdoor.store.object_calls import unavailable
from bergamotdoor.store.protocols import (
    StoreFailure,
    StoreProblem,
    VmRecord,
    VmSnapshot,
)

if TYPE_CHECKING:
    import datetime as dt

    from bergamotdoor.clock import Clock
    from bergamotdoor.http.messages import Client
    from bergamotdoor.settings.process import PlatformSettings


#: So many older lists in a row are no reordering.
_OLDER_TAKEN: Final = 5


class VmListAnswer(msgspec.Struct, frozen=True):
    """The list as the platform sends it."""

    version: int
    vms: tuple[VmRecord, ...]


class HttpVmList:
    """Implements ``VmList``.

    The list lags and is asked for again soon, so a failed call is not
    repeated. Answers may come out of order from different replicas: a
    list older than the last one is reported as NO_CHANGE, else a VM that
    is leaving would come back for a moment. Several such in a row mean
    that the platform counts anew, and the list is taken.
    """

    def __init__(self, calls: PlatformCalls, timeout: dt.timedelta) -> None:
        self._calls = calls
        self._timeout = timeout
        self._highest = 0
        self._older_in_row = 0

    @classmethod
    def from_config(
        cls,
        settings: PlatformSettings,
        client: Client,
        clock: Clock,
        rng: random.Random | None = None,
        guard: CallGuard | None = None,
    ) -> HttpVmList:
        """Build from settings.

        Raises
        ------
        ValueError
            If the settings name no VM list.
        """
        if settings.vm_list is None:
            raise ValueError('platform.vm_list: None, expected an address')
        shared = guard or CallGuard(rng or random.Random())
        calls = PlatformCalls.from_config(
            settings.vm_list, settings, client, clock, shared
        )
        return cls(calls, utils.from_ms(settings.timeout_ms))

    async def fetch(self) -> VmSnapshot | StoreFailure:
        """Return the newest list."""
        call = PlatformCall(kind=CallKind.VM_LIST, method='GET', target='/vms')
        attempt = await self._calls.attempt(call, self._timeout, repeated=False)
        if not isinstance(attempt, Answer) or attempt.status != HTTPStatus.OK:
            return unavailable('vms', attempt)
        try:
            answer = msgspec.json.decode(attempt.body, type=VmListAnswer)
        except msgspec.DecodeError as error:
            return StoreFailure(StoreProblem.UNAVAILABLE, f'vms: {error}')
        return self._newest(answer)

    def _newest(self, answer: VmListAnswer) -> VmSnapshot | StoreFailure:
        self._older_in_row += 1
        if answer.version >= self._highest:
            self._older_in_row = 0
        if 0 < self._older_in_row < _OLDER_TAKEN:
            return StoreFailure(
                StoreProblem.NO_CHANGE,
                f'vms: version {answer.version} is below {self._highest}',
            )
        self._older_in_row = 0
        self._highest = answer.version
        return VmSnapshot(answer.version, answer.vms)
