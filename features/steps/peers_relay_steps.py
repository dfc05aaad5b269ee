"""Steps for bergamotdoor.peers.relay."""

from __future__ import annotations

import asyncio
import datetime as dt
import random
from typing import TYPE_CHECKING, Any

from behave import given, then, when

from bergamotdoor.objects.client import Answer
from bergamotdoor.peers.directory import Directory, EntryRecord
from bergamotdoor.peers.relay import RelayingCaller
from bergamotdoor.stored import Outcome
from bergamotdoor.types import NodeId
from lab.site import at
from lab.virtual import run_virtual, virtual_clock

if TYPE_CHECKING:
    from bergamotdoor.peers.messages import StoreCall
    from bergamotdoor.settings.document import Address

PAUSE_S = 0.1
REFUSED = Answer(503, b'')
DONE = Answer(200, b'')


class Ways:
    """The own way, which is refused at first, and those of other entries."""

    def __init__(self) -> None:
        self.open = False
        #: How many of the next calls through others give no answer.
        self.silent = 0
        self.relayed = 0
        self.own = REFUSED
        self.own_s = float()
        self.others_s = float()

    async def call(self, *_: Any) -> Answer | Outcome:
        await asyncio.sleep(self.own_s)
        return self.own

    async def watch(self, *_: Any) -> Answer | Outcome:
        return REFUSED


class OtherEntries:
    def __init__(self, ways: Ways) -> None:
        self._ways = ways

    async def call(
        self, address: Address, call: StoreCall, timeout: dt.timedelta
    ) -> Answer | Outcome:
        self._ways.relayed += 1
        await asyncio.sleep(self._ways.others_s)
        if self._ways.silent:
            self._ways.silent -= 1
            return Outcome.UNCLEAR
        return DONE if self._ways.open else REFUSED


@given('a store that refuses every way')
def refuses(context: Any) -> None:
    context.ways = Ways()
    context.scene = []
    context.caller = caller_of(context.ways)


@given('a store that answers after {answer_ms:d} ms by the own way')
def answers_late(context: Any, answer_ms: int) -> None:
    refuses(context)
    context.ways.own = DONE
    context.ways.own_s = answer_ms / 1000


@given('other entries that take {seconds:d} s')
def slow_others(context: Any, seconds: int) -> None:
    context.ways.others_s = seconds
    context.ways.open = True


def caller_of(ways: Ways) -> RelayingCaller:
    caller = RelayingCaller(
        ways, OtherEntries(ways), virtual_clock(), random.Random(1)
    )
    directory = Directory.__new__(Directory)
    directory.entries = {
        NodeId(f'e{number}'): EntryRecord(at(9000 + number))
        for number in range(3)
    }
    caller.directory = directory
    return caller


@given('a store that takes calls through other entries only')
def others_only(context: Any) -> None:
    refuses(context)
    context.ways.open = True


@when('one of them gives no answer to a call, and the other ways refuse it')
def no_answer(context: Any) -> None:
    async def scene() -> Answer | Outcome:
        assert await one_call(context.caller) == DONE
        context.ways.open = False
        context.ways.silent = 1
        return await one_call(context.caller)

    context.found = run_virtual(scene())


@then('it is not known whether that call was done')
def not_known(context: Any) -> None:
    assert context.found is Outcome.UNCLEAR, context.found


async def one_call(caller: RelayingCaller) -> Answer | Outcome:
    return await caller.call('GET', '/x', b'', dt.timedelta(seconds=1))


async def calls(context: Any, seconds: float) -> None:
    for _ in range(round(seconds / PAUSE_S)):
        await one_call(context.caller)
        await asyncio.sleep(PAUSE_S)


@when('an entry makes a call each 100 ms for {seconds:d} s')
def call_often(context: Any, seconds: int) -> None:
    context.scene.append(lambda: calls(context, seconds))


@when('the store takes calls of the other entries again')
def opens(context: Any) -> None:
    async def reopen() -> None:
        context.ways.open = True

    context.scene.append(reopen)


async def play(context: Any) -> None:
    for step in context.scene:
        await step()


@then('other entries were asked at most {most:d} times')
def asked_at_most(context: Any, most: int) -> None:
    run_virtual(play(context))
    assert 0 < context.ways.relayed <= most, context.ways.relayed


@then('a call is answered within {limit_ms:d} ms')
def answered_within(context: Any, limit_ms: int) -> None:
    async def measure() -> float:
        await play(context)
        loop = asyncio.get_running_loop()
        began = loop.time()
        while await one_call(context.caller) != DONE:
            await asyncio.sleep(PAUSE_S)
        return (loop.time() - began) * 1000

    took_ms = run_virtual(measure())
    assert took_ms <= limit_ms, took_ms


@then('its next call goes the own way first')
def own_way_first(context: Any) -> None:
    before = context.ways.relayed
    context.ways.own_s = 0.1
    assert run_virtual(one_call(context.caller)) == DONE
    assert context.ways.relayed == before
