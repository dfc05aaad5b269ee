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
def two_orders(context: Any) -> None:
    context.orders = [NAMES, list(reversed(NAMES))]


@when('both are ordered for the same key')
def order_both(context: Any) -> None:
    context.ordered = [hrw_order('a-key', names) for names in context.orders]


@then('the two orders are the same')
def same(context: Any) -> None:
    assert context.ordered[0] == context.ordered[1]


@then('a removed name leaves the order of the others unchanged')
def removed(context: Any) -> None:
    full = context.ordered[0]
    gone = full[3]
    fewer = hrw_order('a-key', [name for name in NAMES if name != gone])
    assert fewer == [name for name in full if name != gone]


#: Where the time of day is read, and the calls that read it.
READERS = {
    'clock.py',
    'http/_outgoing.py',
    'observe/logs.py',
    'reporting/counting.py',
}
WALL_CLOCK = {'now', 'utcnow', 'today', 'time', 'time_ns', 'localtime'}


def reads_time_of_day(path: Path) -> bool:
    calls = (
        node.func
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Call)
    )
    return any(
        isinstance(call, ast.Attribute)
        and call.attr in WALL_CLOCK
        and not is_loop_time(call)
        for call in calls
    )


def is_loop_time(call: ast.Attribute) -> bool:
    """Return whether it is the event loop's steady time."""
    return 'loop' in ast.unparse(call.value)


@then(
    "only the clock, the answers' Date, the logs and the windows of usage"
    ' read the time of day'
)
def time_of_day(_: Any) -> None:
    package = Path(bergamotdoor.__file__).parent
    found = {
        str(path.relative_to(package))
        for path in package.rglob('*.py')
        if reads_time_of_day(path)
    }
    assert found <= READERS, found - READERS
