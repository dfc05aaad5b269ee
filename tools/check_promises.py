"""Check that what the table of docs/promises.md names exists.

A row names in backticks: promises of the soak and of the model as
``soak NAME`` and ``model NAME``, scenarios as ``feature: title``, and
mutations by the sentence of their safeguard.
"""

from __future__ import annotations

import pathlib
import re
from typing import TYPE_CHECKING, Final

import msgspec

from lab.model.promises import Promise as ModelPromise
from lab.promises import Promise as SoakPromise
from tools.mutations import MUTATIONS
from tools.soak_mutations import OWNER_MUTATIONS

if TYPE_CHECKING:
    from collections.abc import Iterator

PAGE: Final = pathlib.Path('docs/promises.md')
_FEATURES: Final = pathlib.Path('features')
_ITEM: Final = re.compile('`([^`]+)`')
_SCENARIO: Final = re.compile(
    r'^ *Scenario(?: Outline)?: (?P<title>.+)$', re.MULTILINE
)
#: Rule, what breaks it, checks, scenarios, faults and mutations.
_CELL_COUNT: Final = 6
_CHECKS: Final = frozenset(
    (
        *(f'soak {promise.name}' for promise in SoakPromise),
        *(f'model {promise.name}' for promise in ModelPromise),
    )
)


class Row(msgspec.Struct, frozen=True):
    """Names in a row of the table."""

    rule: str
    checks: tuple[str, ...]
    scenarios: tuple[str, ...]
    mutations: tuple[str, ...]


def find_problems(page: str) -> list[str]:
    """Return what is wrong with the table of a page.

    Parameters
    ----------
    page
        Text of the page.
    """
    rows = list(_read_rows(page))
    named = {check for row in rows for check in row.checks}
    return [
        *(problem for row in rows for problem in _row_problems(row)),
        *(f'{check} stands in no row' for check in sorted(_CHECKS - named)),
    ]


def _read_rows(page: str) -> Iterator[Row]:
    for line in page.splitlines():
        cells = line.strip('|').split('|')
        if line.startswith('|') and len(cells) == _CELL_COUNT:
            names = [tuple(_ITEM.findall(cell)) for cell in cells]
            yield Row(cells[0].strip(), names[2], names[3], names[5])


def _row_problems(row: Row) -> Iterator[str]:
    for check in row.checks:
        if check not in _CHECKS:
            yield f'{row.rule}: there is no check {check}'
    for scenario in row.scenarios:
        feature, _, title = scenario.partition(': ')
        if title not in _list_scenarios(feature):
            yield f'{row.rule}: {feature} has no scenario {title!r}'
    features = {named.partition(':')[0] for named in row.scenarios}
    for safeguard in row.mutations:
        noticed_by = _features_noticing(safeguard)
        if not noticed_by:
            yield f'{row.rule}: there is no mutation {safeguard!r}'
        elif noticed_by.isdisjoint({'', *features}):
            yield f'{row.rule}: no feature of the row notices {safeguard!r}'


def _list_scenarios(feature: str) -> list[str]:
    path = _FEATURES / f'{feature}.feature'
    return _SCENARIO.findall(path.read_text()) if path.exists() else []


def _features_noticing(safeguard: str) -> set[str]:
    """Return the features of a mutation; an empty name stands for the soak."""
    return {
        mutation.feature
        for mutation in (*MUTATIONS, *OWNER_MUTATIONS)
        if mutation.safeguard == safeguard
    }
