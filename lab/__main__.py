"""``python -m lab soak``, ``demo``, ``experiment`` and ``model``."""

from __future__ import annotations

import asyncio
import logging
import pathlib
import sys
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

import msgspec
from absl import app, flags

from bergamotdoor.settings.problems import SettingsError
from lab.demo import demo
from lab.deployment import Size
from lab.experiment import run_scenario
from lab.faults import AIMED, CRASHING, RANDOM
from lab.help import COMMANDS, help_of, help_wanted
from lab.model.search import search_seeds, search_small
from lab.play import Outcome, soak
from lab.report import summarize, table, write_report
from lab.scenario import load_scenario

if TYPE_CHECKING:
    from collections.abc import Iterator


_EXPERIMENT: Final = 'experiment'
_MODEL: Final = 'model'
_USUAL_S: Final = 12
_KINDS: Final = MappingProxyType(
    {
        'all': (*RANDOM, *AIMED),
        'random': RANDOM,
        'aimed': AIMED,
        'crashing': CRASHING,
    }
)
_SEEDS: Final = flags.DEFINE_string(
    'seeds', '1-4', 'Seeds to play, such as 3, 1-50 or 2,5,9.'
)
_SECONDS: Final = flags.DEFINE_float(
    'seconds', _USUAL_S, 'How long faults come in each run.', lower_bound=0
)
_JOBS: Final = flags.DEFINE_integer(
    'jobs', 4, 'How many runs go beside each other.', lower_bound=1
)
_ENTRIES: Final = flags.DEFINE_integer('entries', 3, 'Entries of a run.')
_ENGINES: Final = flags.DEFINE_integer('engines', 3, 'Engines of a run.')
_SERVICES: Final = flags.DEFINE_integer('services', 2, 'Services of a run.')
_GROUPS: Final = flags.DEFINE_integer('groups', 3, 'Groups of a step.')
_FAULTS: Final = flags.DEFINE_enum(
    'faults', 'all', list(_KINDS), 'Which faults are drawn.'
)
_OUT: Final = flags.DEFINE_string(
    'out', '', 'Folder for the report of an experiment.'
)
_USUAL_STEPS: Final = 20
_STEPS: Final = flags.DEFINE_integer(
    'steps',
    _USUAL_STEPS,
    'Steps of each history that the model plays.',
    lower_bound=1,
)
_DEPTH: Final = flags.DEFINE_integer(
    'depth', 0, 'Play every history of so many steps, in place of seeds.'
)
_JSON: Final = flags.DEFINE_string('json', '', 'File for the outcomes.')


def main(words: list[str]) -> int:
    """Play the soak or the tour; the exit code tells if a promise broke."""
    command, *files = words[1:] or ('',)
    if command not in COMMANDS or bool(files) != (command == _EXPERIMENT):
        sys.stderr.write(f'{help_of(words)}\n')
        return 2
    # The models log like the product; here only what they see counts.
    logging.getLogger('bergamotdoor').setLevel(logging.CRITICAL)
    if command == _EXPERIMENT:
        return _experiment(files)
    if command == _MODEL:
        return _model()
    if command == 'demo':
        return _show(asyncio.run(demo(_seed(), _size())))
    outcomes = asyncio.run(_soak(tuple(_seeds(_SEEDS.value))))
    if _JSON.value:
        written = msgspec.json.format(msgspec.json.encode(outcomes))
        pathlib.Path(_JSON.value).write_bytes(written)
    return _summarize(outcomes)


async def _soak(seeds: tuple[int, ...]) -> list[Outcome]:
    room = asyncio.Semaphore(_JOBS.value)
    return list(await asyncio.gather(*(_one(seed, room) for seed in seeds)))


async def _one(seed: int, room: asyncio.Semaphore) -> Outcome:
    async with room:
        outcome = await soak(
            seed, _SECONDS.value, _size(), _KINDS[_FAULTS.value]
        )
    print(_line(outcome), flush=True)
    return outcome


def _experiment(files: list[str]) -> int:
    """Play scenarios over the seeds and compare them."""
    try:
        scenarios = [load_scenario(path) for path in files]
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        return 1
    measured = []
    for seed in _seeds(_SEEDS.value):
        for scenario in scenarios:
            measured.append(run_scenario(scenario, seed))
            print(f'seed {seed}: {scenario.name} played', flush=True)
    print(table(list(summarize(measured))))
    if _OUT.value:
        write_report(pathlib.Path(_OUT.value), measured)
    return 0


def _model() -> int:
    """Play histories and tell those that broke a promise."""
    if _DEPTH.value:
        found = search_small(_DEPTH.value, _JOBS.value)
    else:
        seeds = tuple(_seeds(_SEEDS.value))
        found = search_seeds(seeds, _STEPS.value, _JOBS.value)
    print(found)
    return 1 if found.broken else 0


def _size() -> Size:
    return Size(_ENTRIES.value, _ENGINES.value, _SERVICES.value, _GROUPS.value)


def _seed() -> int:
    return next(_seeds(_SEEDS.value))


def _show(outcome: Outcome) -> int:
    print(f'{outcome.calls} calls answered, {outcome.steps} steps trained')
    print(outcome.report)
    return 1 if outcome.broken else 0


def _line(outcome: Outcome) -> str:
    broken = ''.join(f'\n  {line}' for line in outcome.broken)
    kept = f', logs in {outcome.folder}' if broken else ''
    return (
        f'seed {outcome.seed}: {outcome.seconds} s, {outcome.calls} calls, '
        f'{outcome.steps} steps, {sum(outcome.faults.values())} faults, '
        f'{len(outcome.broken)} broken{kept}{broken}'
    )


def _summarize(outcomes: list[Outcome]) -> int:
    broken = sum(len(outcome.broken) for outcome in outcomes)
    checked = sum(sum(outcome.checked.values()) for outcome in outcomes)
    print(f'{len(outcomes)} seeds, {checked} checks, {broken} broken')
    return 1 if broken else 0


def _seeds(text: str) -> Iterator[int]:
    for part in text.split(','):
        first, _, last = part.partition('-')
        yield from range(int(first), int(last or first) + 1)


if __name__ == '__main__':
    # The library's own help lists the flags of all commands and ends as if
    # it had failed.
    if help_wanted(sys.argv[1:]):
        sys.exit(print(help_of(sys.argv[1:])))
    app.run(main)
