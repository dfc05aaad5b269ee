"""The object API over HTTP."""

from __future__ import annotations

import random
import uuid
from typing import TYPE_CHECKING, Final

from bergamotdoor import utils
from bergamotdoor.store import object_calls
from bergamotdoor.store.calls import PlatformCalls
from bergamotdoor.store.guard import CallGuard, GuardState
from bergamotdoor.store.measures import StoreMeasures
from bergamotdoor.store.pending_write import NextStep, PendingWrite
from bergamotdoor.store.retries import Attempts

if TYPE_CHECKING:
    import datetime as dt

    from bergamotdoor.clock import Clock
    from bergamotdoor.http.messages import Client
    from bergamotdoor.observe.metrics import Metrics
    from bergamotdoor.settings.process import PlatformSettings
    from bergamotdoor.store.attempts import Attempt, PlatformCall
    from bergamotdoor.store.pending_write import Decision
    from bergamotdoor.store.protocols import StoredObject, StoreFailure
    from bergamotdoor.types import ObjectVersion

#: The largest value that the platform keeps.
MAX_VALUE_BYTES: Final = 1_048_576


class HttpObjectStore:
    """Implements ``ObjectStore`` on the platform's object API.

    Parameters
    ----------
    calls
        Makes single attempts.
    timeout
        Bounds each operation as a whole, repeats and reading back
        included; a watch has its own.
    rng
        Draws pauses. Nonces never come from it: two processes with the
        same seed would take each other's writes for their own.
    metrics
        Gets the latency of each operation as ``Stage.STORE`` and counts
        each ``StoreProblem``; watches are left out.
    """

    def __init__(
        self,
        calls: PlatformCalls,
        timeout: dt.timedelta,
        rng: random.Random,
        metrics: Metrics | None = None,
    ) -> None:
        self._calls = calls
        self._timeout = timeout
        self._rng = rng
        self._measures = StoreMeasures(calls.clock, metrics)

    @classmethod
    def from_config(
        cls,
        settings: PlatformSettings,
        client: Client,
        clock: Clock,
        rng: random.Random | None = None,
        guard: CallGuard | None = None,
        metrics: Metrics | None = None,
    ) -> HttpObjectStore:
        """Build from settings.

        Parameters
        ----------
        settings
            Address, token and timeout.
        client, clock
            What calls go through and are timed by.
        rng
            For pauses; None seeds one from the machine.
        guard
            The process's guard; None makes one for this store alone.
        metrics
            Where latencies and problems are noted.
        """
        chance = rng or random.Random()
        shared = guard or CallGuard(chance)
        calls = PlatformCalls.from_config(
            settings.object_api, settings, client, clock, shared
        )
        return cls(calls, utils.from_ms(settings.timeout_ms), chance, metrics)

    def dump(self) -> GuardState:
        """Return the calls made so far and whether they are held back."""
        return self._calls.guard.state

    async def read(self, kind: str, name: str) -> StoredObject | StoreFailure:
        """Return the object as it is now."""
        began = self._measures.begin()
        attempt = await self._read(object_calls.read_call(kind, name))
        return self._measures.noted(
            began, object_calls.stored(kind, name, attempt)
        )

    async def write(
        self,
        kind: str,
        name: str,
        body: bytes,
        expected: ObjectVersion,
    ) -> StoredObject | StoreFailure:
        """Write if the version is still `expected`; ABSENT creates.

        CONFLICT and UNAVAILABLE are certain: nothing was written, and
        nothing will be. Everything else without a result is UNKNOWN; the
        write may then have landed, or may land later.

        Raises
        ------
        ValueError
            If `body` is above the platform's 1 MiB.
        """
        if len(body) > MAX_VALUE_BYTES:
            raise ValueError(
                f'{kind}/{name}: {len(body)} bytes, '
                f'expected at most {MAX_VALUE_BYTES}'
            )
        return await self._settle(
            object_calls.WriteOrder(
                kind, name, body, expected, uuid.uuid4().hex
            )
        )

    async def delete(
        self, kind: str, name: str, expected: ObjectVersion
    ) -> StoredObject | StoreFailure:
        """Delete if the version is still `expected`.

        Returns the version without its body. A delete leaves no nonce,
        so after a lost answer an absent object is reported as UNKNOWN.
        """
        return await self._settle(
            object_calls.WriteOrder(
                kind, name, None, expected, uuid.uuid4().hex
            )
        )

    async def names(
        self, kind: str, prefix: str = ''
    ) -> tuple[str, ...] | StoreFailure:
        """Return the sorted names of a kind that start with `prefix`."""
        began = self._measures.begin()
        attempt = await self._read(object_calls.names_call(kind, prefix))
        return self._measures.noted(began, object_calls.names_of(kind, attempt))

    async def watch(
        self,
        kind: str,
        name: str,
        above: ObjectVersion,
        timeout: dt.timedelta,
    ) -> StoredObject | StoreFailure:
        """Wait until the object's version is above `above`.

        Makes one call, which the platform counts as any other, and no
        repeat: whoever watches calls again anyway, and paces it.
        """
        call = object_calls.watch_call(kind, name, above, timeout)
        # A new connection: a watch looks the same on a dead one.
        attempt = await self._calls.attempt(
            call, timeout + self._timeout, repeated=True
        )
        return object_calls.stored(kind, name, attempt)

    async def _read(self, call: PlatformCall) -> Attempt:
        attempts = Attempts(self._calls, self._rng, self._timeout)
        return await attempts.until_answered(call)

    async def _settle(
        self, order: object_calls.WriteOrder
    ) -> StoredObject | StoreFailure:
        began = self._measures.begin()
        return self._measures.noted(began, await self._decide(order))

    async def _decide(
        self, order: object_calls.WriteOrder
    ) -> StoredObject | StoreFailure:
        attempts = Attempts(self._calls, self._rng, self._timeout)
        pending = PendingWrite(order)
        decision: Decision = NextStep.SEND
        while isinstance(decision, NextStep):
            if not await attempts.may_go_on():
                return pending.timed_out()
            if decision is NextStep.SEND:
                sent = await attempts.make(object_calls.write_call(order))
                decision = pending.answered(sent)
            else:
                call = object_calls.read_call(order.kind, order.name)
                decision = pending.read_back(await attempts.make(call))
        return decision
