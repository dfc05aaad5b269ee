"""Help texts of the commands of ``python -m lab``."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, Final, NamedTuple

from absl import flags

from bergamotdoor.cli.text import columns

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

_HELP_FLAGS: Final = frozenset(('--help', '-h', '-help'))
_SIZE_FLAGS: Final = ('entries', 'engines', 'services', 'groups')


class _Command(NamedTuple):
    """The purpose of a command, an example, and its flags."""

    purpose: str
    example: str
    flags: tuple[str, ...]


COMMANDS: Final[Mapping[str, _Command]] = MappingProxyType(
    {
        'demo': _Command(
            'Runs a deployment with a tour of faults, checks its promises.',
            'python -m lab demo --seeds=3',
            ('seeds', *_SIZE_FLAGS),
        ),
        'soak': _Command(
            'Runs deployments under random faults, one for each seed.',
            'python -m lab soak --seeds=1-50 --seconds=15 --jobs=4',
            ('seeds', 'seconds', 'jobs', 'faults', 'json', *_SIZE_FLAGS),
        ),
        'experiment': _Command(
            'Compares scenarios over seeds, in virtual time.',
            'python -m lab experiment lab/scenarios/slow-engine.jsonc'
            ' lab/scenarios/slow-engine-no-moves.jsonc --seeds=1-4',
            ('seeds', 'out'),
        ),
        'contact': _Command(
            'Judges processes in touch while faults go on, in virtual time.',
            'python -m lab contact --seeds=1-40 --seconds=20',
            ('seeds', 'seconds', 'jobs'),
        ),
        'model': _Command(
            'Plays histories of entries that share a job, in virtual time.',
            'python -m lab model --seeds=1-400 --steps=20',
            (
                'seeds',
                'steps',
                'depth',
                'submissions',
                'check_known_refusals',
                'jobs',
            ),
        ),
    }
)


def help_wanted(words: list[str]) -> bool:
    """Return whether the arguments request help."""
    return not _HELP_FLAGS.isdisjoint(words)


def help_of(words: list[str]) -> str:
    """Return the help of the command that is named, or of all commands."""
    named = [word for word in words if word in COMMANDS]
    return '\n'.join(_command_help(named[0]) if named else _general_help())


def _general_help() -> Iterator[str]:
    yield 'usage: python -m lab COMMAND [FLAGS]'
    yield ''
    yield from columns(
        [(name, command.purpose) for name, command in COMMANDS.items()]
    )
    yield ''
    yield 'python -m lab COMMAND --help tells more.'


def _command_help(name: str) -> Iterator[str]:
    command = COMMANDS[name]
    yield command.purpose
    yield ''
    yield f'example: {command.example}'
    yield ''
    yield from columns([_flag_row(flag) for flag in command.flags])


def _flag_row(name: str) -> tuple[str, str]:
    flag = flags.FLAGS[name]
    return f'--{name}={flag.default}', str(flag.help)
