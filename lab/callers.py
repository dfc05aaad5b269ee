"""Callers that send plain requests and check what they get."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from bergamotdoor.platform.headers import REQUEST_ID
from lab.client import Call, Reply
from lab.deployment import SAFE_PATH, UNSAFE_PATH, new_client
from lab.promises import Promise, Promises

if TYPE_CHECKING:
    import random

    from lab.deployment import Deployment
    from lab.processes import ProductProcess

_PAUSE_S: Final = 0.05
#: One call in so many is unsafe.
_UNSAFE_SHARE: Final = 0.4


class Callers:
    """Sends calls to all entries, one after another on each.

    Parameters
    ----------
    deployment
        Where the entries are, and what ran.
    promises
        Takes what was seen.
    rng
        Draws the kinds of calls.
    """

    def __init__(
        self, deployment: Deployment, promises: Promises, rng: random.Random
    ) -> None:
        self._deployment = deployment
        self._promises = promises
        self._rng = rng
        self._client = new_client()
        self._sent = 0
        #: Requests that were refused as not run.
        self._refused: set[str] = set()
        #: Requests that may run once.
        self._unsafe: set[str] = set()
        self.answered = 0

    async def run(self) -> None:
        """Call until cancelled."""
        async with asyncio.TaskGroup() as group:
            for entry in self._deployment.entries:
                group.create_task(self._call_often(entry))

    async def close(self) -> None:
        """Close the connections and check what ran."""
        await self._client.close()
        ran: dict[str, int] = {}
        for service in self._deployment.services:
            for seen in service.seen:
                ran[seen.request] = ran.get(seen.request, 0) + 1
        for request in self._refused:
            self._promises.check(
                Promise.REFUSED, request not in ran, f'{request} ran'
            )
        for request in self._unsafe:
            times = ran.get(request, 0)
            self._promises.check(
                Promise.ONCE, times <= 1, f'{request} ran {times} times'
            )

    async def _call_often(self, entry: ProductProcess) -> None:
        while True:
            if entry.running:
                await self._call(entry)
            await asyncio.sleep(_PAUSE_S)

    async def _call(self, entry: ProductProcess) -> None:
        self._sent += 1
        request = f'call-{self._sent}'
        unsafe = self._rng.random() < _UNSAFE_SHARE
        prefix = UNSAFE_PATH if unsafe else SAFE_PATH
        path = f'{prefix}{request}'
        if unsafe:
            self._unsafe.add(request)
        call = Call('POST', path, request.encode(), ((REQUEST_ID, request),))
        reply = await self._client.send(entry.front, call)
        if reply is not None:
            self._take(request, path, reply)

    def _take(self, request: str, path: str, reply: Reply) -> None:
        if reply.status == HTTPStatus.OK:
            self.answered += 1
            own = f' ran {path} {len(request)}'.encode()
            echoed = reply.headers.first(REQUEST_ID) == request
            whole = reply.body.endswith(own) and echoed
            self._promises.check(
                Promise.WHOLE, whole, f'{request}: {reply.body!r}'
            )
        elif reply.status == HTTPStatus.SERVICE_UNAVAILABLE:
            self._refused.add(request)
