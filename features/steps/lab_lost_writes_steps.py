"""Steps for writes whose responses are lost and trainers that give up."""

from __future__ import annotations

import asyncio
import logging
import pathlib
import random
import tempfile
from typing import Any

from behave import given, then, when

from features.steps.lab_soak_steps import new_deployment
from lab.deployment import Deployment, Size
from lab.lost_writes import LostWrites
from lab.outages import Loss, Outage, StoredWrite
from lab.promises import Promises
from lab.store import StoreMode
from lab.submitters import Attempt, SmallJob, Submitters
from lab.upstreams import Seen

OUTAGES = 2
OUTAGE_S = 1
#: How long the entries take to know each other.
START_S = 4
NETWORK_NUMBER = 251
#: When the item runs; the attempts are sent at 1 s and 3 s.
TIMES_S = {'between the attempts': 2, 'after both attempts': 4}


@given('trainers that give up, and a store that goes down with {write}')
def plan_outages(context: Any, write: str) -> None:
    logging.getLogger('bergamotdoor').setLevel(logging.CRITICAL)
    context.relayed = 'relayed' in write


@when('the entries are restarted and asked for the refused jobs')
def submit_under_outages(context: Any) -> None:
    async def scene(folder: pathlib.Path) -> None:
        size = Size(engines=2, services=1)
        deployment = Deployment(folder, NETWORK_NUMBER, size)
        context.submitters = Submitters(
            deployment, context.promises, random.Random(1)
        )
        context.submitters.patient_share = 0
        try:
            await run_outages(context, deployment)
        finally:
            await deployment.stop()
        await context.submitters.close()

    context.promises = Promises()
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(scene(pathlib.Path(folder)))


async def run_outages(context: Any, deployment: Deployment) -> None:
    """Have outages begin with the writes that create jobs."""
    submitters = context.submitters
    lost_writes = LostWrites(deployment, random.Random(1))
    await deployment.start()
    submitting = asyncio.create_task(submitters.run())
    await asyncio.sleep(START_S)
    for _ in range(OUTAGES):
        outage = Outage(StoredWrite.RECORD, Loss.RESET, StoreMode.BUSY)
        await lost_writes.lose_write(outage, OUTAGE_S, relayed=context.relayed)
        assert outage.begun.is_set()
    submitters.ending = True
    await submitting
    await submitters.ask_for_refused_jobs()


@then('jobs were refused at each attempt, and none of them ran')
def refused_jobs_never_ran(context: Any) -> None:
    counts = context.submitters.counts()
    assert not context.promises.broken, (context.promises.broken, counts)
    assert counts['refused'], counts


@given('a job whose attempts were answered {answers}')
def answer_attempts(context: Any, answers: str) -> None:
    context.promises = Promises()
    context.deployment = new_deployment()
    context.submitters = Submitters(
        context.deployment, context.promises, random.Random(1)
    )
    job = SmallJob('small-0')
    for number, status in enumerate(answers.split()):
        attempt = Attempt(1 + 2 * number)
        attempt.status = int(status)
        job.attempts.append(attempt)
    context.submitters.jobs.append(job)


@when('an engine runs an item {when}')
def run_item(context: Any, when: str) -> None:
    seen = Seen('small-0.1', {}, at_s=TIMES_S[when])
    context.deployment.engines[0].seen.append(seen)


@then('the check of refused jobs says {verdict}')
def check_refused_jobs(context: Any, verdict: str) -> None:
    asyncio.run(context.submitters.close())
    broken = context.promises.broken
    expected = set() if verdict == 'nothing' else {verdict}
    assert {line.partition(':')[0] for line in broken} == expected, broken
