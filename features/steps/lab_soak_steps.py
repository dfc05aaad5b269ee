"""Steps for the fault soak and for its checks of promises."""

from __future__ import annotations

import asyncio
import json
import logging
import pathlib
import random
import tempfile
import time
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

NETWORK_NUMBER = 250
MIN_VERSION = 2


@given('a soak of seed {seed:d} with faults for {seconds:d} s')
def run_small_soak(context: Any, seed: int, seconds: int) -> None:
    logging.getLogger('bergamotdoor').setLevel(logging.CRITICAL)
    size = Size(entries=2, engines=2, services=2)
    context.outcome = asyncio.run(soak(seed, seconds, size))


@given(
    'a soak of seed {seed:d} with faults for {seconds:d} s on the default size'
)
def run_default_soak(context: Any, seed: int, seconds: int) -> None:
    logging.getLogger('bergamotdoor').setLevel(logging.CRITICAL)
    context.outcome = asyncio.run(soak(seed, seconds, Size()))


@given(
    'a soak of seed {seed:d} with faults for {seconds:d} s on {entries:d} '
    'entries'
)
def run_zone_soak(context: Any, seed: int, seconds: int, entries: int) -> None:
    logging.getLogger('bergamotdoor').setLevel(logging.CRITICAL)
    size = Size(entries=entries)
    context.outcome = asyncio.run(soak(seed, seconds, size))


@given('a soak of seed {seed:d} with aimed faults for {seconds:d} s')
def run_aimed_soak(context: Any, seed: int, seconds: int) -> None:
    logging.getLogger('bergamotdoor').setLevel(logging.CRITICAL)
    size = Size(entries=3, engines=2, services=1, groups=4)
    context.outcome = asyncio.run(soak(seed, seconds, size, AIMED))


@given(
    'a soak of seed {seed:d} with requests that crash services for '
    '{seconds:d} s'
)
def run_crashing_soak(context: Any, seed: int, seconds: int) -> None:
    logging.getLogger('bergamotdoor').setLevel(logging.CRITICAL)
    size = Size(entries=4, services=3)
    context.outcome = asyncio.run(soak(seed, seconds, size, CRASHING))


@then('every promise was kept, and requests that crash services were checked')
def check_crashing_soak(context: Any) -> None:
    outcome = context.outcome
    assert not outcome.broken, (outcome.broken, outcome.folder)
    assert outcome.checked['SPARED'], outcome.checked


@then(
    'every promise was kept, positions and bodies were checked, and entries '
    'reached each other over proxies'
)
def check_aimed_soak(context: Any) -> None:
    outcome = context.outcome
    assert not outcome.broken, (outcome.broken, outcome.folder)
    for name in ('POSITION', 'EVERYWHERE', 'BODY', 'COMPLETE'):
        assert outcome.checked[name], outcome.checked
    assert outcome.led, outcome
    assert len(outcome.faults) == len(AIMED), outcome.faults


@then('every promise was kept, and results, calls and orders were checked')
def check_soak(context: Any) -> None:
    outcome = context.outcome
    assert not outcome.broken, (outcome.broken, outcome.folder)
    names = ('WHOLE', 'POSITION', 'TEXT', 'SCORE', 'COMPLETE', 'NEWEST')
    for name in (*names, 'ORDERS'):
        assert outcome.checked[name], outcome.checked


def new_deployment() -> Deployment:
    """Return a deployment that is not started."""
    folder = pathlib.Path(tempfile.gettempdir())

    async def build() -> Deployment:
        return Deployment(folder, NETWORK_NUMBER, Size())

    return asyncio.run(build())


def completed_result(step: Step, item: int, text: str) -> dict[str, Any]:
    """Return the result of a completed item, as a response has it."""
    return {
        'id': f'{step.job}.{item}',
        'state': 'completed',
        'text': text,
        'versions': [MIN_VERSION],
    }


def whole_text(step: Step, item: int) -> str:
    """Return an item's text with all its events."""
    item_id = f'{step.job}.{item}'
    count = step.lengths[item_id]
    return '\n'.join(f'{item_id}/{number + 1}' for number in range(count))


def check_page(context: Any, position: int, *results: dict[str, Any]) -> None:
    """Have the reader check a page that begins at a position."""
    body = json.dumps({'results': results}).encode()
    reply = Reply(200, Headers(), body)
    context.reader._check_page(context.step, position, reply, time.monotonic())


@given("a trainer that has read a step's first result")
def read_first_result(context: Any) -> None:
    context.promises = Promises()
    context.reader = StepReader(new_deployment(), context.promises)
    # Steps with odd numbers are not scored.
    context.step = Step(1, MIN_VERSION, [3, 4, 5])
    check_page(
        context,
        0,
        completed_result(context.step, 0, whole_text(context.step, 0)),
    )
    assert not context.promises.broken, context.promises.broken


@when('it reads another text at the same position')
def read_other_text(context: Any) -> None:
    check_page(
        context,
        0,
        completed_result(context.step, 1, whole_text(context.step, 1)),
    )


