"""Callers that send plain requests and check the responses."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING, Final, NamedTuple

from bergamotdoor.clock import LoopClock
from bergamotdoor.platform.headers import REQUEST_ID
from lab.client import Call, Reply
from lab.deployment import SAFE_PATH, UNSAFE_PATH, new_client
from lab.manifest_probes import ManifestProbes
from lab.promises import Promise, Promises

if TYPE_CHECKING:
    import random

    from lab.deployment import Deployment
    from lab.processes import ProductProcess

_CALL_PAUSE_S: Final = 0.05
#: The share of calls that are not idempotent.
_UNSAFE_SHARE: Final = 0.4


class SentCall(NamedTuple):
    """The entry that got a call, and when it was sent."""

    entry: str
    at_s: float


class Callers:
    """Callers of all entries; each entry gets one call at a time.

    Parameters
    ----------
    deployment
        The deployment with the entries, and with the services, which record
        the requests that they ran.
    promises
        The collector of checks.
    rng
        The random source for the kinds of calls.
    """

    def __init__(
        self, deployment: Deployment, promises: Promises, rng: random.Random
    ) -> None:
        self._deployment = deployment
        self._promises = promises
        self._rng = rng
        self._client = new_client()
        self._probes = ManifestProbes(deployment, promises, LoopClock())
        self._sent_count = 0
        #: All calls, by the id of the request.
        self.sent: dict[str, SentCall] = {}
        #: Requests that were refused with the statement that they did not
        #: run.
        self._refused_requests: set[str] = set()
        #: Requests that may run at most once.
        self._unsafe_requests: set[str] = set()
        #: The number of responses with status 200.
        self.answered = 0

    async def run(self) -> None:
        """Send calls until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._probes.run())
            for entry in self._deployment.entries:
                group.create_task(self._call_repeatedly(entry))

    async def close(self) -> None:
        """Close the connections and check which requests ran."""
        await self._client.close()
        await self._probes.close()
        ran: dict[str, int] = {}
        for service in self._deployment.services:
            for seen_request in service.seen:
                ran[seen_request.request] = ran.get(seen_request.request, 0) + 1
        for request in self._refused_requests:
            self._promises.check(
                Promise.REFUSED, request not in ran, f'{request} ran'
            )
        for request in self._unsafe_requests:
            times = ran.get(request, 0)
            self._promises.check(
                Promise.ONCE, times <= 1, f'{request} ran {times} times'
            )

    async def _call_repeatedly(self, entry: ProductProcess) -> None:
        while True:
            if entry.running:
                await self._send_call(entry)
            await asyncio.sleep(_CALL_PAUSE_S)

    async def _send_call(self, entry: ProductProcess) -> None:
        self._sent_count += 1
        request = f'call-{self._sent_count}'
        unsafe = self._rng.random() < _UNSAFE_SHARE
        prefix = UNSAFE_PATH if unsafe else SAFE_PATH
        path = f'{prefix}{request}'
        if unsafe:
            self._unsafe_requests.add(request)
        call = Call('POST', path, request.encode(), ((REQUEST_ID, request),))
        now_s = asyncio.get_running_loop().time()
        self.sent[request] = SentCall(entry.name, now_s)
        reply = await self._client.send(entry.front, call)
        if reply is not None:
            self._check_reply(request, path, reply)

    def _check_reply(self, request: str, path: str, reply: Reply) -> None:
        if reply.status == HTTPStatus.OK:
            self.answered += 1
            own = f' ran {path} {len(request)}'.encode()
            echoed = reply.headers.first(REQUEST_ID) == request
            whole = reply.body.endswith(own) and echoed
            self._promises.check(
                Promise.WHOLE, whole, f'{request}: {reply.body!r}'
            )
        elif reply.status == HTTPStatus.SERVICE_UNAVAILABLE:
            self._refused_requests.add(request)
