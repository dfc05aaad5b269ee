"""Steps for lab: the soak, and whether it sees what breaks."""

from __future__ import annotations

import asyncio
import json
import logging
import pathlib
import random
import tempfile
import time
from types import SimpleNamespace
from typing import Any

from behave import given, then, when

from bergamotdoor.http.messages import Headers
from bergamotdoor.settings.document import Address
from lab.callers import Callers
from lab.client import Reply
from lab.deployment import Deployment, Size
from lab.faults import AIMED, CRASHING
from lab.play import soak
from lab.process_faults import ProcessFaults
from lab.processes import ProductProcess
from lab.promises import Promise, Promises
from lab.step_reader import Step, StepReader
from lab.upstreams import Seen
from lab.wire import score_id

NETWORK = 250
LEAST = 2


@given('a soak of seed {seed:d} with faults for {seconds:d} s')
def play(context: Any, seed: int, seconds: int) -> None:
    logging.getLogger('bergamotdoor').setLevel(logging.CRITICAL)
    size = Size(entries=2, engines=2, services=2)
    context.outcome = asyncio.run(soak(seed, seconds, size))


@given(
    'a soak of seed {seed:d} with faults for {seconds:d} s on the usual size'
)
def play_usual(context: Any, seed: int, seconds: int) -> None:
    logging.getLogger('bergamotdoor').setLevel(logging.CRITICAL)
    context.outcome = asyncio.run(soak(seed, seconds, Size()))


@given(
    'a soak of seed {seed:d} with faults for {seconds:d} s on {entries:d} '
    'entries'
)
def play_zone(context: Any, seed: int, seconds: int, entries: int) -> None:
    logging.getLogger('bergamotdoor').setLevel(logging.CRITICAL)
    size = Size(entries=entries)
    context.outcome = asyncio.run(soak(seed, seconds, size))


@given('a soak of seed {seed:d} with aimed faults for {seconds:d} s')
def play_aimed(context: Any, seed: int, seconds: int) -> None:
    logging.getLogger('bergamotdoor').setLevel(logging.CRITICAL)
    size = Size(entries=3, engines=2, services=1, groups=4)
    context.outcome = asyncio.run(soak(seed, seconds, size, AIMED))


@given(
    'a soak of seed {seed:d} with requests that end services for {seconds:d} s'
)
def play_crashing(context: Any, seed: int, seconds: int) -> None:
    logging.getLogger('bergamotdoor').setLevel(logging.CRITICAL)
    size = Size(entries=4, services=3)
    context.outcome = asyncio.run(soak(seed, seconds, size, CRASHING))


@then('every promise was kept, and such a request was left alone')
def kept_crashing(context: Any) -> None:
    outcome = context.outcome
    assert not outcome.broken, (outcome.broken, outcome.folder)
    assert outcome.checked['SPARED'], outcome.checked


@then(
    'every promise was kept, positions and bodies were checked, and entries '
    'reached each other over proxies'
)
def kept_aimed(context: Any) -> None:
    outcome = context.outcome
    assert not outcome.broken, (outcome.broken, outcome.folder)
    for name in ('POSITION', 'EVERYWHERE', 'BODY', 'COMPLETE'):
        assert outcome.checked[name], outcome.checked
    assert outcome.led, outcome
    assert len(outcome.faults) == len(AIMED), outcome.faults


@then('every promise was kept, and results, calls and orders were checked')
def kept(context: Any) -> None:
    outcome = context.outcome
    assert not outcome.broken, (outcome.broken, outcome.folder)
    names = ('WHOLE', 'POSITION', 'TEXT', 'SCORE', 'COMPLETE', 'NEWEST')
    for name in (*names, 'ORDERS'):
        assert outcome.checked[name], outcome.checked


def deployment() -> Deployment:
    folder = pathlib.Path(tempfile.gettempdir())

    async def build() -> Deployment:
        return Deployment(folder, NETWORK, Size())

    return asyncio.run(build())


def result(step: Step, item: int, text: str) -> dict[str, Any]:
    return {
        'id': f'{step.job}.{item}',
        'state': 'completed',
        'text': text,
        'versions': [LEAST],
    }


def whole(step: Step, item: int) -> str:
    name = f'{step.job}.{item}'
    count = step.lengths[name]
    return '\n'.join(f'{name}/{number + 1}' for number in range(count))


def read(context: Any, position: int, *results: dict[str, Any]) -> None:
    body = json.dumps({'results': results}).encode()
    reply = Reply(200, Headers(), body)
    context.reader._take(context.step, position, reply, time.monotonic())


@given("a trainer that has read a step's first result")
def has_read(context: Any) -> None:
    context.promises = Promises()
    context.reader = StepReader(deployment(), context.promises)
    # Odd steps are not scored.
    context.step = Step(1, LEAST, [3, 4, 5])
    read(context, 0, result(context.step, 0, whole(context.step, 0)))
    assert not context.promises.broken, context.promises.broken


