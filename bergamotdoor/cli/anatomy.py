"""The command ``anatomy``: shows from logs how steps spent their time."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, Final

import msgspec
from absl import flags

from bergamotdoor.anatomy import (
    gather_steps,
    read_events,
    table,
    timeline,
    usual_pace_s,
)
from bergamotdoor.cli.codes import ExitCode
from bergamotdoor.cli.command import Command, Invocation, Option, UsageError
from bergamotdoor.cli.text import complain

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from bergamotdoor.anatomy import StepAnatomy

_JSON: Final = 'json'
_JOB: Final = 'job'
_STDIN_NAME: Final = '-'


def _run(invocation: Invocation) -> int:
    if not invocation.words:
        raise UsageError('at least one LOG is expected, - for standard input')
    events = list(read_events(_read_lines(invocation.words)))
    event_interval_s = usual_pace_s(events)
    job = str(invocation.given[_JOB] or '')
    steps = [step for step in gather_steps(events) if step.job.startswith(job)]
    if not steps:
        complain('bergamotdoor anatomy: no step in these logs')
        return ExitCode.REFUSED
    if invocation.given[_JSON]:
        text_json = msgspec.json.encode(steps).decode()
        sys.stdout.write(f'{text_json}\n')
    else:
        _print_steps(steps, event_interval_s, with_timelines=bool(job))
    return ExitCode.OK


def _read_lines(names: Iterable[str]) -> Iterator[str]:
    for name in names:
        if name == _STDIN_NAME:
            yield from sys.stdin
            continue
        try:
            text = Path(name).read_text(errors='replace')
        except OSError as error:
            raise UsageError(f'{name}: {error.strerror}') from error
        yield from text.splitlines()


def _print_steps(
    steps: list[StepAnatomy],
    event_interval_s: float | None,
    with_timelines: bool,
) -> None:
    _print_lines(table(steps, event_interval_s))
    for step in steps:
        _print_lines(timeline(step) if with_timelines else ())


def _print_lines(lines: Iterable[str]) -> None:
    sys.stdout.writelines(f'{line}\n' for line in lines)


ANATOMY: Final = Command(
    name='anatomy',
    summary='Tell from logs what the time of steps was spent on',
    usage='LOG... [--job=ID] [--json]',
    options=(
        Option(
            _JOB,
            'ID',
            'Only steps whose id begins so, each with a timeline of the item '
            'that it waited for longest.',
            '',
            flags.DEFINE_string,
        ),
        Option(_JSON, '', 'Write JSON.', False, flags.DEFINE_bool),
    ),
    run=_run,
    details=(
        'Reads log lines of entries from files, or from standard input for -, '
        'in any order.\nTimes are seconds from the taking in of a step. Its '
        'floor is the longest item that\nwas needed, at the pace of a usual '
        'engine. The exit code is 1 if there is no step.'
    ),
)
