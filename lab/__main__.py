"""The commands of ``python -m lab``, from soak to model."""

from __future__ import annotations

import asyncio
import logging
import pathlib
import sys
from typing import TYPE_CHECKING, Final

import msgspec
from absl import app, flags

from bergamotdoor.settings.problems import SettingsError
from lab.contact_history import search_histories, summarize_histories
from lab.demo import demo
from lab.deployment import Size
from lab.experiment import run_scenario
from lab.faults import FAULT_SETS
from lab.help import COMMANDS, help_of, help_wanted
from lab.model.search import (
    search_seeds,
    search_small,
    search_submissions,
)
from lab.play import Outcome, soak
from lab.report import summarize, table, write_report
from lab.scenario import load_scenario

if TYPE_CHECKING:
    from collections.abc import Iterator


_EXPERIMENT: Final = 'experiment'
_MODEL: Final = 'model'
_DEFAULT_FAULT_S: Final = 12
_SEEDS: Final = flags.DEFINE_string(
    'seeds', '1-4', 'Seeds to play, such as 3, 1-50 or 2,5,9.'
)
_SECONDS: Final = flags.DEFINE_float(
    'seconds',
    _DEFAULT_FAULT_S,
    'How long faults come in each run.',
    lower_bound=0,
)
_JOBS: Final = flags.DEFINE_integer(
    'jobs', 4, 'How many runs go beside each other.', lower_bound=1
)
_ENTRIES: Final = flags.DEFINE_integer('entries', 3, 'Entries of a run.')
_ENGINES: Final = flags.DEFINE_integer('engines', 3, 'Engines of a run.')
_SERVICES: Final = flags.DEFINE_integer('services', 2, 'Services of a run.')
_GROUPS: Final = flags.DEFINE_integer('groups', 3, 'Groups of a step.')
_FAULTS: Final = flags.DEFINE_enum(
    'faults', 'all', list(FAULT_SETS), 'Which faults are drawn.'
)
_OUT: Final = flags.DEFINE_string(
    'out', '', 'Folder for the report of an experiment.'
)
_DEFAULT_STEPS: Final = 20
_STEPS: Final = flags.DEFINE_integer(
    'steps',
    _DEFAULT_STEPS,
    'Steps of each history that the model plays.',
    lower_bound=1,
)
_DEPTH: Final = flags.DEFINE_integer(
    'depth', 0, 'Play every history of so many steps, in place of seeds.'
)
_SUBMISSIONS: Final = flags.DEFINE_boolean(
    'submissions',
    False,
    'Play histories whose job is submitted by several attempts.',
)
_KNOWN_REFUSALS: Final = flags.DEFINE_boolean(
    'check_known_refusals',
    False,
    'Count a refusal by an entry that knows the job as a broken promise.',
)
_JSON: Final = flags.DEFINE_string('json', '', 'File for the outcomes.')


def main(words: list[str]) -> int:
    """Run the command that the arguments name.

    Parameters
    ----------
    words
        The command line, from the program's name on.

    Returns
    -------
    int
        The exit code: 1 if a promise was broken or a scenario file is
        invalid, 2 if the arguments are wrong, otherwise 0.
    """
    command, *files = words[1:] or ('',)
    if command not in COMMANDS or bool(files) != (command == _EXPERIMENT):
        sys.stderr.write(f'{help_of(words)}\n')
        return 2
    # The models use code of the product, which logs. The commands print
    # only what a run has found.
    logging.getLogger('bergamotdoor').setLevel(logging.CRITICAL)
    if command == _EXPERIMENT:
        return _run_experiment(files)
    if command == _MODEL:
        return _run_model()
    if command == 'contact':
        return _run_contact()
    if command == 'demo':
        return _print_demo(asyncio.run(demo(_first_seed(), _deployment_size())))
    outcomes = asyncio.run(_run_soak(tuple(_parse_seeds(_SEEDS.value))))
    if _JSON.value:
        written = msgspec.json.format(msgspec.json.encode(outcomes))
        pathlib.Path(_JSON.value).write_bytes(written)
    return _print_summary(outcomes)


