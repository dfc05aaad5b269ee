"""Commands with their flags and help texts."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final, TypeAlias

import msgspec
from absl import flags

from bergamotdoor.cli.codes import ExitCode
from bergamotdoor.cli.text import columns, complain

_HELP_FLAGS: Final = frozenset(('--help', '-help', '-h'))


class UsageError(Exception):
    """The command line is wrong; the message says why."""


class Option(msgspec.Struct, frozen=True):
    """Flag of a command.

    Parameters
    ----------
    name
        The name without dashes, with words joined by underscores.
    metavar
        The placeholder for the value in the help; empty for a switch.
    text
        The help text of the flag.
    default
        The value if the flag is not given.
    define
        The ``absl.flags`` function that defines the flag.
    bounds
        Further arguments of `define`, such as limits of the value.
    """

    name: str
    metavar: str
    text: str
    default: str | float | bool | None
    define: Callable[..., Any]
    bounds: dict[str, Any] = {}

    def define_in(self, values: Any) -> None:
        """Define the flag in `values`, but not in the global flags."""
        self.define(
            name=self.name,
            default=self.default,
            help=self.text,
            flag_values=values,
            **self.bounds,
        )

    @property
    def usage(self) -> str:
        """The flag as it is written on the command line."""
        dashed = self.name.replace('_', '-')
        if self.metavar:
            return f'--{dashed}={self.metavar}'
        return f'--[no]{dashed}' if self.default else f'--{dashed}'


class Invocation(msgspec.Struct, frozen=True):
    """Parsed command line.

    Parameters
    ----------
    words
        The positional arguments.
    given
        The value of each flag by the flag's name.
    """

    words: tuple[str, ...]
    given: dict[str, Any]


Run: TypeAlias = Callable[[Invocation], int]


class Command(msgspec.Struct, frozen=True, kw_only=True):
    """Command with flags.

    Parameters
    ----------
    name
        The name of the command, the first word after ``bergamotdoor``.
    summary
        The first line of its help, without a full stop.
    usage
        The arguments after the name, as the help shows them.
    options
        The flags of the command.
    run
        The function that runs the command and returns the exit code.
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
        """Run the command with arguments and return its exit code."""
        if _HELP_FLAGS.intersection(words):
            print(self.help_text())
            return ExitCode.OK
        try:
            return self.run(self.parse(words))
        except (UsageError, flags.Error) as error:
            program = f'bergamotdoor {self.name}'
            complain(f'{program}: {error}', f'see {program} --help')
            return ExitCode.USAGE

    def parse(self, words: list[str]) -> Invocation:
        """Separate flags and positional arguments.

        Raises
        ------
        flags.Error
            If a flag is unknown or its value is invalid.
        """
        values: Any = flags.FlagValues()  # type: ignore[no-untyped-call]
        for option in self.options:
            option.define_in(values)
        values.set_gnu_getopt(True)
        _, *positional = values([self.name, *_normalise_flags(words)])
        return Invocation(tuple(positional), values.flag_values_dict())

    def help_text(self) -> str:
        """Return the help of the command, without flags of libraries."""
        lines = [f'usage: bergamotdoor {self.name} {self.usage}', '']
        lines.append(f'{self.summary}.')
        if self.details:
            lines.extend(('', self.details))
        rows = [(option.usage, _option_help(option)) for option in self.options]
        return '\n'.join((*lines, '', 'flags:', *columns(rows)))


def _option_help(option: Option) -> str:
    if option.default in {None, False, ''}:
        return option.text
    return f'{option.text} (default {option.default})'


def _normalise_flags(words: list[str]) -> list[str]:
    """Replace dashes in flag names, such as ``--dry-run``, by underscores."""
    return [_with_underscores(word) for word in words]


def _with_underscores(word: str) -> str:
    name, equals, value = word.partition('=')
    if not name.startswith('--') or name == '--':
        return word
    underscored = name[2:].replace('-', '_')
    return f'--{underscored}{equals}{value}'
