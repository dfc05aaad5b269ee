"""Steps for the stand-ins of the platform."""

from __future__ import annotations

import asyncio
import datetime as dt
import random
from typing import Any

import msgspec
from behave import given, then, when
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bergamotdoor.http.client import HttpClient
from bergamotdoor.http.messages import ClientRequest, Headers
from bergamotdoor.settings.document import Address
from bergamotdoor.settings.process import PlatformSettings
from bergamotdoor.standins import object_api, vm_list, weight_store
from bergamotdoor.standins._platform_table import (
    Change,
    Outcome,
    Record,
    WriteStatus,
)
from bergamotdoor.standins.platform_settings import (
    ObjectApiSettings,
    VmListSettings,
    VmSettings,
    WeightStoreSettings,
)
from bergamotdoor.store.object_api import HttpObjectStore
from bergamotdoor.store.protocols import (
    StoredObject,
    StoreFailure,
    StoreProblem,
    VmState,
)
from bergamotdoor.store.vm_list import HttpVmList
from bergamotdoor.store.weight_store import HttpWeightStore
from bergamotdoor.types import (
    ABSENT,
    ObjectVersion,
    ServiceId,
    VmId,
    WeightVersion,
)
from features.platform_world import response_of
from features.support import run_machine, run_virtual, virtual_clock

LISTEN = Address(ip='127.0.0.1', port=7200)
TOKEN = 'a-token'
SETTINGS = PlatformSettings(
    object_api=LISTEN, vm_list=LISTEN, weight_store=LISTEN, token=TOKEN
)
SERVICE = ServiceId('kreol-lm')
VERSION = WeightVersion(7)
SIZE_BYTES = 4_000_000

names = st.sampled_from(('x', 'y'))


class TableMachine(RuleBasedStateMachine):
    """An object table beside a plain dict."""

    def __init__(self) -> None:
        super().__init__()
        self.table = object_api.ObjectTable()
        self.model: dict[str, bytes] = {}
        self.last = dict.fromkeys(('x', 'y'), 0)
        self.current = dict.fromkeys(('x', 'y'), 0)
        self.held: list[Change] = []
        self.heard: list[str] = []
        for name in ('x', 'y'):
            self.table.listen(self.key(name), self.listener(name))

    def key(self, name: str) -> object_api.ObjectKey:
        return object_api.ObjectKey('kind', name)

    def listener(self, name: str) -> Any:
        return lambda: self.heard.append(name)

    @rule(
        name=names,
        behind=st.integers(min_value=0, max_value=2),
        body=st.none() | st.binary(max_size=2),
        fault=st.sampled_from(('', 'lose_answers', 'drop_writes', 'hold')),
    )
    def change(
        self, name: str, behind: int, body: bytes | None, fault: str
    ) -> None:
        expected = ObjectVersion(max(self.current[name] - behind, 0))
        change = Change(self.key(name), expected, 'nonce', body)
        faults = self.table.faults
        faults.lose_answers = int(fault == 'lose_answers')
        faults.drop_writes = int(fault == 'drop_writes')
        faults.hold_writes = int(fault == 'hold')
        outcome = self.table.submit(change)
        if fault == 'hold':
            self.held.append(change)
        elif fault != 'drop_writes':
            status = self.predict(change)
            if not fault:
                assert outcome.status is status, outcome
        if fault:
            assert outcome == Outcome(WriteStatus.NO_ANSWER)

    @rule()
    def land(self) -> None:
        outcomes = self.table.land_held()
        expected = [self.predict(change) for change in self.held]
        assert [outcome.status for outcome in outcomes] == expected
        self.held.clear()

    def predict(self, change: Change) -> WriteStatus:
        name = change.key.name
        if change.expected != self.current[name]:
            gone = change.body is None and name not in self.model
            return WriteStatus.ABSENT if gone else WriteStatus.CONFLICT
        if change.body is None:
            if self.model.pop(name, None) is None:
                return WriteStatus.ABSENT
            self.last[name] += 1
            self.current[name] = 0
            return WriteStatus.DONE
        self.last[name] += 1
        self.current[name] = self.last[name]
        self.model[name] = change.body
        assert self.heard.pop() == name
        return WriteStatus.DONE

    @invariant()
    def agrees(self) -> None:
        assert self.table.names('kind') == tuple(sorted(self.model))
        assert not self.heard
        for name, version in self.current.items():
            found = self.table.read(self.key(name))
            if version:
                body = self.model[name]
                assert found == Record(ObjectVersion(version), 'nonce', body)
            else:
                assert found is None


