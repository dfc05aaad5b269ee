"""Steps for bergamotdoor.peers.relay."""

from __future__ import annotations

import asyncio
import datetime as dt
import random
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final

from behave import given, then, when

from bergamotdoor.http.messages import (
    ClientFailure,
    ClientRequest,
    ClientResponse,
    Headers,
    Reachability,
)
from bergamotdoor.objects.client import Answer
from bergamotdoor.peers import codec
from bergamotdoor.peers.client import PeerClient
from bergamotdoor.peers.directory import Directory, EntryRecord
from bergamotdoor.peers.messages import StoreCall, StoreReply
from bergamotdoor.peers.relay import PeerRelay, RelayingCaller
from bergamotdoor.peers.sharing import SharingBounds
from bergamotdoor.stored import Outcome
from bergamotdoor.types import NodeId
from lab.site import at
from lab.virtual import run_virtual, virtual_clock

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping

    from bergamotdoor.settings.document import Address

CALL_INTERVAL_S = 0.1
BOUND = dt.timedelta(seconds=2)
REFUSED = Answer(503, b'')
DONE = Answer(200, b'')
#: Replies to the second attempt of a relayed call.
SECOND_REPLIES: Final[Mapping[str, StoreReply]] = MappingProxyType(
    {
        'replies with status 503': StoreReply(
            503, b'', covers_all_attempts=True
        ),
        'replies that nothing sent': StoreReply(None, b''),
    }
)


class StorePaths:
    """The direct path to the store, refused at first, and the relayed ones."""

    def __init__(self) -> None:
        #: Whether the store accepts relayed calls.
        self.accepts_relayed = False
        #: How many of the next relayed calls get no answer.
        self.unanswered = 0
        #: Number of relayed calls so far.
        self.relayed = 0
        #: Answer to direct calls.
        self.direct_answer = REFUSED
        #: Answer to relayed calls that the store does not accept.
        self.relayed_refusal = REFUSED
        #: How long direct and relayed calls take.
        self.direct_s = float()
        self.relayed_s = float()

    async def call(self, *_: Any) -> Answer | Outcome:
        await asyncio.sleep(self.direct_s)
        return self.direct_answer

    async def watch(self, *_: Any) -> Answer | Outcome:
        return REFUSED


class FakeRelay:
    """A relay over other entries, without the entries."""

    def __init__(self, paths: StorePaths) -> None:
        self._paths = paths

    async def call(
        self, address: Address, call: StoreCall, timeout: dt.timedelta
    ) -> Answer | Outcome:
        self._paths.relayed += 1
        await asyncio.sleep(self._paths.relayed_s)
        if self._paths.unanswered:
            self._paths.unanswered -= 1
            return Outcome.UNCLEAR
        if self._paths.accepts_relayed:
            return DONE
        return self._paths.relayed_refusal


@given('a store that refuses calls on all paths')
def refuse_all(context: Any) -> None:
    context.paths = StorePaths()
    context.actions = []
    context.caller = caller_of(context.paths)


@given('a store that answers direct calls after {answer_ms:d} ms')
def answer_late(context: Any, answer_ms: int) -> None:
    refuse_all(context)
    context.paths.direct_answer = DONE
    context.paths.direct_s = answer_ms / 1000


@given('other entries that take {seconds:d} s')
def slow_relays(context: Any, seconds: int) -> None:
    context.paths.relayed_s = seconds
    context.paths.accepts_relayed = True


def caller_of(paths: StorePaths) -> RelayingCaller:
    caller = RelayingCaller(
        paths,
        FakeRelay(paths),
        virtual_clock(),
        random.Random(1),
        SharingBounds(BOUND),
    )
    directory = Directory.__new__(Directory)
    directory.entries = {
        NodeId(f'e{number}'): EntryRecord(at(9000 + number))
        for number in range(3)
    }
    caller.directory = directory
    return caller


@given('a store that accepts calls through other entries only')
def refuse_direct(context: Any) -> None:
    refuse_all(context)
    context.paths.accepts_relayed = True