async def _run_soak(seeds: tuple[int, ...]) -> list[Outcome]:
    slots = asyncio.Semaphore(_JOBS.value)
    return list(
        await asyncio.gather(*(_run_seed(seed, slots) for seed in seeds))
    )


async def _run_seed(seed: int, slots: asyncio.Semaphore) -> Outcome:
    async with slots:
        outcome = await soak(
            seed, _SECONDS.value, _deployment_size(), FAULT_SETS[_FAULTS.value]
        )
    print(_format_outcome(outcome), flush=True)
    return outcome


def _run_experiment(files: list[str]) -> int:
    """Run each scenario with each seed and print a comparison."""
    try:
        scenarios = [load_scenario(path) for path in files]
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        return 1
    measured = []
    for seed in _parse_seeds(_SEEDS.value):
        for scenario in scenarios:
            measured.append(run_scenario(scenario, seed))
            print(f'seed {seed}: {scenario.name} played', flush=True)
    print(table(list(summarize(measured))))
    if _OUT.value:
        write_report(pathlib.Path(_OUT.value), measured)
    return 0


def _run_model() -> int:
    """Check histories of the model; print those that broke a promise."""
    if _DEPTH.value:
        found = search_small(_DEPTH.value, _JOBS.value)
    elif _SUBMISSIONS.value:
        found = search_submissions(
            tuple(_parse_seeds(_SEEDS.value)),
            _STEPS.value,
            _JOBS.value,
            checks_known_refusals=_KNOWN_REFUSALS.value,
        )
    else:
        seeds = tuple(_parse_seeds(_SEEDS.value))
        found = search_seeds(seeds, _STEPS.value, _JOBS.value)
    print(found)
    return 1 if found.broken else 0


def _run_contact() -> int:
    """Play histories judged while faults go on; print what was broken."""
    results = search_histories(
        tuple(_parse_seeds(_SEEDS.value)), _SECONDS.value, _JOBS.value
    )
    print(summarize_histories(results))
    return 1 if any(found.broken for found in results) else 0


def _deployment_size() -> Size:
    return Size(_ENTRIES.value, _ENGINES.value, _SERVICES.value, _GROUPS.value)


def _first_seed() -> int:
    return next(_parse_seeds(_SEEDS.value))


def _print_demo(outcome: Outcome) -> int:
    print(f'{outcome.calls} calls answered, {outcome.steps} steps trained')
    print(outcome.report)
    return 1 if outcome.broken else 0


def _format_outcome(outcome: Outcome) -> str:
    broken = ''.join(f'\n  {line}' for line in outcome.broken)
    log_note = f', logs in {outcome.folder}' if broken else ''
    return (
        f'seed {outcome.seed}: {outcome.seconds} s, {outcome.calls} calls, '
        f'{outcome.steps} steps, {sum(outcome.faults.values())} faults, '
        f'{len(outcome.broken)} broken{log_note}{broken}'
    )


def _print_summary(outcomes: list[Outcome]) -> int:
    broken = sum(len(outcome.broken) for outcome in outcomes)
    checked = sum(sum(outcome.checked.values()) for outcome in outcomes)
    print(f'{len(outcomes)} seeds, {checked} checks, {broken} broken')
    return 1 if broken else 0


def _parse_seeds(text: str) -> Iterator[int]:
    for part in text.split(','):
        first, _, last = part.partition('-')
        yield from range(int(first), int(last or first) + 1)


if __name__ == '__main__':
    # The help of absl lists the flags of all commands and ends with the
    # exit code of a failure.
    if help_wanted(sys.argv[1:]):
        sys.exit(print(help_of(sys.argv[1:])))
    app.run(main)