@when('random changes, faults and late writes meet an object table')
def random_changes(context: Any) -> None:
    run_machine(TableMachine)


@then('the object table agreed with a simple model')
def agreed(context: Any) -> None:
    """A disagreement has failed the machine's run."""


@given('an object API daemon with a watch that waits for half an hour')
def watched(context: Any) -> None:
    context.wait = dt.timedelta(minutes=30)


@when('the object API daemon is stopped after a second')
def stop_watched(context: Any) -> None:
    async def whole() -> None:
        clock = virtual_clock()
        daemon = object_api.ObjectApiDaemon.from_config(
            ObjectApiSettings(listen=LISTEN, token=TOKEN), clock
        )
        client = HttpClient(clock)
        store = HttpObjectStore.from_config(
            SETTINGS, client, clock, random.Random(1)
        )
        await daemon.start()
        watch = asyncio.create_task(
            store.watch('config', 'current', ABSENT, context.wait)
        )
        await asyncio.sleep(1)
        started = clock.elapsed()
        await daemon.stop()
        context.stop_took = clock.elapsed() - started
        context.watch = await watch
        await daemon.start()
        watch = asyncio.create_task(
            store.watch('config', 'current', ABSENT, context.wait)
        )
        await asyncio.sleep(1)
        await store.write('config', 'current', b'1', ABSENT)
        context.watch_again = await watch
        await client.close()
        await daemon.stop()

    run_virtual(whole())


@then('the watch ended with no change and the stop took under a second')
def ended(context: Any) -> None:
    assert context.watch.problem is StoreProblem.NO_CHANGE
    assert context.stop_took < dt.timedelta(seconds=1)


@then('the object API daemon can be started again and be watched')
def again(context: Any) -> None:
    assert isinstance(context.watch_again, StoredObject)


@given('a VM list daemon with the VM "{vm}" and a lag of {lag:d} seconds')
def vm_daemon(context: Any, vm: str, lag: int) -> None:
    context.vm_settings = VmListSettings(
        listen=LISTEN,
        token=TOKEN,
        lag_ms=lag * 1000,
        vms=(VmSettings(vm=VmId(vm)),),
    )


@when('the VM "{vm}" is said to be leaving')
def leaving(context: Any, vm: str) -> None:
    async def whole() -> None:
        clock = virtual_clock()
        daemon = vm_list.VmListDaemon.from_config(context.vm_settings, clock)
        client = HttpClient(clock)
        listed = HttpVmList.from_config(
            SETTINGS, client, clock, random.Random(1)
        )
        await daemon.start()
        await asyncio.sleep(10)
        response: Any = await client.send(
            ClientRequest(
                address=LISTEN,
                method='PUT',
                target=f'/vms/{vm}',
                headers=Headers.of([('authorization', f'Bearer {TOKEN}')]),
                body=b'{"state": "leaving"}',
                timeout=dt.timedelta(seconds=1),
            )
        )
        assert response.status == 200, response
        context.states = []
        for seconds in (1, 2):
            await asyncio.sleep(seconds)
            found = await listed.fetch()
            assert not isinstance(found, StoreFailure), found
            context.states.extend(record.state for record in found.records)
        await client.close()
        await daemon.stop()

    run_virtual(whole())


