"""A request that ends each service that runs it, and comes again.

Failure: it is sent on and on, by entries that were killed, paused or cut off
meanwhile. Symptom: a service is lost to all callers, over and over.
"""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING, Final

from bergamotdoor.platform.headers import REQUEST_ID
from lab.client import Call, Client
from lab.deployment import SAFE_PATH, new_client
from lab.promises import Promise

if TYPE_CHECKING:
    import random

    from lab.deployment import Deployment
    from lab.processes import ProductProcess
    from lab.promises import Promises
    from lab.upstreams import Seen, Upstream

#: How often the request comes, and the pauses in between.
_ARRIVALS: Final = 10
_PAUSES_S: Final = (0.1, 0.6, 1.2)
#: How long a service is away.
_DOWN_S: Final = (0.5, 1.5)
#: So many services may end under a request, and it may reach others so
#: often afterwards.
_FREE_ENDS: Final = 3
_MOST_RETRIES: Final = 3


class CrashFaults:
    """Sends requests under which services end, and counts whom they reach."""

    def __init__(
        self,
        deployment: Deployment,
        promises: Promises,
        rng: random.Random,
    ) -> None:
        self._deployment = deployment
        self._promises = promises
        self._rng = rng
        self._requests = 0

    async def send(self) -> None:
        """Send one such request again and again, to any entry."""
        self._requests += 1
        target = f'{SAFE_PATH}ends-{self._requests}'
        for service in self._deployment.services:
            self._prepare(service, target)
        client = new_client()
        for number in range(_ARRIVALS):
            entry = self._rng.choice(self._deployment.entries)
            if entry.running:
                await _arrive(client, entry, target, number)
            await asyncio.sleep(self._rng.choice(_PAUSES_S))
        await client.close()
        self._check(target)

    def _prepare(self, service: Upstream, target: str) -> None:
        crashes = service.crashes
        crashes.targets.add(target)
        crashes.down_s = self._rng.uniform(*_DOWN_S)
        # Nobody listens at its address, which is that of its proxy.
        crashes.ended = functools.partial(self._refuse, service)
        crashes.started_again = functools.partial(self._accept, service)

    def _refuse(self, service: Upstream) -> None:
        self._deployment.ways['', service.name].refuse()

    def _accept(self, service: Upstream) -> None:
        self._deployment.ways['', service.name].accept_again()

    def _check(self, target: str) -> None:
        seen = sorted(
            (
                one
                for service in self._deployment.services
                for one in service.seen
                if one.target == target
            ),
            key=_at,
        )
        late = {one.request for one in seen[_FREE_ENDS:]}
        self._promises.check(
            Promise.SPARED,
            len(late) <= _MOST_RETRIES,
            f'{target}: {len(seen)} ended, {len(late)} later attempts',
        )


def _at(seen: Seen) -> float:
    return seen.at_s


async def _arrive(
    client: Client, entry: ProductProcess, target: str, number: int
) -> None:
    request = f'{target}-{number}'
    call = Call('POST', target, b'x', ((REQUEST_ID, request),))
    await client.send(entry.front, call)
