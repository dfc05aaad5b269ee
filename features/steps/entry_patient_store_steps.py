"""Steps for bergamotdoor.entry.patient_store."""

from __future__ import annotations

import datetime as dt
from typing import Any

from behave import given, then, when

from bergamotdoor.entry.patient_store import PatientStore
from bergamotdoor.standins.memory_store import MemoryObjectStore
from bergamotdoor.standins.object_api import ObjectTable, Outage
from bergamotdoor.store.protocols import StoredObject, StoreFailure
from bergamotdoor.types import ABSENT
from features.support import run_virtual, virtual_clock

TIMEOUT = dt.timedelta(seconds=30)
OPERATIONS = {
    'read': lambda store: store.read('claim', 'x'),
    'write': lambda store: store.write('claim', 'x', b'body', ABSENT),
    'delete': lambda store: store.delete('claim', 'x', ABSENT),
    'list': lambda store: store.names('claim'),
}


@given('the patient store of a platform that {how}')
def platform(context: Any, how: str) -> None:
    context.clock = virtual_clock()
    table = ObjectTable()
    if how == 'hangs':
        table.faults.outage = Outage.HANG
    memory = MemoryObjectStore(table, context.clock, TIMEOUT)
    context.store = PatientStore(memory)


@when('the patient store is asked to {operation}')
def ask(context: Any, operation: str) -> None:
    async def timed() -> None:
        began = context.clock.elapsed()
        context.found = await OPERATIONS[operation](context.store)
        context.took = context.clock.elapsed() - began

    run_virtual(timed())


@then('the patient store answered "{problem}" after 1 second')
def gave_up(context: Any, problem: str) -> None:
    assert isinstance(context.found, StoreFailure), context.found
    assert context.found.problem.value == problem, context.found
    assert context.took == dt.timedelta(seconds=1), context.took


@then('the patient store reads what was written')
def reads(context: Any) -> None:
    found = run_virtual(context.store.read('claim', 'x'))
    assert isinstance(found, StoredObject), found
    assert found.body == b'body'
