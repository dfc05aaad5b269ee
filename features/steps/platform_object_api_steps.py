"""Steps for bergamotdoor.store.object_api."""

from __future__ import annotations

import asyncio
import datetime as dt
import random
from typing import Any
from unittest import mock

import hypothesis
import msgspec
from behave import given, then, when
from hypothesis import strategies as st

from bergamotdoor.http.client import HttpClient
from bergamotdoor.http.server import HttpServer
from bergamotdoor.settings.process import HttpLimits
from bergamotdoor.standins.object_api import ObjectApiStandin, ObjectTable
from bergamotdoor.store import object_api
from bergamotdoor.store.attempts import Answer, Attempt
from bergamotdoor.store.pending_write import Decision, PendingWrite
from bergamotdoor.store.protocols import (
    StoredObject,
    StoreFailure,
    StoreProblem,
)
from bergamotdoor.types import ABSENT, ObjectVersion
from features.platform_world import (
    ADDRESS,
    KEY,
    SETTINGS,
    Fate,
    SilentPool,
    faulty_store,
)
from features.support import run_virtual, virtual_clock

CERTAIN = {StoreProblem.CONFLICT, StoreProblem.UNAVAILABLE}
BODY = b'ours'


@given('an object API over HTTP that asks for a token')
def over_http(context: Any) -> None:
    def run(work: Any, token: str = SETTINGS.token) -> Any:
        async def whole() -> Any:
            clock = virtual_clock()
            standin = ObjectApiStandin(
                clock, context.object_table, SETTINGS.token
            )
            server = HttpServer(ADDRESS, standin.handle, HttpLimits(), clock)
            client = HttpClient(clock)
            settings = msgspec.structs.replace(SETTINGS, token=token)
            store = object_api.HttpObjectStore.from_config(
                settings, client, clock, random.Random(1)
            )
            await server.start()
            try:
                return await work(store)
            finally:
                await client.close()
                await server.stop(dt.timedelta(seconds=1))

        return run_virtual(whole())

    context.object_table = ObjectTable()
    context.run_over_http = run


@when('an object named "{name}" is written, changed and deleted')
def whole_life(context: Any, name: str) -> None:
    async def work(store: object_api.HttpObjectStore) -> list[Any]:
        one, two = ObjectVersion(1), ObjectVersion(2)
        hour = dt.timedelta(hours=1)
        seen: list[Any] = [
            await store.read('kind', name),
            await store.write('kind', name, b'1', ABSENT),
            await store.write('kind', name, b'no', ABSENT),
            await store.read('kind', name),
            await store.watch('kind', name, one, dt.timedelta(seconds=9)),
        ]
        watch = asyncio.create_task(store.watch('kind', name, one, hour))
        await asyncio.sleep(60)
        seen.append(await store.write('kind', name, b'2', one))
        seen.append(await watch)
        seen.append(await store.names('kind', 'a name/'))
        seen.append(await store.names('kind', 'b'))
        seen.append(await store.delete('kind', name, one))
        seen.append(await store.delete('kind', name, two))
        seen.append(await store.read('kind', name))
        seen.append(await store.write('kind', name, b'3', ABSENT))
        return seen

    context.object_name = name
    context.seen = context.run_over_http(work)


@then("the object API's client saw each version, each conflict and the end")
def saw_all(context: Any) -> None:
    name = context.object_name

    def stored(version: int, body: bytes) -> StoredObject:
        return StoredObject('kind', name, ObjectVersion(version), body)

    expected = [
        StoreProblem.NOT_FOUND,
        stored(1, b'1'),
        StoreProblem.CONFLICT,
        stored(1, b'1'),
        StoreProblem.NO_CHANGE,
        stored(2, b'2'),
        stored(2, b'2'),
        (name,),
        (),
        StoreProblem.CONFLICT,
        stored(2, b''),
        StoreProblem.NOT_FOUND,
        # The delete raised the version, so none is ever given twice.
        stored(4, b'3'),
    ]
    plain = [
        item.problem if isinstance(item, StoreFailure) else item
        for item in context.seen
    ]
    assert plain == expected, plain


@when('an object is written with a wrong token, and one of more than 1 MiB')
def refused(context: Any) -> None:
    async def wrong(store: object_api.HttpObjectStore) -> Any:
        return await store.write('kind', 'x', b'', ABSENT)

    async def too_large(store: object_api.HttpObjectStore) -> str:
        try:
            await store.write('kind', 'x', bytes(1_048_577), ABSENT)
        except ValueError as error:
            return str(error)
        return ''

    context.wrong = context.run_over_http(wrong, token='another')
    context.too_large = context.run_over_http(too_large)


