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

SLACK = dt.timedelta(seconds=0.1)
EPOCH = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)


class Lines(logging.Handler):
    """Writes what is logged as processes do, by the time of the loop."""

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


def log_of(lengths: list[int], slow_at_s: float | None = None) -> list[str]:
    """Return what is logged while a step runs; its first engine may slow."""

    async def turn_slow(site: Site, at_s: float) -> None:
        await asyncio.sleep(at_s)
        site.engines['engine-0'].event_s = 0.2

    async def scene(site: Site) -> list[str]:
        await site.start(engines=2)
        handler = Lines()
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
    context.lines = log_of([60, 20, 20])


@given('the log of a step whose longest item moved to another engine')
def moved_step(context: Any) -> None:
    context.lines = log_of([60, 60, 20], slow_at_s=1)


@given("lines that are no JSON, cut off, or another program's")
def noise(context: Any) -> None:
    cut = [line[: len(line) // 2] for line in context.lines]
    others = ['', 'gateway: {', '{"message": 3}', '{"a": "gateway: job j"}']
    context.lines = [*cut, *others, *context.lines]


@when('its anatomy is asked for')
def asked(context: Any) -> None:
    events = list(read_events(context.lines))
    context.pace_s = usual_pace_s(events)
    steps = list(gather_steps(events))
    assert len(steps) == 1, steps
    context.step = steps[0]


@then('its times stand in order, from the first item to its end')
def in_order(context: Any) -> None:
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
def floor(context: Any) -> None:
    found = context.step.floor(context.pace_s)
    assert abs(found - dt.timedelta(seconds=2.4)) <= SLACK, found
    late = context.step.last_text - found
    assert late <= 3 * SLACK, late


@then('the timeline of its slowest item is one run of 60 events')
def one_run(context: Any) -> None:
    drawn = list(timeline(context.step))
    assert len(drawn) == 1, drawn
    assert 'completed, 60 events' in drawn[0], drawn


@then('the timeline of its slowest item shows why it left')
def why_left(context: Any) -> None:
    drawn = list(timeline(context.step))
    assert len(drawn) == 2, drawn
    assert 'left, slow' in drawn[0], drawn
    assert 'completed, 60 events' in drawn[1], drawn


@given('a log without a step')
def no_step(context: Any) -> None:
    context.lines = ['nothing']


@when('the command is run on it')
def command(context: Any) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'log'
        path.write_text('\n'.join(context.lines))
        said = io.StringIO()
        with contextlib.redirect_stderr(said):
            context.code = main(['anatomy', str(path)])
    context.said = said.getvalue()


@then('it says so and exits with 1')
def says_so(context: Any) -> None:
    assert context.code == 1, context.code
    assert 'no step' in context.said, context.said
