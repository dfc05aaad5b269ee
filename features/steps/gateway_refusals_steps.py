"""Steps for calls to upstreams that treat each request in a random way."""

from __future__ import annotations

import logging
from typing import Any

from behave import given, then

from features.call_fate_scenes import REFUSALS, play_calls


@given('{count:d} sites whose upstreams treat each request in a random way')
def play_many(context: Any, count: int) -> None:
    logging.disable(logging.CRITICAL)
    try:
        context.ends = {seed: play_calls(seed) for seed in range(count)}
    finally:
        logging.disable(logging.NOTSET)


@then('at least {count:d} calls are refused, and none of these has run')
def refused_have_not_run(context: Any, count: int) -> None:
    refused = [
        (seed, end)
        for seed, ends in context.ends.items()
        for end in ends
        if end.status in REFUSALS
    ]
    assert len(refused) >= count, len(refused)
    ran = [(seed, end) for seed, end in refused if end.runs]
    assert not ran, ran


@then('no call that may run once has run twice')
def ran_once(context: Any) -> None:
    twice = [
        (seed, end)
        for seed, ends in context.ends.items()
        for end in ends
        if end.runs > 1 and not end.call.startswith('safe')
    ]
    assert not twice, twice