@then("the object API's client reports both and the store is empty")
def both_reported(context: Any) -> None:
    assert context.wrong.problem is StoreProblem.UNAVAILABLE
    assert '401' in context.wrong.detail
    assert '1048577 bytes' in context.too_large
    assert context.object_table.names('kind') == ()


def check_write(fates: list[Fate], creates: bool) -> None:
    """Run one write and compare what it reported with what happened."""
    run_virtual(_check_write(fates, creates))


async def _check_write(fates: list[Fate], creates: bool) -> None:
    table = ObjectTable()
    landed: list[int] = []

    def note() -> None:
        record = table.read(KEY)
        assert record is not None
        if record.body == BODY:
            landed.append(record.version)

    table.listen(KEY, note)
    store, client = faulty_store(fates, table)
    if not creates:
        client.write_as_other()
    expected = ABSENT if creates else ObjectVersion(1)
    outcome = await store.write(*KEY, BODY, expected)
    before_late = list(landed)
    await client.deliver_late()
    assert len(landed) <= 1, f'landed as versions {landed}'
    if isinstance(outcome, StoredObject):
        assert before_late == [outcome.version], (outcome, landed)
    elif outcome.problem in CERTAIN:
        assert not landed, (outcome, landed)
    else:
        assert outcome.problem is StoreProblem.UNKNOWN, outcome


def run_faults(pending: type[PendingWrite]) -> None:
    settings = hypothesis.settings(
        derandomize=True,
        max_examples=1500,
        deadline=None,
        database=None,
        phases=(hypothesis.Phase.generate,),
    )
    fates = st.lists(st.sampled_from(Fate), max_size=12)
    with mock.patch.object(object_api, 'PendingWrite', pending):
        settings(hypothesis.given(fates, st.booleans())(check_write))()


@when('writes live through random faults of their calls')
def random_faults(context: Any) -> None:
    run_faults(PendingWrite)


@then('each write reported the truth')
def truth(context: Any) -> None:
    """An untruth has failed the run."""


class TrustsRepeats(PendingWrite):
    """Takes a repeat's conflict for a conflict."""

    def _refused(self, problem: StoreProblem, answer: Answer) -> Decision:
        self.in_doubt = False
        return super()._refused(problem, answer)


class IgnoresNonces(PendingWrite):
    """Takes any new version for its own write."""

    def _judge_found(self, answer: Answer) -> Decision:
        return self._done(answer)


class TrustsNonces(PendingWrite):
    """Takes another's nonce for a conflict."""

    def _unclear(self, detail: str) -> StoreFailure:
        return self._failure(StoreProblem.CONFLICT, detail)


class TrustsSilence(PendingWrite):
    """Takes a lost answer for not written."""

    def answered(self, attempt: Attempt) -> Decision:
        decision = super().answered(attempt)
        if isinstance(attempt, Answer):
            return decision
        return self._failure(StoreProblem.UNAVAILABLE, attempt.detail)


SHORT_CUTS = {
    kind.__doc__: kind
    for kind in (
        TrustsRepeats,
        IgnoresNonces,
        TrustsNonces,
        TrustsSilence,
    )
}


@when('writes of a client that {short_cut} live through such faults')
def broken_faults(context: Any, short_cut: str) -> None:
    kind = SHORT_CUTS[f'{short_cut[0].upper()}{short_cut[1:]}.']
    context.untruth = None
    try:
        run_faults(kind)
    except AssertionError as error:
        context.untruth = error


@then('some write reported an untruth')
def untruth(context: Any) -> None:
    assert context.untruth is not None


@given('an object API whose pooled connections went silent')
def silent_pool(context: Any) -> None:
    context.silent = True


@when('an object is read and another is written')
def read_and_write(context: Any) -> None:
    async def work() -> None:
        clock = virtual_clock()
        _, client = faulty_store([], ObjectTable())
        store = object_api.HttpObjectStore.from_config(
            SETTINGS, SilentPool(client), clock, random.Random(1)
        )
        context.outcomes = []
        context.took = []
        for call in (store.read(*KEY), store.write(*KEY, BODY, ABSENT)):
            started = clock.elapsed()
            context.outcomes.append(await call)
            context.took.append(clock.elapsed() - started)

    run_virtual(work())


@then('both calls had their answer in half of the timeout plus a pause')
def answered(context: Any) -> None:
    read, written = context.outcomes
    assert read.problem is StoreProblem.NOT_FOUND
    assert written.version == 1
    half = dt.timedelta(milliseconds=SETTINGS.timeout_ms / 2)
    pause = dt.timedelta(milliseconds=100)
    assert all(half <= took <= half + pause for took in context.took)
