"""Output of lines to a terminal."""

from __future__ import annotations

import sys
import textwrap
from typing import Final

_COLUMN_GAP_CHARS: Final = 2
_LINE_CHARS: Final = 79


def complain(*lines: str) -> None:
    """Write lines to standard error."""
    for line in lines:
        print(line, file=sys.stderr)


def columns(rows: list[tuple[str, str]]) -> list[str]:
    """Format rows as two indented columns, with the right one wrapped."""
    width = max(len(left) for left, _ in rows) + _COLUMN_GAP_CHARS
    lines = []
    for left, right in rows:
        wrapped = textwrap.fill(
            right,
            _LINE_CHARS,
            initial_indent=f'  {left.ljust(width)}',
            subsequent_indent=' ' * (width + _COLUMN_GAP_CHARS),
        )
        lines.append(wrapped)
    return lines
