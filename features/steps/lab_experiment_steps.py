"""Steps for experiments, their reports and their scenario files."""

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
CHANGED_CONSTANT = 'bergamotdoor.jobs.progress._LEAST_RATIO'


@given('a load in which an engine turns slow at {slow_at_s:d} s')
def define_load(context: Any, slow_at_s: int) -> None:
    context.load = Scenario(
        name='moves',
        duration_s=12,
        engines=3,
        groups=4,
        slow_at_s=slow_at_s,
        slow_factor=4,
    )


@when('it is run with items that may move, and with items that stay')
def run_both(context: Any) -> None:
    context.ratio = progress._LEAST_RATIO
    stays = msgspec.structs.replace(
        context.load, name='stays', changes={CHANGED_CONSTANT: 1000}
    )
    context.measured = [
        run_scenario(context.load, SEED),
        run_scenario(stays, SEED),
    ]


@then('steps with items that may move are at least a quarter faster')
def is_faster(context: Any) -> None:
    moves_s, stays_s = (
        statistics.fmean(measurement.steps_s)
        for measurement in context.measured
    )
    assert moves_s < stays_s * 0.75, (moves_s, stays_s)


@then('the changed constant has its previous value again')
def is_restored(context: Any) -> None:
    assert progress._LEAST_RATIO == context.ratio


@then('two runs of one seed measure the same')
def measures_same(context: Any) -> None:
    first, second = (run_scenario(context.load, SEED) for _ in range(2))
    assert first.steps_s == second.steps_s, (first.steps_s, second.steps_s)
    assert first.calls_ms == second.calls_ms


@then('its report names both scenarios in JSON and HTML')
def report_names_both(context: Any) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder)
        write_report(path, context.measured)
        page = (path / 'report.html').read_text()
        measured = (path / 'measured.json').read_text()
    for name in ('moves', 'stays'):
        assert name in page
        assert name in measured


@then('the scenario file {text} is rejected with an error that names {field}')
def is_rejected(_: Any, text: str, field: str) -> None:
    with tempfile.NamedTemporaryFile('w') as file:
        file.write(text)
        file.flush()
        try:
            load_scenario(file.name)
        except SettingsError as error:
            assert field in str(error), error
            return
    raise AssertionError('the file was accepted')
