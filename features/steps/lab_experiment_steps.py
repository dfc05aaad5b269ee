"""Steps for lab.experiment, lab.report and lab.scenario."""

from __future__ import annotations

import pathlib
import statistics
import tempfile
from typing import Any

import msgspec
from behave import given, then, when

from bergamotdoor.jobs import progress
from bergamotdoor.settings.problems import SettingsError
from lab.experiment import run_scenario
from lab.report import write_report
from lab.scenario import Scenario, load_scenario

SEED = 1
CHANGED = 'bergamotdoor.jobs.progress._LEAST_RATIO'


@given('a load in which an engine turns slow at {slow_at_s:d} s')
def load(context: Any, slow_at_s: int) -> None:
    context.load = Scenario(
        name='moves',
        duration_s=12,
        engines=3,
        groups=4,
        slow_at_s=slow_at_s,
        slow_factor=4,
    )


@when('it is played with items that may move, and with items that stay')
def both(context: Any) -> None:
    context.ratio = progress._LEAST_RATIO
    stays = msgspec.structs.replace(
        context.load, name='stays', changes={CHANGED: 1000}
    )
    context.measured = [
        run_scenario(context.load, SEED),
        run_scenario(stays, SEED),
    ]


@then('steps with items that may move are at least a quarter faster')
def faster(context: Any) -> None:
    moves, stays = (statistics.fmean(one.steps_s) for one in context.measured)
    assert moves < stays * 0.75, (moves, stays)


@then('what was changed for the one is as before for the other')
def restored(context: Any) -> None:
    assert progress._LEAST_RATIO == context.ratio


@then('two runs of one seed measure the same')
def same(context: Any) -> None:
    first, second = (run_scenario(context.load, SEED) for _ in range(2))
    assert first.steps_s == second.steps_s, (first.steps_s, second.steps_s)
    assert first.calls_ms == second.calls_ms


@then('its report names both in JSON and HTML')
def report(context: Any) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder)
        write_report(path, context.measured)
        page = (path / 'report.html').read_text()
        written = (path / 'measured.json').read_text()
    for name in ('moves', 'stays'):
        assert name in page
        assert name in written


@then('the scenario file {text} is refused, naming {field}')
def refused(_: Any, text: str, field: str) -> None:
    with tempfile.NamedTemporaryFile('w') as file:
        file.write(text)
        file.flush()
        try:
            load_scenario(file.name)
        except SettingsError as error:
            assert field in str(error), error
            return
    raise AssertionError('the file was accepted')
