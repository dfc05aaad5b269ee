"""Steps for bergamotdoor.objects.job_store."""

from __future__ import annotations

import asyncio
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final, cast

from behave import given, then, when

from bergamotdoor.jobs.messages import JobRecord, JobSpec
from bergamotdoor.objects.job_names import JOB_KIND
from bergamotdoor.objects.job_store import JobStore
from bergamotdoor.stored import Conflict, Outcome, StoredObject
from bergamotdoor.types import JobId, ModelId, NodeId, Revision, WeightVersion
from features.job_scenes import JOB
from lab.site import at

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


@given('a store with the job that omits it from conflicts and {reads}')
def store_with_job(context: Any, reads: str) -> None:
    context.store = JobStore(
        cast('Any', ConflictingStore(_READ_OUTCOMES[reads]))
    )


@when('the job is submitted to this store')
def submit_job(context: Any) -> None:
    context.outcome = asyncio.run(context.store.submit(_SPEC, _RECORD))


@then('the outcome of the submission is unclear')
def is_unclear(context: Any) -> None:
    assert context.outcome is Outcome.UNCLEAR, context.outcome
