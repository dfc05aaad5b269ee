"""The request that runs an item at an engine."""

from __future__ import annotations

import datetime as dt
from typing import Final

import msgspec

from bergamotdoor.calls.manifest import Route
from bergamotdoor.fleet.upstreams import Upstream
from bergamotdoor.http.messages import ClientRequest, Headers
from bergamotdoor.jobs.messages import ItemSpec, JobSpec
from bergamotdoor.jobs.progress import Progress
from bergamotdoor.jobs.transcript import Transcript
from bergamotdoor.platform import headers as names

#: The longest pause between two pieces of a stream, and the longest wait for
#: the first piece. Engines under load pause for a few hundred milliseconds.
#: An engine that sends nothing for longer hangs, and after this time its
#: items have to run elsewhere.
MAX_SILENCE: Final = dt.timedelta(seconds=2)


class ItemRun(msgspec.Struct, frozen=True):
    """One run of an item: the engine, and the item's transcript so far."""

    job: JobSpec
    spec: ItemSpec
    route: Route
    upstream: Upstream
    transcript: Transcript
    progress: Progress


def item_request(run: ItemRun) -> ClientRequest:
    """Return the request that starts an item, or continues its stream."""
    fields = [
        *run.spec.headers,
        ('host', run.job.host),
        (names.REQUEST_ID, run.spec.item),
        (names.EXPECT_REGISTRATION, run.upstream.registration),
    ]
    if run.job.account:
        fields.append((names.ACCOUNT, run.job.account))
    if run.transcript.last_number is not None:
        fields.append((names.LAST_EVENT_ID, str(run.transcript.last_number)))
    return ClientRequest(
        address=run.upstream.address,
        method='POST',
        target=run.spec.path,
        headers=Headers.of(fields),
        body=run.spec.body,
        timeout=MAX_SILENCE,
        close_ends_body=True,
    )
