"""The command ``bergamotdoor``."""

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

_HELP: Final = frozenset(('--help', '-help', '-h', 'help'))


class _Listed(msgspec.Struct, frozen=True):
    """A command in the list; its module is imported when it runs."""

    module: str
    attribute: str
    text: str


_COMMANDS: Final[Mapping[str, _Listed]] = MappingProxyType(
    {
        'gateway': _Listed(
            'bergamotdoor.cli.node',
            'GATEWAY',
            "run an entry on the platform's machines",
        ),
        'agent': _Listed(
            'bergamotdoor.cli.node',
            'AGENT',
            'run beside an engine, or on a VM with a disk',
        ),
        'ctl': _Listed(
            'bergamotdoor.cli.ctl',
            'CTL',
            'ask running entries what they know and do',
        ),
        'anatomy': _Listed(
            'bergamotdoor.cli.anatomy',
            'ANATOMY',
            'tell from logs what the time of steps was spent on',
        ),
    }
)


def run() -> None:
    """Run the command that the process was started with."""
    sys.exit(main(sys.argv[1:]))


def main(words: Sequence[str]) -> int:
    """Run the command that `words` name and return its exit code."""
    if not words:
        complain(overview())
        return ExitCode.USAGE
    name, *rest = words
    if name in _HELP:
        print(overview())
        return ExitCode.OK
    listed = _COMMANDS.get(name)
    if listed is None:
        complain(f'bergamotdoor: no command {name!r}{_hint(name)}')
        return ExitCode.USAGE
    module = importlib.import_module(listed.module)
    command: Command = getattr(module, listed.attribute)
    return command.main(rest)


def overview() -> str:
    """Return the list of commands."""
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


def _hint(name: str) -> str:
    close = difflib.get_close_matches(name, _COMMANDS, n=1)
    return f', perhaps {close[0]!r}' if close else ', see bergamotdoor --help'
