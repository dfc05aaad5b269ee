"""Steps for bergamotdoor.objects.job_store."""

from __future__ import annotations

import asyncio
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final, cast

from behave import given, then, when

from bergamotdoor.jobs.messages import JobRecord, JobSpec
from bergamotdoor.jobs.transcript import SavedTranscript
from bergamotdoor.objects.client import Answer, ObjectClient
from bergamotdoor.objects.job_codec import Checkpoint
from bergamotdoor.objects.job_names import JOB_KIND, parts_kind
from bergamotdoor.objects.job_store import JobStore
from bergamotdoor.platform import store_paths
from bergamotdoor.stored import Conflict, Outcome, StoredObject
from bergamotdoor.types import (
    ItemId,
    JobId,
    ModelId,
    NodeId,
    Revision,
    WeightVersion,
)
from features.job_scenes import JOB, submit_job
from lab.site import Site, at, play

if TYPE_CHECKING:
    from collections.abc import Mapping

_READ_OUTCOMES: Final[Mapping[str, Outcome]] = MappingProxyType(
    {
        'refuses reads': Outcome.NOT_DONE,
        'does not answer reads': Outcome.UNCLEAR,
    }
)
_SPEC: Final = JobSpec(
    JobId(JOB), 'lab.example', '/roll/j1', ModelId('m'), WeightVersion(1), ()
)
#: An item of the job that is submitted to a site.
ITEM: Final = f'{JOB}.0.0'
_RECORD: Final = JobRecord(NodeId('entry-0'), at(9000), 1, 0)


class ConflictingStore:
    """Object store that accepts parts, and already has the job's record."""

    def __init__(self, read_outcome: Outcome) -> None:
        self._read_outcome = read_outcome

    async def create(
        self, kind: str, name: str, spec: bytes
    ) -> StoredObject | Conflict:
        if kind == JOB_KIND:
            return Conflict(None)
        return StoredObject(name, Revision(1), spec)

    async def get(self, *_: str) -> Outcome:
        return self._read_outcome


class MisansweringCaller:
    """Transport to a store that answers creations of one kind strangely."""

    def __init__(self, kind: str, status: int) -> None:
        self._path = store_paths.kind_path(kind)
        self._answer = Answer(status, b'')
        #: Paths of the objects' kinds that were created.
        self.created: list[str] = []

    async def call(self, method: str, path: str, *rest: Any) -> Answer:
        if path == self._path:
            return self._answer
        self.created.append(path)
        return Answer(201, b'{"metadata":{"name":"x","rev":7},"spec":{}}')

    async def watch(self, *_: Any) -> Answer:
        return self._answer


@given('a store that answers {status:d} when {kind} is created')
def answer_creation(context: Any, status: int, kind: str) -> None:
    kinds = {'a part': parts_kind(JobId(JOB)), 'the record': JOB_KIND}
    context.caller = MisansweringCaller(kinds[kind], status)
    context.store = JobStore(ObjectClient(context.caller))


@then('the submission is refused, and the job has no record')
def refused_without_record(context: Any) -> None:
    assert context.outcome is Outcome.NOT_DONE, context.outcome
    assert not context.caller.created, context.caller.created


@given('a store with the job that omits it from conflicts and {reads}')
def store_with_job(context: Any, reads: str) -> None:
    context.store = JobStore(
        cast('Any', ConflictingStore(_READ_OUTCOMES[reads]))
    )


@when('the job is submitted to this store')
def submit_to_store(context: Any) -> None:
    context.outcome = asyncio.run(context.store.submit(_SPEC, _RECORD))


@then('the outcome of the submission is unclear')
def is_unclear(context: Any) -> None:
    assert context.outcome is Outcome.UNCLEAR, context.outcome


async def save_failures(
    site: Site, entry: str, term: int, failures: int
) -> None:
    """Have an entry save that an item has failed a number of times."""
    saved = SavedTranscript((), (), 0, failures=failures)
    store = site.entries[entry]._components.store
    checkpoint = Checkpoint({ItemId(ITEM): saved}, term)
    await store.save(JobId(JOB), checkpoint)


async def loaded_failures(site: Site) -> int:
    """Return how many failures of the item the next owner loads."""
    loaded = await site.entries['entry-1']._components.store.load(JobId(JOB))
    assert not isinstance(loaded, Outcome), loaded
    return loaded.partial[ItemId(ITEM)].failures


@given('a job whose first owner has saved an item with 1 failure')
def set_up_saves(context: Any) -> None:
    context.saves = None


@when('its second owner saves 2 failures, and then the first one 1 again')
def save_in_turn(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await submit_job(site, [[200]])
        await save_failures(site, 'entry-0', 1, 1)
        await save_failures(site, 'entry-1', 2, 2)
        await save_failures(site, 'entry-0', 1, 1)
        context.failures = await loaded_failures(site)

    play(scene)


@when('the store does not answer its save of 2 failures, and it saves 3')
def save_after_lost_answer(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await submit_job(site, [[200]])
        await save_failures(site, 'entry-0', 1, 1)
        site.store.write_faults.unanswered = 2
        await save_failures(site, 'entry-0', 1, 2)
        await save_failures(site, 'entry-0', 1, 3)
        context.failures = await loaded_failures(site)

    play(scene)


@then('the next owner loads the item with {count:d} failures')
def loads_failures(context: Any, count: int) -> None:
    assert context.failures == count, context.failures
