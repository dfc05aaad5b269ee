"""Steps for entries of two releases that run side by side."""

from __future__ import annotations

import asyncio
import datetime as dt
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from behave import given, then

from bergamotdoor.http.messages import (
    ClientRequest,
    ClientResponse,
    Headers,
    Reachability,
)
from bergamotdoor.peers import codec
from bergamotdoor.peers.client import PeerClient
from bergamotdoor.peers.messages import StoreCall, StoreReply
from bergamotdoor.peers.relay import PeerRelay
from bergamotdoor.stored import Outcome
from lab.site import at

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class OlderEntry:
    """An entry whose release tells the rejection of its second attempt."""

    async def send(self, _: ClientRequest) -> ClientResponse:
        return ClientResponse(status=200, headers=Headers(), body=self._reply())

    async def probe(self, _: Any) -> Reachability:
        return Reachability.OPEN

    async def close(self) -> None:
        """Do nothing, since no connection is open."""

    async def _reply(self) -> AsyncIterator[bytes]:
        yield codec.encode(StoreReply(int(HTTPStatus.SERVICE_UNAVAILABLE), b''))


@given('an entry of an earlier release that makes a relayed call twice')
def older_entry(context: Any) -> None:
    context.relay = PeerRelay(PeerClient(OlderEntry()))


@then("it is not known whether the older entry's call took effect")
def older_reply_proves_nothing(context: Any) -> None:
    call = StoreCall('POST', '/-/objects/jobs', b'{}', 1000)
    timeout = dt.timedelta(seconds=1)
    found = asyncio.run(context.relay.call(at(9000), call, timeout))
    assert found is Outcome.UNCLEAR, found
