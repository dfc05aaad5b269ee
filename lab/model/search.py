"""Plays many histories side by side, and tells what was found briefly."""

from __future__ import annotations

import multiprocessing
import time
from concurrent.futures import ProcessPoolExecutor
from typing import TYPE_CHECKING, Final, NamedTuple

import msgspec

from lab.model.history import Played, play
from lab.model.plans import Plan, drawn, small_worlds

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

#: Histories that a worker plays at a time.
_CHUNK: Final = 20
#: Found histories that are told; more are counted.
_MOST_TOLD: Final = 5
_S_PER_HOUR: Final = 3600


class Summary(NamedTuple):
    """What all histories have shown."""

    histories: int
    steps: int
    checked: int
    #: How long they took in virtual time, and on the machine.
    virtual_s: float
    took_s: float
    #: Those that broke a promise, made short.
    found: list[Played]
    broken: int

    def plus(self, played: Played) -> Summary:
        """Return this and one more history."""
        broke = bool(played.broken)
        told_too = [played] if broke and self.broken < _MOST_TOLD else []
        return self._replace(
            histories=self.histories + 1,
            checked=self.checked + played.checked,
            virtual_s=self.virtual_s + played.took_s,
            found=[*self.found, *told_too],
            broken=self.broken + broke,
        )

    def __str__(self) -> str:
        """Tell it in a line, and each history that was found."""
        virtual_h = round(self.virtual_s / _S_PER_HOUR, 1)
        took_s = round(self.took_s, 1)
        lines = [
            f'{self.histories} histories of {self.steps} steps, '
            f'{self.checked} checks',
            f'{virtual_h} h of virtual time in {took_s} s',
            f'{self.broken} broken',
        ]
        return '\n'.join((', '.join(lines), *map(told, self.found)))


def search_seeds(seeds: Iterable[int], steps: int, jobs: int = 1) -> Summary:
    """Play the histories of seeds."""
    plans = (drawn(seed, steps) for seed in seeds)
    return _search(plans, steps, jobs)


def search_small(depth: int, jobs: int = 1) -> Summary:
    """Play every history of so many steps of a small world."""
    return _search(small_worlds(depth), depth, jobs)


def shortest(played: Played) -> Played:
    """Leave out every step without which the same promise breaks."""
    promise = played.broken[0].promise
    found = played
    for number in reversed(range(len(played.plan.steps))):
        shorter = play(_without(found.plan, number))
        if shorter.broken and shorter.broken[0].promise is promise:
            found = shorter
    return found


def told(played: Played) -> str:
    """Return a history as a story, and as the plan that plays it again."""
    lines = '\n'.join(f'  {line}' for line in played.story)
    plan = msgspec.json.encode(played.plan).decode()
    name = played.plan.name
    return f'{name}:\n{lines}\n  plan: {plan}'


def _without(plan: Plan, number: int) -> Plan:
    steps = (*plan.steps[:number], *plan.steps[number + 1 :])
    return msgspec.structs.replace(plan, steps=steps)


def _search(plans: Iterable[Plan], steps: int, jobs: int) -> Summary:
    began = time.monotonic()
    summary = Summary(0, steps, 0, 0, 0, [], 0)
    for played in _played(plans, jobs):
        summary = summary.plus(played)
    return summary._replace(
        took_s=time.monotonic() - began,
        found=[shortest(one) for one in summary.found],
    )


def _played(plans: Iterable[Plan], jobs: int) -> Iterator[Played]:
    if jobs == 1:
        yield from map(play, plans)
        return
    with ProcessPoolExecutor(
        jobs, mp_context=multiprocessing.get_context('spawn')
    ) as pool:
        yield from pool.map(play, plans, chunksize=_CHUNK)
