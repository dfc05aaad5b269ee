"""Steps for the help of the laboratory's commands."""

from __future__ import annotations

import subprocess
import sys
from typing import Any

from behave import given, then


@given('the help of {words}')
def asked_for_help(context: Any, words: str) -> None:
    context.done = subprocess.run(
        (sys.executable, '-m', 'lab', *words.split()),
        capture_output=True,
        text=True,
        check=False,
    )


@then('it ends well, shows {example} and not {other}')
def told(context: Any, example: str, other: str) -> None:
    assert context.done.returncode == 0, context.done
    assert example in context.done.stdout, context.done.stdout
    assert other not in context.done.stdout, context.done.stdout
