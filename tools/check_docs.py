"""Check that the modules and names that the pages mention exist.

``python -m tools.check_docs`` prints each mention of a module that is not in
the repository, and of a name that its module does not contain, and exits
non-zero if there is one. A page names a module as `` `calls/manifest.py` ``,
and a name in it directly behind: `` `calls/manifest.py` `pick_service` ``.
"""

from __future__ import annotations

import pathlib
import re
import sys
from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterator

_ROOT: Final = pathlib.Path()
#: Folders that paths in the pages are relative to.
_BASES: Final = ('', 'bergamotdoor', 'lab')
_MENTION: Final = re.compile(
    r'`(?P<module>[\w./]+\.py)`(?:\s+`(?P<name>[A-Za-z_]\w*)`)?'
)


class Mention(msgspec.Struct, frozen=True):
    """Mention of a module in a page."""

    page: pathlib.Path
    module: str
    #: Name behind the module; empty if there is none.
    name: str = ''


def find_mentions(page: pathlib.Path) -> Iterator[Mention]:
    """Yield the modules that a page mentions."""
    for found in _MENTION.finditer(page.read_text('utf-8')):
        yield Mention(page, found['module'], found['name'] or '')


def describe_problem(mention: Mention, root: pathlib.Path) -> str:
    """Return what is wrong with a mention; empty if nothing is.

    Parameters
    ----------
    mention
        The mention.
    root
        Root of the repository.
    """
    modules = list(_find_modules(mention.module, root))
    if not modules:
        return f'{mention.page}: {mention.module} does not exist'
    if any(mention.name in one.read_text('utf-8') for one in modules):
        return ''
    return f'{mention.page}: {mention.module} has no {mention.name}'


def list_pages(root: pathlib.Path) -> list[pathlib.Path]:
    """Return all pages of the repository, sorted."""
    return sorted((*root.glob('*.md'), *(root / 'docs').rglob('*.md')))


def check_pages(root: pathlib.Path) -> list[str]:
    """Return the problems of all pages below a folder."""
    return [
        problem
        for page in list_pages(root)
        for mention in find_mentions(page)
        if (problem := describe_problem(mention, root))
    ]


def main() -> int:
    """Print the problems of all pages; return the exit code."""
    problems = check_pages(_ROOT)
    for problem in problems:
        print(problem)
    return int(bool(problems))


def _find_modules(module: str, root: pathlib.Path) -> Iterator[pathlib.Path]:
    """Yield the files that a mention can mean.

    A name without a folder can mean any module of that name.
    """
    if '/' in module:
        candidates = [root / base / module for base in _BASES]
    else:
        candidates = [
            found
            for base in _BASES
            if base
            for found in (root / base).rglob(module)
        ]
    yield from (one for one in candidates if one.is_file())


if __name__ == '__main__':
    sys.exit(main())
