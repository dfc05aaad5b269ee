"""Run the features in parallel; the output ends with ``N passed, N failed``.

Each feature file runs in a process of its own, so that features share no state
and a whole run is short. Scenarios that are listed in KNOWN-RED.txt (one line
each: scenario; cause; issue) are run and printed, but their failures do not
make the run fail.
"""

from __future__ import annotations

import contextlib
import io
import multiprocessing
import os
import pathlib
import sys
import time
from concurrent.futures import ProcessPoolExecutor, as_completed
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

KNOWN_RED = pathlib.Path('KNOWN-RED.txt')
MOST_KNOWN_RED = 3
MOST_PROCESSES = 10
PASSED = 'passed'


class ScenarioResult(msgspec.Struct, frozen=True):
    """Result of one scenario; `status` is the name of behave's status."""

    location: str
    name: str
    status: str


class FeatureResult(msgspec.Struct, frozen=True):
    """Results of one feature file."""

    path: str
    scenarios: tuple[ScenarioResult, ...]
    #: Whether behave reported a failure or could not load the file.
    broke: bool
    #: Output of behave.
    output: str
    #: Duration of the run.
    took_s: float


def run_feature(path: str) -> FeatureResult:
    """Run one feature file in this process."""
    # Imported here, as the parent process does not need behave.
    from behave.configuration import Configuration
    from behave.parser import ParserError
    from behave.runner import Runner
    from behave.step_registry import AmbiguousStep

    began_s = time.monotonic()
    captured = io.StringIO()
    with (
        contextlib.redirect_stdout(captured),
        contextlib.redirect_stderr(captured),
    ):
        runner = Runner(
            Configuration(['--no-capture', '--format=plain', path]),
        )
        try:
            broke = runner.run()
        except (ParserError, AmbiguousStep) as error:
            # Neither exception could be sent to the parent process.
            captured.write(f'{error}\n')
            broke = True
    scenarios = tuple(
        ScenarioResult(str(item.location), item.name, item.status.name)
        for feature in runner.features
        for item in feature.walk_scenarios()
    )
    took_s = time.monotonic() - began_s
    return FeatureResult(path, scenarios, broke, captured.getvalue(), took_s)


def feature_files(arguments: Iterable[str]) -> Iterator[str]:
    """Yield the feature files that the arguments name.

    Parameters
    ----------
    arguments
        Paths of feature files, and of folders with feature files.
    """
    for argument in arguments:
        path = pathlib.Path(argument)
        if path.is_dir():
            yield from sorted(str(file) for file in path.glob('*.feature'))
        else:
            yield argument


def run_all(paths: list[str]) -> list[FeatureResult]:
    """Run the files in parallel, at most one for each processor."""
    workers = min(MOST_PROCESSES, os.cpu_count() or 1, len(paths))
    with ProcessPoolExecutor(
        max_workers=workers,
        mp_context=multiprocessing.get_context('spawn'),
        max_tasks_per_child=1,
    ) as pool:
        futures = [pool.submit(run_feature, path) for path in paths]
        results = []
        for future in as_completed(futures):
            result = future.result()
            show(result)
            results.append(result)
    return results


def show(found: FeatureResult) -> None:
    """Print one line for a feature, and its output if it failed."""
    passed = sum(item.status == PASSED for item in found.scenarios)
    print(f'{found.path}: {passed} of {len(found.scenarios)}', flush=True)
    print(f'{found.path}: {found.took_s:.1f} s', file=sys.stderr)
    if found.broke:
        print(found.output, flush=True)


def known_red() -> set[str]:
    """Return the names of the scenarios listed in KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    names = {line.split(';')[0].strip() for line in lines if line.strip()}
    if len(names) > MOST_KNOWN_RED:
        sys.exit(f'{KNOWN_RED}: {len(names)} lines, at most {MOST_KNOWN_RED}')
    return names


def is_green(features: list[FeatureResult]) -> bool:
    """Print the failed scenarios and the totals; return whether all is green.

    A run is green if at least one scenario passed, and all failed ones are
    listed in KNOWN-RED.txt.
    """
    known_names = known_red()
    scenarios = [item for feature in features for item in feature.scenarios]
    red = [item for item in scenarios if item.status != PASSED]
    for scenario in red:
        mark = 'KNOWN RED' if scenario.name in known_names else 'RED'
        print(f'{mark}: {scenario.location} {scenario.name}')
    # If a step file fails to load, behave fails without a failed scenario.
    broken = [
        feature.path
        for feature in features
        if feature.broke
        and all(item.status == PASSED for item in feature.scenarios)
    ]
    for path in broken:
        print(f'BROKEN: {path}')
    passed = len(scenarios) - len(red)
    failed = len(red) + len(broken)
    print(f'{passed} passed, {failed} failed')
    unknown = [item for item in red if item.name not in known_names]
    return passed > 0 and not unknown and not broken


def main() -> int:
    """Run the features named on the command line, or all features."""
    paths = list(feature_files(sys.argv[1:] or ['features']))
    return 0 if is_green(run_all(paths)) else 1


if __name__ == '__main__':
    sys.exit(main())
