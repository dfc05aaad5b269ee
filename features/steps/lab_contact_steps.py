"""Steps for the judges of processes in touch."""

from __future__ import annotations

import asyncio
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final

from behave import given, then, when

from lab.contact import STORE, Contact
from lab.contact_history import play_history
from lab.virtual import run_virtual

if TYPE_CHECKING:
    from collections.abc import Mapping

IMPAIRED: Final[Mapping[str, str]] = MappingProxyType(
    {
        'a pause': 'entry-0',
        'a break of the way': 'entry-0',
        'an outage of the store': STORE,
        'a pause of another entry': 'entry-1',
    }
)


@when('histories of the seeds {seeds} are played for {seconds:d} s each')
def play_histories(context: Any, seeds: str, seconds: int) -> None:
    numbers = seeds.replace(' and ', ', ').split(', ')
    context.results = [play_history(int(seed), seconds) for seed in numbers]


@then('each promise was checked in them, and none is broken')
def check_histories(context: Any) -> None:
    for name in ('CURRENT', 'LEFT'):
        assert sum(found.checked[name] for found in context.results), name
    broken = [line for found in context.results for line in found.broken]
    assert not broken, broken


@given('an entry at which {impairment} lasted for 1 s')
def impair_entry(context: Any, impairment: str) -> None:
    context.impaired = IMPAIRED[impairment]


async def judge_later(name: str, seconds: float) -> bool:
    """Return whether an entry is in touch some time after an impairment."""
    contact = Contact(0)
    span = contact.begin(name)
    await asyncio.sleep(1)
    span.end()
    await asyncio.sleep(seconds)
    now_s = asyncio.get_running_loop().time()
    return contact.in_touch('entry-0', now_s, now_s)


@then('{seconds:g} s after its end the entry is {verdict}')
def check_in_touch(context: Any, seconds: float, verdict: str) -> None:
    in_touch = run_virtual(judge_later(context.impaired, seconds))
    assert in_touch is (verdict == 'in touch'), in_touch
