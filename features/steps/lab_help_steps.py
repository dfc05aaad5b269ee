"""Steps for the help of the lab commands."""

from __future__ import annotations

import subprocess
import sys
from typing import Any

from behave import given, then


@given('the help of {words}')
def run_help(context: Any, words: str) -> None:
    context.done = subprocess.run(
        (sys.executable, '-m', 'lab', *words.split()),
        capture_output=True,
        text=True,
        check=False,
    )


@then('it succeeds, shows {example} and not {other}')
def shows_help(context: Any, example: str, other: str) -> None:
    assert context.done.returncode == 0, context.done
    assert example in context.done.stdout, context.done.stdout
    assert other not in context.done.stdout, context.done.stdout
