"""Runs one item of a batch job at one engine."""

from __future__ import annotations

import logging
from http import HTTPStatus
from typing import TYPE_CHECKING

from bergamotdoor import utils
from bergamotdoor.forwarding.upstream_end import note_end
from bergamotdoor.http.messages import BodyBrokenError, ClientResponse
from bergamotdoor.http.sending import send
from bergamotdoor.jobs.board import RunEnd
from bergamotdoor.jobs.event_stream import EventReader
from bergamotdoor.jobs.messages import ItemResult, ItemState
from bergamotdoor.platform import headers as names
from bergamotdoor.steps.item_outcome import note_outcome
from bergamotdoor.steps.item_request import item_fingerprint, item_request
from bergamotdoor.types import WeightVersion

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bergamotdoor.entry.context import Context
    from bergamotdoor.jobs.transcript import GeneratedEvent
    from bergamotdoor.steps.item_request import ItemRun

_log = logging.getLogger('bergamotdoor.gateway')


async def run_item(context: Context, run: ItemRun) -> ItemResult | RunEnd:
    """Run an item, or go on with it, at an engine."""
    load = context.loads.of(run.upstream.upstream)
    began = context.clock.elapsed()
    fingerprint = item_fingerprint(run.job, run.spec)
    before = context.quarantine.strikes(fingerprint)
    end = await _run(context, run)
    now = context.clock.elapsed()
    _log.info(
        'gateway: item %s of job %s at %s: %s after %d ms, %d events, '
        '%d in flight',
        run.spec.item,
        run.job.job,
        run.upstream.upstream,
        end.value if isinstance(end, RunEnd) else end.state.value,
        utils.to_ms(now - began),
        run.transcript.count,
        load.in_flight,
    )
    note_outcome(context, run, end, now - began)
    if end is RunEnd.BROKEN:
        await note_end(context, run.upstream, fingerprint, before)
    elif isinstance(end, ItemResult):
        context.quarantine.completed(fingerprint)
    return end


async def _run(context: Context, run: ItemRun) -> ItemResult | RunEnd:
    response = await send(context.client, item_request(run))
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
    told = names.parse_load(fields.first(names.LOAD))
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
        return RunEnd.OUTDATED
    run.transcript.begin_run(version)
    return None


async def _read(
    context: Context, run: ItemRun, response: ClientResponse
) -> ItemResult | RunEnd:
    reader = EventReader(names.WEIGHT_VERSION)
    try:
        async for piece in response.body:
            _take(context, run, reader.feed(piece))
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


def _take(
    context: Context, run: ItemRun, events: Iterator[GeneratedEvent]
) -> None:
    for event in events:
        if not run.transcript.add(event):
            raise BodyBrokenError(f'event {event.number} out of order')
        if event.version is not None:
            context.fleet.saw(
                run.upstream.upstream, run.job.model, event.version
            )
    run.progress.advance(run.transcript.count, context.clock.elapsed())
