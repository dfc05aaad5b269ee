"""Steps for submissions of which any call to the store may go wrong."""

from __future__ import annotations

import logging
from typing import Any

from behave import given, then

from bergamotdoor.objects.job_store import Submitted
from bergamotdoor.stored import Outcome
from features.refusal_scenes import submit_with_faults


@given('{count:d} submissions whose calls to the store fail in random ways')
def submit_many(context: Any, count: int) -> None:
    logging.disable(logging.CRITICAL)
    try:
        context.results = {
            seed: submit_with_faults(seed) for seed in range(count)
        }
    finally:
        logging.disable(logging.NOTSET)


@then('at least {count:d} of them are refused, and none of these is stored')
def refused_are_not_stored(context: Any, count: int) -> None:
    refused = {
        seed: result
        for seed, result in context.results.items()
        if result.told is Outcome.NOT_DONE
    }
    assert len(refused) >= count, len(refused)
    stored = [seed for seed, result in refused.items() if result.is_stored]
    assert not stored, stored


@then('at least {count:d} of them are accepted, and all of these are whole')
def accepted_are_whole(context: Any, count: int) -> None:
    accepted = {
        seed: result
        for seed, result in context.results.items()
        if isinstance(result.told, Submitted)
    }
    assert len(accepted) >= count, len(accepted)
    broken = [seed for seed, result in accepted.items() if not result.is_whole]
    assert not broken, broken


@then('all others are told as unclear')
def others_are_unclear(context: Any) -> None:
    others = {
        result.told
        for result in context.results.values()
        if not isinstance(result.told, Submitted)
    }
    assert others == {Outcome.NOT_DONE, Outcome.UNCLEAR}, others
