"""The program ``bergamotdoor``: selects and runs a command."""

from __future__ import annotations

import difflib
import importlib
import sys
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.cli.codes import ExitCode
from bergamotdoor.cli.text import columns, complain

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from bergamotdoor.cli.command import Command

_HELP_WORDS: Final = frozenset(('--help', '-help', '-h', 'help'))


class _ListedCommand(msgspec.Struct, frozen=True):
    """Listed command, whose module is only imported when the command runs."""

    module: str
    attribute: str
    text: str


_COMMANDS: Final[Mapping[str, _ListedCommand]] = MappingProxyType(
    {
        'gateway': _ListedCommand(
            'bergamotdoor.cli.node',
            'GATEWAY',
            "run an entry on the platform's machines",
        ),
        'agent': _ListedCommand(
            'bergamotdoor.cli.node',
            'AGENT',
            'run beside an engine, or on a VM with a disk',
        ),
        'ctl': _ListedCommand(
            'bergamotdoor.cli.ctl',
            'CTL',
            'ask running entries what they know and do',
        ),
        'anatomy': _ListedCommand(
            'bergamotdoor.cli.anatomy',
            'ANATOMY',
            'tell from logs what the time of steps was spent on',
        ),
    }
)


def run() -> None:
    """Run the command in the arguments of the process, and exit."""
    sys.exit(main(sys.argv[1:]))


def main(words: Sequence[str]) -> int:
    """Run the command named by the first argument; return the exit code."""
    if not words:
        complain(overview())
        return ExitCode.USAGE
    name, *rest = words
    if name in _HELP_WORDS:
        print(overview())
        return ExitCode.OK
    listed = _COMMANDS.get(name)
    if listed is None:
        complain(f'bergamotdoor: no command {name!r}{_suggestion(name)}')
        return ExitCode.USAGE
    module = importlib.import_module(listed.module)
    command: Command = getattr(module, listed.attribute)
    return command.main(rest)


def overview() -> str:
    """Return the help text that lists the commands."""
    rows = [(name, listed.text) for name, listed in _COMMANDS.items()]
    return '\n'.join(
        (
            'usage: bergamotdoor COMMAND [FLAGS]',
            '',
            'A rollout service for reinforcement learning.',
            '',
            'commands:',
            *columns(rows),
            '',
            'bergamotdoor COMMAND --help lists the flags of a command.',
        )
    )


def _suggestion(name: str) -> str:
    close = difflib.get_close_matches(name, _COMMANDS, n=1)
    return f', perhaps {close[0]!r}' if close else ', see bergamotdoor --help'
