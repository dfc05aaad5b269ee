"""Lines for a person at a terminal."""

from __future__ import annotations

import sys
import textwrap
from typing import Final

_GAP: Final = 2
_LINE_CHARS: Final = 79


def complain(*lines: str) -> None:
    """Write lines for a person to standard error."""
    for line in lines:
        print(line, file=sys.stderr)


def columns(rows: list[tuple[str, str]]) -> list[str]:
    """Return indented lines of two columns, the right one wrapped."""
    width = max(len(left) for left, _ in rows) + _GAP
    lines = []
    for left, right in rows:
        wrapped = textwrap.fill(
            right,
            _LINE_CHARS,
            initial_indent=f'  {left.ljust(width)}',
            subsequent_indent=' ' * (width + _GAP),
        )
        lines.append(wrapped)
    return lines
