"""Plays many histories in parallel, and shortens those that break a promise."""

from __future__ import annotations

import multiprocessing
import time
from concurrent.futures import ProcessPoolExecutor
from typing import TYPE_CHECKING, Final, NamedTuple

import msgspec

from lab.model.history import Played, play
from lab.model.plans import Plan, drawn, small_worlds
from lab.model.submission_plans import drawn_submissions

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

#: Histories that are sent to a worker process at a time.
_CHUNK_HISTORIES: Final = 20
#: Number of broken histories that are reported in full; the others are only
#: counted.
_MAX_REPORTED_HISTORIES: Final = 5
_S_PER_HOUR: Final = 3600


class Summary(NamedTuple):
    """Summary of the results of all histories."""

    #: Number of histories.
    histories: int
    #: Number of steps in each history.
    steps: int
    #: Number of checks.
    checked: int
    #: Sum of the durations in virtual time.
    virtual_s: float
    #: Duration of the search in real time.
    took_s: float
    #: The first histories that broke a promise; shortened at the end.
    found: list[Played]
    #: Number of histories that broke a promise.
    broken: int
    #: Number of histories whose job was refused at each attempt.
    refused: int = 0
    #: Number of attempts refused by an entry that knew the job.
    known_refusals: int = 0

    def plus(self, played: Played) -> Summary:
        """Return the summary with one more history added."""
        broke = bool(played.broken)
        reported = (
            [played] if broke and self.broken < _MAX_REPORTED_HISTORIES else []
        )
        return self._replace(
            histories=self.histories + 1,
            checked=self.checked + played.checked,
            virtual_s=self.virtual_s + played.took_s,
            found=[*self.found, *reported],
            broken=self.broken + broke,
            refused=self.refused + played.was_refused,
            known_refusals=self.known_refusals + played.known_refusals,
        )

    def __str__(self) -> str:
        """Return one line for all, and the broken histories in full."""
        virtual_h = round(self.virtual_s / _S_PER_HOUR, 1)
        took_s = round(self.took_s, 1)
        lines = [
            f'{self.histories} histories of {self.steps} steps, '
            f'{self.checked} checks',
            f'{virtual_h} h of virtual time in {took_s} s',
            f'{self.refused} jobs refused at each attempt',
            f'{self.known_refusals} refusals of known jobs',
            f'{self.broken} broken',
        ]
        return '\n'.join((', '.join(lines), *map(told, self.found)))


def search_seeds(seeds: Iterable[int], steps: int, jobs: int = 1) -> Summary:
    """Play the history of each seed.

    Parameters
    ----------
    seeds
        Seeds from which the plans are drawn.
    steps
        Number of steps in each history.
    jobs
        Number of worker processes; 1 plays all histories in this process.
    """
    plans = (drawn(seed, steps) for seed in seeds)
    return _search_plans(plans, steps, jobs)


def search_submissions(
    seeds: Iterable[int],
    steps: int,
    jobs: int = 1,
    *,
    checks_known_refusals: bool = False,
) -> Summary:
    """Play the history of each seed, with a job submitted by several attempts.

    Parameters
    ----------
    seeds
        Seeds from which the plans are drawn.
    steps
        Number of steps in each history.
    jobs
        Number of worker processes; 1 plays all histories in this process.
    checks_known_refusals
        Whether it breaks a promise that an entry refuses a job that it knows.
    """
    plans = (
        msgspec.structs.replace(
            drawn_submissions(seed, steps),
            checks_known_refusals=checks_known_refusals,
        )
        for seed in seeds
    )
    return _search_plans(plans, steps, jobs)


def search_small(depth: int, jobs: int = 1) -> Summary:
    """Play the histories of all small plans.

    Parameters
    ----------
    depth
        Number of steps in each history.
    jobs
        Number of worker processes; 1 plays all histories in this process.
    """
    return _search_plans(small_worlds(depth), depth, jobs)


def shortest(played: Played) -> Played:
    """Shorten a history that broke a promise, and return the short one.

    Each step is left out in turn; it stays out if the same promise is broken
    without it.
    """
    promise = played.broken[0].promise
    shortened = played
    for number in reversed(range(len(played.plan.steps))):
        candidate = play(_without_step(shortened.plan, number))
        if candidate.broken and candidate.broken[0].promise is promise:
            shortened = candidate
    return shortened


def told(played: Played) -> str:
    """Return the lines that report a history, and its plan as JSON.

    The history can be played again from the plan.
    """
    lines = '\n'.join(f'  {line}' for line in played.story)
    plan = msgspec.json.encode(played.plan).decode()
    name = played.plan.name
    return f'{name}:\n{lines}\n  plan: {plan}'


def _without_step(plan: Plan, number: int) -> Plan:
    steps = (*plan.steps[:number], *plan.steps[number + 1 :])
    return msgspec.structs.replace(plan, steps=steps)


def _search_plans(plans: Iterable[Plan], steps: int, jobs: int) -> Summary:
    began_s = time.monotonic()
    summary = Summary(0, steps, 0, 0, 0, [], 0)
    for played in _play_all(plans, jobs):
        summary = summary.plus(played)
    return summary._replace(
        took_s=time.monotonic() - began_s,
        found=[shortest(one) for one in summary.found],
    )


def _play_all(plans: Iterable[Plan], jobs: int) -> Iterator[Played]:
    if jobs == 1:
        yield from map(play, plans)
        return
    with ProcessPoolExecutor(
        jobs, mp_context=multiprocessing.get_context('spawn')
    ) as pool:
        yield from pool.map(play, plans, chunksize=_CHUNK_HISTORIES)
