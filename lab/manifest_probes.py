"""Requests that show which manifest is in force at each entry."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from bergamotdoor.platform.headers import REQUEST_ID
from lab.client import Call, Client
from lab.manifests import KEPT_ROUTES, added_path
from lab.promises import Promise, Promises
from lab.wire import HOST

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from lab.judged import Judged, JudgedEntry

_PROBE_INTERVAL_S: Final = 0.1


class ManifestProbes:
    """Sends requests on routes that were just added or dropped.

    Parameters
    ----------
    deployment
        The deployment with the entries.
    promises
        The collector of checks.
    clock
        The clock that measures timeouts.
    """

    def __init__(
        self, deployment: Judged, promises: Promises, clock: Clock
    ) -> None:
        self._deployment = deployment
        self._promises = promises
        self._client = Client(clock, HOST)
        self._sent_count = 0

    async def run(self) -> None:
        """Probe all entries until cancelled."""
        async with asyncio.TaskGroup() as group:
            for entry in self._deployment.entries:
                group.create_task(self._probe_repeatedly(entry))

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    async def _probe_repeatedly(self, entry: JudgedEntry) -> None:
        while True:
            if entry.running:
                await self._probe(entry)
            await asyncio.sleep(_PROBE_INTERVAL_S)

    async def _probe(self, entry: JudgedEntry) -> None:
        """Ask for the newest route that must be there, or the last dropped.

        A 404 shows an older manifest in the first case, and a success in the
        second one.
        """
        sent_s = asyncio.get_running_loop().time()
        contact = self._deployment.contact
        due = self._deployment.manifests.oldest_allowed(
            sent_s - contact.margin_s
        )
        if due is None:
            return
        self._sent_count += 1
        asked, wrong = due.generation, HTTPStatus.NOT_FOUND
        if self._sent_count % 2:
            asked, wrong = due.generation - KEPT_ROUTES, HTTPStatus.OK
        call = self._new_call(asked)
        reply = await self._client.send(entry.front, call)
        now_s = asyncio.get_running_loop().time()
        if reply is None or not contact.in_touch(entry.name, sent_s, now_s):
            return
        age_s = sent_s - due.at_s
        detail = (
            f'{entry.name}: {reply.status} for {call.path}',
            f'{age_s:.2f} s after manifest {due.generation}',
        )
        self._promises.check(
            Promise.CURRENT, reply.status != wrong, ', '.join(detail)
        )

    def _new_call(self, generation: int) -> Call:
        request = f'probe-{self._sent_count}'
        return Call(
            'GET',
            f'{added_path(generation)}{request}',
            headers=((REQUEST_ID, request),),
        )
