"""What is sent to an engine to run an item."""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.calls.fingerprint import fingerprint
from bergamotdoor.calls.manifest import Route
from bergamotdoor.fleet.upstreams import Upstream
from bergamotdoor.http.messages import ClientRequest, Headers
from bergamotdoor.jobs.messages import ItemSpec, JobSpec
from bergamotdoor.jobs.progress import Progress
from bergamotdoor.jobs.transcript import Transcript
from bergamotdoor.platform import headers as names

if TYPE_CHECKING:
    from bergamotdoor.types import Fingerprint

#: The longest pause between two pieces of a stream, and the longest wait
#: for its first. Engines under load pause for a few hundred milliseconds;
#: one that stays silent for longer hangs, and its items are needed by then.
SILENCE: Final = dt.timedelta(seconds=2)


class ItemRun(msgspec.Struct, frozen=True):
    """An item, where to run it, and what it has so far."""

    job: JobSpec
    spec: ItemSpec
    route: Route
    upstream: Upstream
    transcript: Transcript
    progress: Progress


def item_fingerprint(job: JobSpec, spec: ItemSpec) -> Fingerprint:
    """Return what stays the same when an item, or another like it, runs.

    Engines read the prompt by the parts that its header names, so items of
    one path and prompt are one request, under whatever ids and bodies they
    come. Without that header the body is what is asked.
    """
    prompt = next(
        (text for name, text in spec.headers if name.lower() == names.PROMPT),
        '',
    )
    asked = prompt.encode() if prompt else spec.body
    return fingerprint('POST', job.host, spec.path, asked)


def item_request(run: ItemRun) -> ClientRequest:
    """Return the request that begins an item, or goes on with it."""
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
        timeout=SILENCE,
        close_ends_body=True,
    )
