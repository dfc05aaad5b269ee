"""Steps for bergamotdoor.anatomy and its command."""

from __future__ import annotations

import asyncio
import contextlib
import datetime as dt
import io
import json
import logging
import tempfile
from pathlib import Path
from typing import Any

from behave import given, then, when

from bergamotdoor.anatomy import (
    gather_steps,
    read_events,
    timeline,
    usual_pace_s,
)
from bergamotdoor.cli.main import main
from features.steps.jobs_listing_steps import read_to_end
from lab.site import Site, play
from lab.wire import JobItem, job_body

TOLERANCE = dt.timedelta(seconds=0.1)
EPOCH = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)


class JsonLineHandler(logging.Handler):
    """Formats records as log lines of an entry, with the event loop's time."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        now_s = asyncio.get_running_loop().time()
        time = EPOCH + dt.timedelta(seconds=now_s)
        written = {
            'time': time.isoformat(),
            'process': 'entry-0',
            'message': record.getMessage(),
        }
        self.lines.append(f'  {now_s:.3f} entry-0 {json.dumps(written)}')


async def run_step(site: Site, lengths: list[int]) -> None:
    items = [
        JobItem(f'i{number}', length, f'g{number}', hint=length)
        for number, length in enumerate(lengths)
    ]
    body = job_body('/roll/', items, 1, len(items))
    reply = await site.ask('entry-0', 'POST', '/roll/j', body, Request_Id='j')
    assert reply is not None
    await read_to_end(site, 'j', len(items))
    await site.ask('entry-0', 'DELETE', '/-/lots/j')
    await asyncio.sleep(0.2)


def log_lines_of_step(
    lengths: list[int], slow_at_s: float | None = None
) -> list[str]:
    """Return the log lines of a step.

    Parameters
    ----------
    lengths
        The number of events of each item.
    slow_at_s
        The time after which the first engine becomes slow, in seconds;
        ``None`` if it does not.
    """

    async def turn_slow(site: Site, at_s: float) -> None:
        await asyncio.sleep(at_s)
        site.engines['engine-0'].event_s = 0.2

    async def scene(site: Site) -> list[str]:
        await site.start(engines=2)
        handler = JsonLineHandler()
        logger = logging.getLogger('bergamotdoor')
        logger.addHandler(handler)
        logger.setLevel(logging.INFO)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(run_step(site, lengths))
                if slow_at_s is not None:
                    group.create_task(turn_slow(site, slow_at_s))
        finally:
            logger.removeHandler(handler)
        return handler.lines

    found: list[str] = play(scene)
    return found


@given('the log of a step whose longest item has 60 events, read to its end')
def plain_step(context: Any) -> None:
    context.lines = log_lines_of_step([60, 20, 20])


@given('the log of a step whose longest item moved to another engine')
def moved_step(context: Any) -> None:
    context.lines = log_lines_of_step([60, 60, 20], slow_at_s=1)


@given('lines that are no JSON, truncated, or from another program')
def unrelated_lines(context: Any) -> None:
    truncated = [line[: len(line) // 2] for line in context.lines]
    others = ['', 'gateway: {', '{"message": 3}', '{"a": "gateway: job j"}']
    context.lines = [*truncated, *others, *context.lines]


@when('its anatomy is computed')
def compute_anatomy(context: Any) -> None:
    events = list(read_events(context.lines))
    context.event_interval_s = usual_pace_s(events)
    steps = list(gather_steps(events))
    assert len(steps) == 1, steps
    context.step = steps[0]


@then('its times are in order, from the first item to its end')
def check_order(context: Any) -> None:
    step = context.step
    times = [
        step.first_item,
        step.last_text,
        step.listed,
        step.shown,
        step.ended,
    ]
    assert None not in times, step
    assert times == sorted(times), times


@then('its floor is 2.4 s, and its last text at most 0.3 s later')
def check_floor(context: Any) -> None:
    floor = context.step.floor(context.event_interval_s)
    assert abs(floor - dt.timedelta(seconds=2.4)) <= TOLERANCE, floor
    excess = context.step.last_text - floor
    assert excess <= 3 * TOLERANCE, excess


@then('the timeline of its slowest item is one run of 60 events')
def check_single_run(context: Any) -> None:
    rows = list(timeline(context.step))
    assert len(rows) == 1, rows
    assert 'completed, 60 events' in rows[0], rows


@then('the timeline of its slowest item shows why it was moved')
def check_moved(context: Any) -> None:
    rows = list(timeline(context.step))
    assert len(rows) == 2, rows
    assert 'left, slow' in rows[0], rows
    assert 'completed, 60 events' in rows[1], rows


@given('a log without a step')
def log_without_step(context: Any) -> None:
    context.lines = ['nothing']


@when('the command is run on it')
def run_command(context: Any) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'log'
        path.write_text('\n'.join(context.lines))
        stderr = io.StringIO()
        with contextlib.redirect_stderr(stderr):
            context.code = main(['anatomy', str(path)])
    context.stderr = stderr.getvalue()


@then('it reports that there is no step and exits with 1')
def check_no_step(context: Any) -> None:
    assert context.code == 1, context.code
    assert 'no step' in context.stderr, context.stderr
