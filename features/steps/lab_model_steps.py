"""Steps for features/lab_model.feature: histories of the model checker."""

from __future__ import annotations

from typing import Any

import msgspec
from behave import given, then

from lab.model.history import play
from lab.model.plans import Plan
from lab.model.search import search_seeds, search_submissions, told


@given('the histories of seeds {first:d} to {last:d}, of {steps:d} steps each')
def choose_seeds(context: Any, first: int, last: int, steps: int) -> None:
    context.seeds = range(first, last + 1)
    context.search = lambda: search_seeds(context.seeds, steps)


@given(
    'the histories of seeds {first:d} to {last:d} of a job submitted in '
    '{steps:d} steps'
)
def choose_submissions(context: Any, first: int, last: int, steps: int) -> None:
    context.seeds = range(first, last + 1)
    context.search = lambda: search_submissions(
        context.seeds, steps, checks_known_refusals=True
    )


@then('none of them breaks a promise')
def check_seeds(context: Any) -> None:
    seeds = context.seeds
    summary = context.search()
    assert not summary.broken, str(summary)
    assert summary.histories == len(seeds), summary
    assert summary.checked > len(seeds), summary


@then('this history breaks no promise')
def check_history(context: Any) -> None:
    plan = msgspec.json.decode(str(context.text), type=Plan)
    played = play(plan)
    assert not played.broken, told(played)
