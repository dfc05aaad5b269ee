"""Steps for bergamotdoor.utils."""

from __future__ import annotations

import ast
from pathlib import Path
from typing import Any

from behave import given, then, when

import bergamotdoor
from bergamotdoor.utils import hrw_order

NAMES = [f'upstream-{number}' for number in range(20)]


@given('upstream names in two different orders')
def names_in_two_orders(context: Any) -> None:
    context.orders = [NAMES, list(reversed(NAMES))]


@when('both are ordered for the same key')
def order_both(context: Any) -> None:
    context.ordered = [hrw_order('a-key', names) for names in context.orders]


@then('the two orders are the same')
def check_same_order(context: Any) -> None:
    assert context.ordered[0] == context.ordered[1]


@then('a removed name leaves the order of the others unchanged')
def check_removal(context: Any) -> None:
    full = context.ordered[0]
    removed = full[3]
    fewer = hrw_order('a-key', [name for name in NAMES if name != removed])
    assert fewer == [name for name in full if name != removed]


#: The modules that may read the wall clock.
WALL_CLOCK_READERS = {
    'clock.py',
    'http/_outgoing.py',
    'observe/logs.py',
    'reporting/counting.py',
}
#: The names of functions that read the wall clock.
WALL_CLOCK_FUNCTIONS = {
    'now',
    'utcnow',
    'today',
    'time',
    'time_ns',
    'localtime',
}


def reads_wall_clock(path: Path) -> bool:
    """Return whether a module calls a function that reads the wall clock."""
    calls = (
        node.func
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Call)
    )
    return any(
        isinstance(call, ast.Attribute)
        and call.attr in WALL_CLOCK_FUNCTIONS
        and not is_loop_time(call)
        for call in calls
    )


def is_loop_time(call: ast.Attribute) -> bool:
    """Return whether a call reads the event loop's monotonic time."""
    return 'loop' in ast.unparse(call.value)


@then(
    'only the clock, the Date of responses, the logs and the usage windows'
    ' read the wall clock'
)
def check_wall_clock_readers(_: Any) -> None:
    package = Path(bergamotdoor.__file__).parent
    found = {
        str(path.relative_to(package))
        for path in package.rglob('*.py')
        if reads_wall_clock(path)
    }
    assert found <= WALL_CLOCK_READERS, found - WALL_CLOCK_READERS
