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

_READS: Final[Mapping[str, Outcome]] = MappingProxyType(
    {'refuses reads': Outcome.NOT_DONE, 'loses reads': Outcome.UNCLEAR}
)
_SPEC: Final = JobSpec(
    JobId(JOB), 'lab.example', '/roll/j1', ModelId('m'), WeightVersion(1), ()
)
_RECORD: Final = JobRecord(NodeId('entry-0'), at(9000), 1, 0)


class Objects:
    """Takes the job's parts, and has its record."""

    def __init__(self, reads: Outcome) -> None:
        self._reads = reads

    async def create(
        self, kind: str, name: str, spec: bytes
    ) -> StoredObject | Conflict:
        if kind == JOB_KIND:
            return Conflict(None)
        return StoredObject(name, Revision(1), spec)

    async def get(self, *_: str) -> Outcome:
        return self._reads


@given('a store that has a job, shows none in conflicts and {reads}')
def has_job(context: Any, reads: str) -> None:
    context.store = JobStore(cast('Any', Objects(_READS[reads])))


@when('the job is handed in')
def handed(context: Any) -> None:
    context.found = asyncio.run(context.store.submit(_SPEC, _RECORD))


@then('it is not known whether it is kept')
def not_known(context: Any) -> None:
    assert context.found is Outcome.UNCLEAR, context.found
