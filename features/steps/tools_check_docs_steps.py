"""Steps for the check of the pages in tools.check_docs."""

from __future__ import annotations

import pathlib
import tempfile
from typing import Any

from behave import given, then

from tools.check_docs import check_pages

PAGE = """
`fleet/fleet.py` `Fleet` and `fleet.py` exist, `fleet/swap.py` and
`fleet/fleet.py` `swap` do not.
"""


@given('a page that names a module, a renamed module and a removed name')
def write_page(context: Any) -> None:
    context.folder = tempfile.TemporaryDirectory()
    context.add_cleanup(context.folder.cleanup)
    root = pathlib.Path(context.folder.name)
    package = root / 'bergamotdoor' / 'fleet'
    package.mkdir(parents=True)
    (package / 'fleet.py').write_text('class Fleet: ...')
    (root / 'docs').mkdir()
    (root / 'docs' / 'page.md').write_text(PAGE)


@then('the renamed module and the removed name are reported')
def check_reported(context: Any) -> None:
    root = pathlib.Path(context.folder.name)
    page = root / 'docs' / 'page.md'
    assert check_pages(root) == [
        f'{page}: fleet/swap.py does not exist',
        f'{page}: fleet/fleet.py has no swap',
    ]
