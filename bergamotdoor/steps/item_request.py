"""The request that runs an item at an engine."""

from __future__ import annotations

import datetime as dt
from typing import Final

import msgspec

from bergamotdoor.calls.fingerprint import request_fingerprint
from bergamotdoor.calls.manifest import Route
from bergamotdoor.fleet.upstreams import Upstream
from bergamotdoor.http.messages import ClientRequest, Headers
from bergamotdoor.jobs.messages import ItemSpec, JobSpec
from bergamotdoor.jobs.progress import Progress
from bergamotdoor.jobs.transcript import Transcript
from bergamotdoor.platform import headers as names
from bergamotdoor.types import Fingerprint

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
    fingerprint: Fingerprint
    transcript: Transcript
    progress: Progress


def item_fingerprint(job: JobSpec, spec: ItemSpec) -> Fingerprint:
    """Return the fingerprint of the request that an item makes.

    It identifies a request across retries and across items. Engines read the
    prompt from the parts that the prompt header names, so items with the same
    path and prompt are the same request, whatever their ids and bodies are.
    Without that header the body identifies the request.
    """
    prompt = next(
        (text for name, text in spec.headers if name.lower() == names.PROMPT),
        '',
    )
    content = prompt.encode() if prompt else spec.body
    return request_fingerprint('POST', job.host, spec.path, content)


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
