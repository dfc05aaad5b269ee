"""Makes calls to the platform, each once, under the process's guard."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from bergamotdoor import utils
from bergamotdoor.http.messages import (
    BodyBrokenError,
    BodyTooLargeError,
    ClientFailure,
    ClientRequest,
    ClientResponse,
    Headers,
)
from bergamotdoor.store.attempts import (
    Answer,
    Attempt,
    Doubt,
    PlatformCall,
    Refusal,
)

if TYPE_CHECKING:
    import datetime as dt

    from bergamotdoor.clock import Clock
    from bergamotdoor.http.messages import Client
    from bergamotdoor.settings.document import Address
    from bergamotdoor.settings.process import PlatformSettings
    from bergamotdoor.store.guard import CallGuard

RETRY_AFTER_HEADER: Final = 'retry-after-ms'
#: The largest answer read; a list of names may be above one value's size.
_MAX_ANSWER_BYTES: Final = 16_777_216


class PlatformCalls:
    """Makes single attempts at one of the platform's services.

    Parameters
    ----------
    address
        Where the service listens.
    token
        The bearer token; empty sends none.
    client
        Sends requests and does not retry on its own.
    clock
        Times the guard.
    guard
        Shared by all services of the platform in this process.
    """

    def __init__(
        self,
        address: Address,
        token: str,
        client: Client,
        clock: Clock,
        guard: CallGuard,
    ) -> None:
        self.clock = clock
        self.guard = guard
        self._address = address
        self._token = token
        self._client = client

    @classmethod
    def from_config(
        cls,
        address: Address,
        settings: PlatformSettings,
        client: Client,
        clock: Clock,
        guard: CallGuard,
    ) -> PlatformCalls:
        """Build for one of the services that the settings name."""
        return cls(address, settings.token, client, clock, guard)

    async def attempt(
        self, call: PlatformCall, timeout: dt.timedelta, repeated: bool
    ) -> Attempt:
        """Make one attempt.

        Parameters
        ----------
        call
            What to send.
        timeout
            Bounds the whole exchange.
        repeated
            A repeat goes out on a new connection: the pooled one may
            have gone silent for good, as all others of its age.
        """
        held_back = self.guard.enter(call.kind, self.clock.elapsed())
        if held_back is not None:
            return held_back
        try:
            attempt = await self._exchange(call, timeout, repeated)
        finally:
            self.guard.leave(call.kind)
        self._note(attempt)
        return attempt

    async def _exchange(
        self, call: PlatformCall, timeout: dt.timedelta, repeated: bool
    ) -> Attempt:
        request = self._request(call, timeout, repeated)
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await self._send(request)
        except TimeoutError:
            waited_ms = utils.to_ms(timeout)
            return Doubt(f'{self._address}: no answer in {waited_ms} ms')
        except (BodyBrokenError, BodyTooLargeError) as error:
            return Doubt(f'{self._address}: {error}')

    async def _send(self, request: ClientRequest) -> Attempt:
        response = await self._client.send(request)
        if isinstance(response, ClientFailure):
            if response.sent:
                return Doubt(response.detail)
            return Refusal(response.detail)
        try:
            body = await response.read_body(_MAX_ANSWER_BYTES)
        finally:
            await _close(response)
        return _judge(response, body)

    def _request(
        self, call: PlatformCall, timeout: dt.timedelta, repeated: bool
    ) -> ClientRequest:
        headers = call.headers
        if self._token:
            bearer = ('authorization', f'Bearer {self._token}')
            headers = headers.plus(bearer)
        return ClientRequest(
            address=self._address,
            method=call.method,
            target=call.target,
            headers=headers,
            body=call.body,
            timeout=timeout,
            idempotent=not repeated,
        )

    def _note(self, attempt: Attempt) -> None:
        # A refusal for its rate shows that the platform is up.
        limited = isinstance(attempt, Refusal) and attempt.retry_after
        if isinstance(attempt, Answer) or limited:
            self.guard.worked()
        else:
            self.guard.failed(self.clock.elapsed())


async def _close(response: ClientResponse) -> None:
    # A body that is too large still holds its connection.
    if isinstance(response.body, AsyncGenerator):
        await response.body.aclose()


def _judge(response: ClientResponse, body: bytes) -> Attempt:
    """Tell a refusal, which had no effect, from an unclear failure.

    By the platform's protocol 429 and 503 with ``retry-after-ms`` mean
    that the call was not taken up. Any other 5xx may come from something
    in between that gave up waiting, while the call went on.
    """
    status = response.status
    wait_text = response.headers.first(RETRY_AFTER_HEADER)
    if status == HTTPStatus.TOO_MANY_REQUESTS:
        return Refusal('the platform is at its rate', _wait(wait_text))
    if status == HTTPStatus.SERVICE_UNAVAILABLE and wait_text:
        return Refusal('the platform is unavailable')
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return Doubt(f'the platform answered {status}')
    return Answer(status, Headers(response.headers), body)


def _wait(wait_text: str) -> dt.timedelta:
    wait_ms = int(wait_text) if wait_text.isdecimal() else 0
    return utils.from_ms(max(wait_ms, 1))