@when('it reads another text at the same position')
def other_text(context: Any) -> None:
    read(context, 0, result(context.step, 1, whole(context.step, 1)))


@when('it reads the same item at the next position')
def same_item(context: Any) -> None:
    read(context, 1, result(context.step, 0, whole(context.step, 0)))


@given("a trainer that has read a scored step's first result")
def has_read_scored(context: Any) -> None:
    context.promises = Promises()
    context.reader = StepReader(deployment(), context.promises)
    context.step = Step(2, LEAST, [3, 4, 5])
    read(context, 0, scored(context, 0, 0))
    assert not context.promises.broken, context.promises.broken


def scored(context: Any, item: int, other: int) -> dict[str, Any]:
    """Return an item's result with the score of some item."""
    request = score_id(f'{context.step.job}.{other}')
    service = context.reader._deployment.services[0]
    service._proofs[request] = {service.stamp(request)}
    text = result(context.step, item, whole(context.step, item))
    return {**text, 'score': service.stamp(request)}


@when("it reads a text with another item's score")
def other_score(context: Any) -> None:
    read(context, 1, scored(context, 1, 0))


@when('it reads a text without a score')
def no_score(context: Any) -> None:
    read(context, 1, result(context.step, 1, whole(context.step, 1)))


@when('it is told that an item has no body that the store has not listed')
def no_body(context: Any) -> None:
    item = f'{context.step.job}.1'
    reply = Reply(404, Headers(), b'')
    context.reader._take_body(context.step, item, reply)


@when('it is told that an item has no body that the store has listed')
def listed_body(context: Any) -> None:
    step = context.step
    record = {'writer': '1', 'results': [{'item': f'{step.job}.1'}]}
    store = context.reader._deployment.store
    store.put(f'job-{step.job}', 'result-000000', record)
    no_body(context)


@when("it reads a body that is another item's")
def other_body(context: Any) -> None:
    item = f'{context.step.job}.1'
    reply = Reply(200, Headers(), b'5')
    context.reader._take_body(context.step, item, reply)


@when('it reads nothing at that position a second later')
def nothing(context: Any) -> None:
    body = json.dumps({'results': []}).encode()
    later_s = context.step.read_at_s[0] + 1
    context.reader._take(context.step, 0, Reply(200, Headers(), body), later_s)


@then('every promise holds')
def holds(context: Any) -> None:
    assert not context.promises.broken, context.promises.broken


@when('it reads an item as lost that failed once')
def lost_early(context: Any) -> None:
    item = f'{context.step.job}.1'
    service = context.reader._deployment.services[0]
    service.failures[score_id(item)] = 1
    lost = {'id': item, 'state': 'lost', 'text': '', 'versions': []}
    read(context, 1, lost)


@when('it reads a text without its second event')
def gap(context: Any) -> None:
    first, _, *rest = whole(context.step, 1).split('\n')
    read(context, 1, result(context.step, 1, '\n'.join((first, *rest))))


@given('a caller whose request was refused as not run')
def refused(context: Any) -> None:
    callers(context)
    context.callers._take('call-1', '/safe/call-1', Reply(503, Headers(), b''))


@given('a caller whose request may run once')
def once(context: Any) -> None:
    callers(context)
    context.callers._unsafe.add('call-1')


def callers(context: Any) -> None:
    context.promises = Promises()
    context.deployment = deployment()
    context.callers = Callers(
        context.deployment, context.promises, random.Random(1)
    )


@when('an upstream ran the request')
def ran(context: Any) -> None:
    context.deployment.services[0].seen.append(Seen('call-1', {}))


@when('two upstreams ran the request')
def ran_twice(context: Any) -> None:
    for service in context.deployment.services:
        service.seen.append(Seen('call-1', {}))


@then('the promise {name} is broken')
def broken(context: Any, name: str) -> None:
    if hasattr(context, 'callers'):
        asyncio.run(context.callers.close())
    found = {line.partition(':')[0] for line in context.promises.broken}
    assert found == {Promise[name].name}, context.promises.broken


@given('an agent that is told of changed settings {after:d} ms after its start')
def told_early(context: Any, after: int) -> None:
    async def scene(folder: pathlib.Path) -> bool:
        nowhere = Address(ip='127.0.0.1', port=1)
        process = ProductProcess('a', 'agent', '127.0.0.1', nowhere, folder)
        there: Any = SimpleNamespace(processes=[process])
        faults = ProcessFaults(there, Promises(), random.Random(1))
        await process.start()
        await asyncio.sleep(after / 1000)
        await faults.reload()
        await asyncio.sleep(0.5)
        running = process.running
        await process.kill()
        return running

    with tempfile.TemporaryDirectory() as folder:
        context.running = asyncio.run(scene(pathlib.Path(folder)))


@then('it runs half a second later')
def runs(context: Any) -> None:
    assert context.running
