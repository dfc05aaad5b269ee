"""Commands, their flags and their help."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final, TypeAlias

import msgspec
from absl import flags

from bergamotdoor.cli.codes import ExitCode
from bergamotdoor.cli.text import columns, complain

_HELP: Final = frozenset(('--help', '-help', '-h'))


class UsageError(Exception):
    """The command line is wrong; the message says how."""


class Option(msgspec.Struct, frozen=True):
    """One flag of a command.

    Parameters
    ----------
    name
        Without the dashes; words joined by underscores.
    metavar
        Stands for the value in the help; empty for a switch.
    text
        One line of help.
    default
        The value if the flag is not given.
    define
        The ``absl.flags`` function that defines it.
    bounds
        Further arguments for `define`.
    """

    name: str
    metavar: str
    text: str
    default: str | float | bool | None
    define: Callable[..., Any]
    bounds: dict[str, Any] = {}

    def define_in(self, values: Any) -> None:
        """Define the flag in `values` and nowhere else."""
        self.define(
            name=self.name,
            default=self.default,
            help=self.text,
            flag_values=values,
            **self.bounds,
        )

    @property
    def usage(self) -> str:
        """How the flag is written."""
        dashed = self.name.replace('_', '-')
        if self.metavar:
            return f'--{dashed}={self.metavar}'
        return f'--[no]{dashed}' if self.default else f'--{dashed}'


class Invocation(msgspec.Struct, frozen=True):
    """A command line after parsing.

    Parameters
    ----------
    words
        What is left beside the flags.
    given
        The value of each flag by its name.
    """

    words: tuple[str, ...]
    given: dict[str, Any]


Run: TypeAlias = Callable[[Invocation], int]


class Command(msgspec.Struct, frozen=True, kw_only=True):
    """One command.

    Parameters
    ----------
    name
        The first word after ``bergamotdoor``.
    summary
        One line for the list of commands.
    usage
        What follows the name.
    options
        Its flags.
    run
        Carries it out and returns the exit code.
    details
        Further lines of help.
    """

    name: str
    summary: str
    usage: str
    options: tuple[Option, ...]
    run: Run
    details: str = ''

    def main(self, words: list[str]) -> int:
        """Parse `words`, run the command, return its exit code."""
        if _HELP.intersection(words):
            print(self.help_text())
            return ExitCode.OK
        try:
            return self.run(self.parse(words))
        except (UsageError, flags.Error) as error:
            program = f'bergamotdoor {self.name}'
            complain(f'{program}: {error}', f'see {program} --help')
            return ExitCode.USAGE

    def parse(self, words: list[str]) -> Invocation:
        """Take flags and other words apart.

        Raises
        ------
        flags.Error
            An unknown flag or a value that does not fit.
        """
        values: Any = flags.FlagValues()  # type: ignore[no-untyped-call]
        for option in self.options:
            option.define_in(values)
        values.set_gnu_getopt(True)
        _, *left = values([self.name, *_dashed(words)])
        return Invocation(tuple(left), values.flag_values_dict())

    def help_text(self) -> str:
        """Return the help of the command and no other flags."""
        lines = [f'usage: bergamotdoor {self.name} {self.usage}', '']
        lines.append(f'{self.summary}.')
        if self.details:
            lines.extend(('', self.details))
        rows = [(option.usage, _described(option)) for option in self.options]
        return '\n'.join((*lines, '', 'flags:', *columns(rows)))


def _described(option: Option) -> str:
    if option.default in {None, False, ''}:
        return option.text
    return f'{option.text} (default {option.default})'


def _dashed(words: list[str]) -> list[str]:
    """Let ``--dry-run`` stand for ``--dry_run``, as people type it."""
    return [_with_underscores(word) for word in words]


def _with_underscores(word: str) -> str:
    name, equals, value = word.partition('=')
    if not name.startswith('--') or name == '--':
        return word
    underscored = name[2:].replace('-', '_')
    return f'--{underscored}{equals}{value}'
