"""Runs one item of a batch job at one engine."""

from __future__ import annotations

import logging
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from bergamotdoor import utils
from bergamotdoor.http.messages import BodyBrokenError, ClientResponse
from bergamotdoor.http.sending import send
from bergamotdoor.jobs.event_stream import EventReader
from bergamotdoor.jobs.item_queue import RunEnd
from bergamotdoor.jobs.messages import ItemResult, ItemState
from bergamotdoor.platform import headers as names
from bergamotdoor.steps.item_outcome import record_outcome
from bergamotdoor.steps.item_request import MAX_SILENCE, item_request
from bergamotdoor.tasks import in_slices
from bergamotdoor.types import WeightVersion

if TYPE_CHECKING:
    import datetime as dt
    from collections.abc import Iterator

    from bergamotdoor.entry.context import Context
    from bergamotdoor.jobs.transcript import GeneratedEvent
    from bergamotdoor.steps.item_request import ItemRun

#: Limit of a run's stream. A result has a megabyte of text at most, and its
#: events add their numbers.
_MAX_STREAM_BYTES: Final = 8_388_608

_log = logging.getLogger('bergamotdoor.gateway')


async def run_item(context: Context, run: ItemRun) -> ItemResult | RunEnd:
    """Run an item at an engine, or continue it there, and record the outcome.

    Parameters
    ----------
    context
        Services of the process.
    run
        The item, the engine and the item's transcript, to which the events of
        the engine are appended.

    Returns
    -------
    ItemResult or RunEnd
        The completed text, or the reason why there is none.
    """
    load = context.loads.of(run.upstream.upstream)
    sent_at = context.clock.elapsed()
    end = await _run_at_engine(context, run)
    took = context.clock.elapsed() - sent_at
    _log.info(
        'gateway: item %s of job %s at %s: %s after %d ms, %d events, '
        '%d in flight',
        run.spec.item,
        run.job.job,
        run.upstream.upstream,
        end.value if isinstance(end, RunEnd) else end.state.value,
        utils.to_ms(took),
        run.transcript.event_count,
        load.in_flight,
    )
    record_outcome(context, run, end, took)
    return end


async def _run_at_engine(context: Context, run: ItemRun) -> ItemResult | RunEnd:
    response = await send(context.client, item_request(run))
    if not isinstance(response, ClientResponse):
        _log.info(
            'gateway: item %s at %s: %s',
            run.spec.item,
            run.upstream.upstream,
            response.detail,
        )
        return RunEnd.BROKEN if response.sent else RunEnd.UNREACHED
    end = (
        RunEnd.BROKEN
        if _is_misplaced(run, response)
        else _rejection(run, response)
    )
    if end is None:
        end = _process_head(context, run, response)
    if end is not None:
        await response.body.aclose()  # type: ignore[attr-defined]
        return end
    return await _read_stream(context, run, response)


def _is_misplaced(run: ItemRun, response: ClientResponse) -> bool:
    """Return whether a response belongs to another request."""
    item = run.spec.item
    return response.headers.first(names.REQUEST_ID, item) != item


def _rejection(run: ItemRun, response: ClientResponse) -> RunEnd | None:
    """Return the end of a run whose response isn't 200, else ``None``."""
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


def _process_head(
    context: Context, run: ItemRun, response: ClientResponse
) -> RunEnd | None:
    """Record the load and weight version that a response's head reports.

    Returns
    -------
    RunEnd or None
        The end of the run if its events must not be read, else ``None``.
    """
    fields = response.headers
    reported = names.parse_load(fields.first(names.LOAD))
    load = context.loads.of(run.upstream.upstream)
    load.record_acceptance(context.clock.elapsed())
    if reported is not None:
        load.record_report(reported, context.clock.elapsed())
    text = fields.first(names.WEIGHT_VERSION)
    if not text.isdecimal():
        return RunEnd.BROKEN
    version = WeightVersion(int(text))
    context.fleet.record_version(run.upstream.upstream, run.job.model, version)
    if version < run.job.min_version:
        return RunEnd.OUTDATED
    run.transcript.begin_run(version)
    return None


async def _read_stream(
    context: Context, run: ItemRun, response: ClientResponse
) -> ItemResult | RunEnd:
    """Read the event stream of a response into the item's transcript."""
    reader = EventReader(names.WEIGHT_VERSION)
    bounds = _StreamBounds(context.clock.elapsed())
    try:
        async for piece in response.body:
            added = await _add_events(context, run, reader.feed(piece))
            bounds.check(len(piece), added, context.clock.elapsed())
        reader.check_end()
    except (BodyBrokenError, ValueError) as error:
        await response.body.aclose()  # type: ignore[attr-defined]
        _log.info(
            'gateway: item %s at %s: the stream broke off: %s',
            run.spec.item,
            run.upstream.upstream,
            error,
        )
        return RunEnd.BROKEN
    if not run.transcript.has_accepted_versions(
        run.job.min_version, run.route.single_version
    ):
        return RunEnd.TOO_OLD
    return ItemResult(
        run.spec.item,
        ItemState.COMPLETED,
        run.transcript.text,
        run.transcript.versions,
    )


async def _add_events(
    context: Context, run: ItemRun, events: Iterator[GeneratedEvent]
) -> int:
    """Append events to the item's transcript; return how many there were.

    Raises
    ------
    BodyBrokenError
        If the number of an event isn't the next one.
    """
    added = 0
    async for event in in_slices(events):
        added += 1
        if not run.transcript.add(event):
            raise BodyBrokenError(f'event {event.number} out of order')
        if event.version is not None:
            context.fleet.record_version(
                run.upstream.upstream, run.job.model, event.version
            )
    run.progress.advance(run.transcript.event_count, context.clock.elapsed())
    return added


class _StreamBounds:
    """Bounds on the time and size of a stream that never ends.

    Failure: a broken engine sends bytes without end. Symptom: the item is
    never placed at another engine, and its text fills the memory. Pauses in
    the stream are bounded by the HTTP client.

    Parameters
    ----------
    began_at
        Monotonic time at which the stream began.
    """

    def __init__(self, began_at: dt.timedelta) -> None:
        self._last_event_at = began_at
        self._received_bytes = 0

    def check(
        self, received_bytes: int, events: int, now: dt.timedelta
    ) -> None:
        """Check the bounds after a piece of the stream.

        Parameters
        ----------
        received_bytes
            Length of the piece.
        events
            How many events it completes.
        now
            The monotonic time.

        Raises
        ------
        BodyBrokenError
            If the stream is too long, or completes no event for too long.
        """
        self._received_bytes += received_bytes
        if events:
            self._last_event_at = now
        if self._received_bytes > _MAX_STREAM_BYTES:
            raise BodyBrokenError(f'more than {_MAX_STREAM_BYTES} bytes')
        if now - self._last_event_at > MAX_SILENCE:
            raise BodyBrokenError(f'no event in {MAX_SILENCE}')
