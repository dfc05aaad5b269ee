"""Steps for the check of the table in tools.check_promises."""

from __future__ import annotations

from typing import Any

from behave import given, then

from lab.model.promises import Promise as ModelPromise
from lab.promises import Promise as SoakPromise
from tools.check_promises import PAGE, find_problems

ROWS = {
    'a check that does not exist': '| RULE | | `soak NOTHING` | | | |',
    'a removed scenario': '| RULE | | | `utils: gone` | | |',
    'a scenario of a missing feature': '| RULE | | | `gone: gone` | | |',
    'a removed mutation': '| RULE | | | | | `gone` |',
    'a mutation of another feature': (
        '| RULE | | | | | `figures about a load expire` |'
    ),
}


@given('the table of promises with a row that names {something}')
def add_row(context: Any, something: str) -> None:
    context.page = f'{PAGE.read_text()}\n{ROWS[something]}\n'


@given('the table of promises without its rows')
def remove_rows(context: Any) -> None:
    lines = PAGE.read_text().splitlines()
    context.page = '\n'.join(line for line in lines if not line.startswith('|'))


@then('the table of promises has no problem')
def check_no_problem(_: Any) -> None:
    problems = find_problems(PAGE.read_text())
    assert not problems, problems


@then('its only problem is that {problem}')
def check_problem(context: Any, problem: str) -> None:
    problems = [
        one for one in find_problems(context.page) if one.startswith('RULE: ')
    ]
    assert problems == [f'RULE: {problem}'], problems


@then('each promise of the soak and of the model is reported')
def check_all_reported(context: Any) -> None:
    problems = find_problems(context.page)
    assert len(problems) == len(SoakPromise) + len(ModelPromise), problems