@given('other entries whose calls the store rejects with {status:d}')
def reject_relayed(context: Any, status: int) -> None:
    context.paths.relayed_refusal = Answer(status, b'')


@then('the answer to the direct call is returned')
def returns_direct_answer(context: Any) -> None:
    found = run_virtual(make_call(context.caller))
    assert found == DONE, found
    assert context.paths.relayed


@when(
    'one does not answer a call, and the other paths reject it with {status:d}'
)
def leave_unanswered(context: Any, status: int) -> None:
    async def scene() -> Answer | Outcome:
        assert await make_call(context.caller) == DONE
        context.paths.direct_answer = Answer(status, b'')
        context.paths.relayed_refusal = Answer(status, b'')
        context.paths.accepts_relayed = False
        context.paths.unanswered = 1
        return await make_call(context.caller)

    context.found = run_virtual(scene())


@then('it is not known whether that call took effect')
def check_unclear(context: Any) -> None:
    assert context.found is Outcome.UNCLEAR, context.found


async def make_call(caller: RelayingCaller) -> Answer | Outcome:
    return await caller.call('GET', '/x', b'', dt.timedelta(seconds=1))


async def make_calls(context: Any, seconds: float) -> None:
    for _ in range(round(seconds / CALL_INTERVAL_S)):
        await make_call(context.caller)
        await asyncio.sleep(CALL_INTERVAL_S)


@when('an entry makes a call each 100 ms for {seconds:d} s')
def call_often(context: Any, seconds: int) -> None:
    context.actions.append(lambda: make_calls(context, seconds))


@when('the store accepts calls of the other entries again')
def accept_relayed(context: Any) -> None:
    async def accept() -> None:
        context.paths.accepts_relayed = True

    context.actions.append(accept)


async def run_actions(context: Any) -> None:
    for action in context.actions:
        await action()


@then('at most {most:d} calls are relayed')
def check_relayed(context: Any, most: int) -> None:
    run_virtual(run_actions(context))
    assert 0 < context.paths.relayed <= most, context.paths.relayed


@then('a call is answered within {limit_ms:d} ms')
def check_answer_time(context: Any, limit_ms: int) -> None:
    async def measure() -> float:
        await run_actions(context)
        loop = asyncio.get_running_loop()
        began = loop.time()
        while await make_call(context.caller) != DONE:
            await asyncio.sleep(CALL_INTERVAL_S)
        return (loop.time() - began) * 1000

    took_ms = run_virtual(measure())
    assert took_ms <= limit_ms, took_ms


@then('the next call is sent directly first')
def check_direct_first(context: Any) -> None:
    before = context.paths.relayed
    context.paths.direct_s = 0.1
    assert run_virtual(make_call(context.caller)) == DONE
    assert context.paths.relayed == before


class ResettingEntry:
    """Client of an entry that resets the first call and answers the second."""

    def __init__(self, reply: StoreReply) -> None:
        self._reply = reply
        self._sends = 0

    async def send(self, _: ClientRequest) -> ClientResponse | ClientFailure:
        self._sends += 1
        if self._sends == 1:
            return ClientFailure(sent=True, detail='reset', reused=True)
        return ClientResponse(
            status=200, headers=Headers(), body=self._encoded_reply()
        )

    async def probe(self, _: Address) -> Reachability:
        return Reachability.OPEN

    async def close(self) -> None:
        """Do nothing, since no connection is open."""

    async def _encoded_reply(self) -> AsyncIterator[bytes]:
        yield codec.encode(self._reply)


@given('an entry that makes a relayed call, resets it, and then {replies}')
def reset_relayed_call(context: Any, replies: str) -> None:
    context.entry = ResettingEntry(SECOND_REPLIES[replies])


@then('it is not known whether the relayed call took effect')
def check_relayed_unclear(context: Any) -> None:
    relay = PeerRelay(PeerClient(context.entry))
    call = StoreCall('POST', '/x', b'', 1000)
    found = asyncio.run(relay.call(at(9000), call, dt.timedelta(seconds=1)))
    assert found is Outcome.UNCLEAR, found
