"""Runs one item of a batch job at one engine."""

from __future__ import annotations

import datetime as dt
import logging
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.calls.manifest import Route
from bergamotdoor.fleet.upstreams import Upstream
from bergamotdoor.http.messages import (
    BodyBrokenError,
    ClientRequest,
    ClientResponse,
    Headers,
)
from bergamotdoor.jobs.board import RunEnd
from bergamotdoor.jobs.messages import ItemResult, ItemSpec, ItemState, JobSpec
from bergamotdoor.jobs.progress import Progress
from bergamotdoor.jobs.transcript import Transcript
from bergamotdoor.platform import headers as names
from bergamotdoor.platform.engines import parse_load
from bergamotdoor.platform.events import EventReader
from bergamotdoor.types import WeightVersion
from bergamotdoor.utils import to_ms

if TYPE_CHECKING:
    from bergamotdoor.gateway.context import Context

#: The longest pause between two pieces of a stream, and the longest wait
#: for its first. Engines under load pause for a few hundred milliseconds;
#: one that stays silent for longer hangs, and its items are needed by then.
SILENCE: Final = dt.timedelta(seconds=2)

_log = logging.getLogger('bergamotdoor.gateway')


class ItemRun(msgspec.Struct, frozen=True):
    """An item, where to run it, and what it has so far."""

    job: JobSpec
    spec: ItemSpec
    route: Route
    upstream: Upstream
    transcript: Transcript
    progress: Progress


async def run_item(context: Context, run: ItemRun) -> ItemResult | RunEnd:
    """Run an item, or go on with it, at an engine."""
    load = context.loads.of(run.upstream.upstream)
    began = context.clock.elapsed()
    end = await _run(context, run)
    now = context.clock.elapsed()
    _log.info(
        'gateway: item %s of job %s at %s: %s after %d ms, %d in flight',
        run.spec.item,
        run.job.job,
        run.upstream.upstream,
        end.value if isinstance(end, RunEnd) else end.state.value,
        to_ms(now - began),
        load.in_flight,
    )
    if end is RunEnd.REFUSED:
        load.refused(now)
    elif end is RunEnd.REPLACED:
        context.fleet.replaced(run.upstream.upstream)
    elif end is RunEnd.BROKEN or end is RunEnd.FAILED:
        load.failed(now)
    elif isinstance(end, ItemResult):
        load.failures = 0
    return end


async def _run(context: Context, run: ItemRun) -> ItemResult | RunEnd:
    response = await context.client.send(_request(run))
    if not isinstance(response, ClientResponse):
        _log.info(
            'gateway: item %s at %s: %s',
            run.spec.item,
            run.upstream.upstream,
            response.detail,
        )
        return RunEnd.BROKEN
    end = _refused(run, response)
    if end is None:
        end = _begin(context, run, response)
    if end is not None:
        await response.body.aclose()  # type: ignore[attr-defined]
        return end
    return await _read(context, run, response)


def _refused(run: ItemRun, response: ClientResponse) -> RunEnd | None:
    status = response.status
    if status == HTTPStatus.OK:
        return None
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        return RunEnd.REPLACED
    if status == HTTPStatus.UNPROCESSABLE_ENTITY:
        return RunEnd.IMPOSSIBLE
    if response.headers.first(names.NOT_RUN):
        return RunEnd.REFUSED
    if status == HTTPStatus.INTERNAL_SERVER_ERROR:
        return RunEnd.FAILED
    return RunEnd.BROKEN


def _begin(
    context: Context, run: ItemRun, response: ClientResponse
) -> RunEnd | None:
    fields = response.headers
    if fields.first(names.REQUEST_ID, run.spec.item) != run.spec.item:
        return RunEnd.BROKEN
    told = parse_load(fields.first(names.LOAD))
    load = context.loads.of(run.upstream.upstream)
    load.accepted(context.clock.elapsed())
    if told is not None:
        load.told(told.running + told.waiting, context.clock.elapsed())
    text = fields.first(names.WEIGHT_VERSION)
    if not text.isdecimal():
        return RunEnd.BROKEN
    version = WeightVersion(int(text))
    context.fleet.saw(run.upstream.upstream, run.job.model, version)
    if version < run.job.min_version:
        return RunEnd.TOO_OLD
    run.transcript.begin_run(version)
    return None


async def _read(
    context: Context, run: ItemRun, response: ClientResponse
) -> ItemResult | RunEnd:
    reader = EventReader()
    try:
        async for piece in response.body:
            for event in reader.feed(piece):
                if not run.transcript.add(event):
                    raise BodyBrokenError(f'event {event.number} out of order')
                if event.version is not None:
                    context.fleet.saw(
                        run.upstream.upstream, run.job.model, event.version
                    )
            run.progress.advance(run.transcript.count, context.clock.elapsed())
        reader.check_end()
    except (BodyBrokenError, ValueError) as error:
        await response.body.aclose()  # type: ignore[attr-defined]
        _log.info(
            'gateway: item %s at %s broke off: %s',
            run.spec.item,
            run.upstream.upstream,
            error,
        )
        return RunEnd.BROKEN
    if not run.transcript.fits(run.job.min_version, run.route.single_version):
        return RunEnd.TOO_OLD
    return ItemResult(
        run.spec.item,
        ItemState.COMPLETED,
        run.transcript.text,
        run.transcript.versions,
    )


def _request(run: ItemRun) -> ClientRequest:
    fields = [
        *run.spec.headers,
        ('host', run.job.host),
        (names.REQUEST_ID, run.spec.item),
        (names.EXPECT_INCARNATION, run.upstream.upstream),
    ]
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