@then('the VM list\'s client sees "live" after 1 second and "leaving" after 3')
def lagged(context: Any) -> None:
    assert context.states == [VmState.LIVE, VmState.LEAVING]


@given('a VM list whose answers have the versions {versions}')
def vm_versions(context: Any, versions: str) -> None:
    context.versions = [int(text) for text in versions.split(', ')]


class ScriptedClient:
    """Answers with one VM list after the other."""

    def __init__(self, versions: list[int]) -> None:
        self._versions = iter(versions)

    async def send(self, request: ClientRequest) -> Any:
        answer = vm_list.VmAnswer(next(self._versions), ())
        return response_of(200, (), msgspec.json.encode(answer))

    async def close(self) -> None:
        """Hold nothing."""


@when("the VM list's client fetches them all")
def fetch_all(context: Any) -> None:
    async def whole() -> None:
        listed = HttpVmList.from_config(
            SETTINGS,
            ScriptedClient(context.versions),
            virtual_clock(),
            random.Random(1),
        )
        fetched = [await listed.fetch() for _ in context.versions]
        context.taken = [
            item.version
            for item in fetched
            if not isinstance(item, StoreFailure)
        ]

    run_virtual(whole())


@then("the VM list's client took the versions {versions}")
def taken(context: Any, versions: str) -> None:
    assert context.taken == [int(text) for text in versions.split(', ')]


@given(
    'a weight store daemon for {loads:d} loads at once'
    ' of {seconds:d} seconds each'
)
def weight_daemon(context: Any, loads: int, seconds: int) -> None:
    context.weight_settings = WeightStoreSettings(
        listen=LISTEN,
        token=TOKEN,
        bytes_per_second=SIZE_BYTES // seconds,
        max_loads=loads,
    )


@when('a version is published, published again and published otherwise')
def publish(context: Any) -> None:
    async def load(client: HttpClient) -> tuple[int, str]:
        response: Any = await client.send(
            ClientRequest(
                address=LISTEN,
                method='POST',
                target=f'/weights/{SERVICE}/{VERSION}/load',
                headers=Headers.of([('authorization', f'Bearer {TOKEN}')]),
                timeout=dt.timedelta(seconds=10),
            )
        )
        await response.read_body(1000)
        return response.status, response.headers.first('retry-after-ms')

    async def whole() -> None:
        clock = virtual_clock()
        daemon = weight_store.WeightStoreDaemon.from_config(
            context.weight_settings, clock
        )
        client = HttpClient(clock)
        store = HttpWeightStore.from_config(
            SETTINGS, client, clock, random.Random(1)
        )
        await daemon.start()
        context.described = [await store.describe(SERVICE, VERSION)]
        for size_bytes in (SIZE_BYTES, SIZE_BYTES, 1):
            context.described.append(
                await store.publish(SERVICE, VERSION, size_bytes)
            )
        context.described.append(await store.describe(SERVICE, VERSION))
        context.loads = await asyncio.gather(*(load(client) for _ in '123'))
        await client.close()
        await daemon.stop()

    run_virtual(whole())


@then("the weight store's client saw it published once, then a conflict")
def published(context: Any) -> None:
    absent, *published_as, otherwise, found = context.described
    assert absent.problem is StoreProblem.NOT_FOUND
    assert published_as == [found, found]
    assert (found.service, found.version) == (SERVICE, VERSION)
    assert found.size_bytes == SIZE_BYTES
    assert otherwise.problem is StoreProblem.CONFLICT


@then(
    'of 3 loads at once {served:d} were served'
    ' and 1 told to come back in {seconds:d} seconds'
)
def loads_bounded(context: Any, served: int, seconds: int) -> None:
    statuses = [status for status, _ in context.loads]
    assert statuses.count(200) == served, statuses
    assert statuses.count(429) == 1, statuses
    waits = [int(wait) for _, wait in context.loads if wait]
    assert len(waits) == 1
    assert 0 <= seconds * 1000 - waits[0] < 50, waits
