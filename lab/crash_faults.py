"""A request that crashes each service that runs it and is sent repeatedly.

Failure: entries forward it again and again, because they were killed, paused
or cut off in the meantime. Symptom: all callers lose a service repeatedly.
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

#: How often the request is sent, and the pauses in between.
_SEND_COUNT: Final = 10
_SEND_PAUSES_S: Final = (0.1, 0.6, 1.2)
#: Range of the time that a crashed service is down.
_DOWNTIME_RANGE_S: Final = (0.5, 1.5)
#: How many crashes of services a request may cause before it is held back,
#: and how many more requests may reach a service afterwards.
_ALLOWED_CRASHES: Final = 3
_MAX_LATER_REQUESTS: Final = 3


class CrashFaults:
    """Requests that crash services, with a check of how many they reach."""

    def __init__(
        self,
        deployment: Deployment,
        promises: Promises,
        rng: random.Random,
    ) -> None:
        self._deployment = deployment
        self._promises = promises
        self._rng = rng
        self._target_count = 0

    async def send(self) -> None:
        """Repeatedly send one new crashing request, each time to any entry."""
        self._target_count += 1
        target = f'{SAFE_PATH}ends-{self._target_count}'
        for service in self._deployment.services:
            self._crash_service_on(service, target)
        client = new_client()
        for number in range(_SEND_COUNT):
            entry = self._rng.choice(self._deployment.entries)
            if entry.running:
                await _send_request(client, entry, target, number)
            await asyncio.sleep(self._rng.choice(_SEND_PAUSES_S))
        await client.close()
        self._check_spared(target)

    def _crash_service_on(self, service: Upstream, target: str) -> None:
        crashes = service.crashes
        crashes.targets.add(target)
        crashes.down_s = self._rng.uniform(*_DOWNTIME_RANGE_S)
        # A crashed service refuses connections. Its proxy does that for it,
        # since the service is registered with the address of the proxy.
        crashes.ended = functools.partial(self._stop_listening, service)
        crashes.started_again = functools.partial(self._listen_again, service)

    def _stop_listening(self, service: Upstream) -> None:
        self._deployment.ways['', service.name].refuse()

    def _listen_again(self, service: Upstream) -> None:
        self._deployment.ways['', service.name].accept_again()

    def _check_spared(self, target: str) -> None:
        received = sorted(
            (
                seen_request
                for service in self._deployment.services
                for seen_request in service.seen
                if seen_request.target == target
            ),
            key=_receive_time_s,
        )
        later_ids = {
            seen_request.request for seen_request in received[_ALLOWED_CRASHES:]
        }
        self._promises.check(
            Promise.SPARED,
            len(later_ids) <= _MAX_LATER_REQUESTS,
            f'{target}: {len(received)} ended, {len(later_ids)} later attempts',
        )


def _receive_time_s(seen_request: Seen) -> float:
    return seen_request.at_s


async def _send_request(
    client: Client, entry: ProductProcess, target: str, number: int
) -> None:
    request = f'{target}-{number}'
    call = Call('POST', target, b'x', ((REQUEST_ID, request),))
    await client.send(entry.front, call)
