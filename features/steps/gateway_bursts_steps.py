"""Steps for a burst of calls at one of many entries."""

from __future__ import annotations

from typing import Any

from behave import given, then

from features.load_scenes import play_burst


@given('a burst at one of 19 entries')
def burst(context: Any) -> None:
    context.figures = play_burst(1, sharing=True, two_random=False)


@then('{count:d} other entries know of it within 20 ms')
def known_elsewhere(context: Any, count: int) -> None:
    assert context.figures.knowing == count, context.figures


@then('at most {most:d} calls a second fail')
def few_errors(context: Any, most: int) -> None:
    assert context.figures.errors <= most, context.figures


@then('at most {most:d} messages a second are sent')
def few_messages(context: Any, most: int) -> None:
    assert 0 < context.figures.messages <= most, context.figures
