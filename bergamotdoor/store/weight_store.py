"""The weight store over HTTP."""

from __future__ import annotations

import random
from http import HTTPStatus
from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec

from bergamotdoor import utils
from bergamotdoor.store.attempts import (
    Answer,
    Attempt,
    CallKind,
    Doubt,
    PlatformCall,
)
from bergamotdoor.store.calls import PlatformCalls
from bergamotdoor.store.guard import CallGuard
from bergamotdoor.store.object_calls import unavailable
from bergamotdoor.store.protocols import (
    StoreFailure,
    StoreProblem,
    WeightRecord,
)
from bergamotdoor.store.retries import Attempts

if TYPE_CHECKING:
    import datetime as dt

    from bergamotdoor.clock import Clock
    from bergamotdoor.http.messages import Client
    from bergamotdoor.settings.process import PlatformSettings
    from bergamotdoor.types import ServiceId, WeightVersion


class PublishRequest(msgspec.Struct, frozen=True):
    """What a trainer has uploaded."""

    size_bytes: int


class HttpWeightStore:
    """Implements ``WeightStore``.

    Both calls are idempotent: a version's weights never change, and the
    same size published twice is the same publication.
    """

    def __init__(
        self, calls: PlatformCalls, timeout: dt.timedelta, rng: random.Random
    ) -> None:
        self._calls = calls
        self._timeout = timeout
        self._rng = rng

    @classmethod
    def from_config(
        cls,
        settings: PlatformSettings,
        client: Client,
        clock: Clock,
        rng: random.Random | None = None,
        guard: CallGuard | None = None,
    ) -> HttpWeightStore:
        """Build from settings.

        Raises
        ------
        ValueError
            If the settings name no weight store.
        """
        if settings.weight_store is None:
            raise ValueError('platform.weight_store: None, expected an address')
        chance = rng or random.Random()
        shared = guard or CallGuard(chance)
        calls = PlatformCalls.from_config(
            settings.weight_store, settings, client, clock, shared
        )
        return cls(calls, utils.from_ms(settings.timeout_ms), chance)

    async def describe(
        self, service: ServiceId, version: WeightVersion
    ) -> WeightRecord | StoreFailure:
        """Return the version's record, if it is there whole."""
        call = PlatformCall(
            kind=CallKind.WEIGHTS,
            method='GET',
            target=_target(service, version),
        )
        return _record(call.target, await self._make(call))

    async def publish(
        self, service: ServiceId, version: WeightVersion, size_bytes: int
    ) -> WeightRecord | StoreFailure:
        """Register a version that a trainer has uploaded.

        CONFLICT: the version is published with another size. UNKNOWN: no
        answer came; the same call may be made again.
        """
        call = PlatformCall(
            kind=CallKind.WEIGHTS,
            method='PUT',
            target=_target(service, version),
            body=msgspec.json.encode(PublishRequest(size_bytes)),
        )
        attempt = await self._make(call)
        if isinstance(attempt, Doubt):
            return StoreFailure(StoreProblem.UNKNOWN, attempt.detail)
        return _record(call.target, attempt)

    async def _make(self, call: PlatformCall) -> Attempt:
        attempts = Attempts(self._calls, self._rng, self._timeout)
        return await attempts.until_answered(call)


def _target(service: ServiceId, version: WeightVersion) -> str:
    return f'/weights/{quote(service, safe="")}/{version}'


def _record(where: str, attempt: Attempt) -> WeightRecord | StoreFailure:
    if not isinstance(attempt, Answer):
        return unavailable(where, attempt)
    if attempt.status == HTTPStatus.NOT_FOUND:
        return StoreFailure(StoreProblem.NOT_FOUND, where)
    if attempt.status == HTTPStatus.CONFLICT:
        return StoreFailure(StoreProblem.CONFLICT, where)
    if attempt.status != HTTPStatus.OK:
        return unavailable(where, attempt)
    try:
        return msgspec.json.decode(attempt.body, type=WeightRecord)
    except msgspec.DecodeError as error:
        return StoreFailure(StoreProblem.UNAVAILABLE, f'{where}: {error}')