@when('it reads the same item at the next position')
def read_same_item(context: Any) -> None:
    check_page(
        context,
        1,
        completed_result(context.step, 0, whole_text(context.step, 0)),
    )


@given("a trainer that has read a scored step's first result")
def read_scored_result(context: Any) -> None:
    context.promises = Promises()
    context.reader = StepReader(new_deployment(), context.promises)
    context.step = Step(2, MIN_VERSION, [3, 4, 5])
    check_page(context, 0, scored_result(context, 0, 0))
    assert not context.promises.broken, context.promises.broken


def scored_result(context: Any, item: int, scored_item: int) -> dict[str, Any]:
    """Return an item's result with the score of `scored_item`."""
    request = score_id(f'{context.step.job}.{scored_item}')
    service = context.reader._deployment.services[0]
    service._proofs[request] = {service.stamp(request)}
    unscored = completed_result(
        context.step, item, whole_text(context.step, item)
    )
    return {**unscored, 'score': service.stamp(request)}


@when("it reads a text with another item's score")
def read_other_score(context: Any) -> None:
    check_page(context, 1, scored_result(context, 1, 0))


@when('it reads a text without a score')
def read_without_score(context: Any) -> None:
    check_page(
        context,
        1,
        completed_result(context.step, 1, whole_text(context.step, 1)),
    )


@when('it gets a 404 for the body of an item that the store has not listed')
def deny_body(context: Any) -> None:
    item = f'{context.step.job}.1'
    reply = Reply(404, Headers(), b'')
    context.reader._check_body(context.step, item, reply)


@when('it gets a 404 for the body of an item that the store has listed')
def deny_listed_body(context: Any) -> None:
    step = context.step
    record = {'writer': '1', 'results': [{'item': f'{step.job}.1'}]}
    store = context.reader._deployment.store
    store.put(f'job-{step.job}', 'result-000000', record)
    deny_body(context)


@when("it reads a body that is another item's")
def read_other_body(context: Any) -> None:
    item = f'{context.step.job}.1'
    reply = Reply(200, Headers(), b'5')
    context.reader._check_body(context.step, item, reply)


@when('it reads nothing at that position a second later')
def read_empty_page(context: Any) -> None:
    body = json.dumps({'results': []}).encode()
    later_s = context.step.read_at_s[0] + 1
    context.reader._check_page(
        context.step, 0, Reply(200, Headers(), body), later_s
    )


@then('every promise holds')
def promises_hold(context: Any) -> None:
    assert not context.promises.broken, context.promises.broken


@when('it reads an item as lost that failed once')
def read_early_loss(context: Any) -> None:
    item = f'{context.step.job}.1'
    service = context.reader._deployment.services[0]
    service.failures[score_id(item)] = 1
    lost = {'id': item, 'state': 'lost', 'text': '', 'versions': []}
    check_page(context, 1, lost)


@when('it reads a text without its second event')
def read_text_with_gap(context: Any) -> None:
    first, _, *rest = whole_text(context.step, 1).split('\n')
    check_page(
        context, 1, completed_result(context.step, 1, '\n'.join((first, *rest)))
    )


@given('a caller whose request was refused as not run')
def receive_refusal(context: Any) -> None:
    create_callers(context)
    context.callers._check_reply(
        'call-1', '/safe/call-1', Reply(503, Headers(), b'')
    )


@given('a caller whose request may run once')
def send_unsafe_request(context: Any) -> None:
    create_callers(context)
    context.callers._unsafe_requests.add('call-1')


def create_callers(context: Any) -> None:
    """Create callers of a deployment that is not started."""
    context.promises = Promises()
    context.deployment = new_deployment()
    context.callers = Callers(
        context.deployment, context.promises, random.Random(1)
    )


@when('an upstream ran the request')
def run_at_upstream(context: Any) -> None:
    context.deployment.services[0].seen.append(Seen('call-1', {}))


@when('two upstreams ran the request')
def run_at_two_upstreams(context: Any) -> None:
    for service in context.deployment.services:
        service.seen.append(Seen('call-1', {}))


@then('the promise {name} is broken')
def promise_is_broken(context: Any, name: str) -> None:
    if hasattr(context, 'callers'):
        asyncio.run(context.callers.close())
    names = {line.partition(':')[0] for line in context.promises.broken}
    assert names == {Promise[name].name}, context.promises.broken


@given(
    'an agent that is signalled to read its settings {after_ms:d} ms after its '
    'start'
)
def signal_early(context: Any, after_ms: int) -> None:
    async def scene(folder: pathlib.Path) -> bool:
        unused_address = Address(ip='127.0.0.1', port=1)
        process = ProductProcess(
            'a', 'agent', '127.0.0.1', unused_address, folder
        )
        faults = ProcessFaults([process], Promises(), random.Random(1))
        await process.start()
        await asyncio.sleep(after_ms / 1000)
        await faults.reload()
        await asyncio.sleep(0.5)
        running = process.running
        await process.kill()
        return running

    with tempfile.TemporaryDirectory() as folder:
        context.running = asyncio.run(scene(pathlib.Path(folder)))


@then('it runs half a second later')
def process_runs(context: Any) -> None:
    assert context.running
