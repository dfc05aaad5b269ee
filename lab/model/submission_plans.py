"""Plans of histories whose job is submitted by several attempts.

The first steps are the attempts, each with faults of the calls that create
the job. The entries keep connections, so that failed calls are sent again.
"""

from __future__ import annotations

import random
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from lab.model.fates import Fate
from lab.model.plans import (
    ITEM_LENGTHS_EVENTS,
    PATIENCE_S,
    VERB_WEIGHTS,
    CallKind,
    Plan,
    Step,
    Verb,
    draw_step,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    _Fates = tuple[Fate, ...]

_MAX_ATTEMPTS: Final = 3
_THREE_ENTRIES_SHARE: Final = 0.6
_SCORED_JOB_SHARE: Final = 0.2
_EVEN_SHARE: Final = 0.5
#: Share of the attempts whose entry reaches the store through others only.
_RELAYED_SHARE: Final = 0.3
#: Times that the trainer waits for a response; with 0 the response is lost.
_PATIENCE_S: Final = (PATIENCE_S, PATIENCE_S, PATIENCE_S, 1, 0.2, 0.02, 0)
#: Times from the start of an attempt to the next step. Refused jobs are told
#: to come back after 2 to 3 s.
_ATTEMPT_GAPS_S: Final = (0, 0.05, 0.5, 1.1, 2.3, 2.6, 6)
#: Entries know each other only after the longer ones.
_STARTUPS_S: Final = (1.2, 5, 6.5)
_MAX_FAULTS_PER_ATTEMPT: Final = 3
_MAX_CALLS: Final = 4
#: Faults that begin an outage of the store, or a part of it.
_OUTAGE_FAULTS: Final = (
    Fate.REFUSED_DOWN,
    Fate.UNANSWERED_DOWN,
    Fate.SILENT_DOWN,
    Fate.LATE_DOWN,
    Fate.UNANSWERED_GONE,
)
_CALL_FAULTS: Final = (
    Fate.LOST,
    Fate.UNANSWERED,
    Fate.LATE,
    Fate.TWICE,
    Fate.SLOW,
    Fate.REFUSED,
    Fate.LIMITED,
    Fate.SILENT,
    Fate.UNREACHABLE,
)
#: Faults of the calls that an attempt makes.
_FAULTS_BY_CALL: Final[Mapping[CallKind, _Fates]] = MappingProxyType(
    {
        CallKind.JOB: (*_CALL_FAULTS, *_OUTAGE_FAULTS, *_OUTAGE_FAULTS),
        CallKind.PART: (*_CALL_FAULTS, *_OUTAGE_FAULTS),
        CallKind.RELAYED_JOB: (
            Fate.LOST,
            Fate.UNANSWERED,
            Fate.LATE,
            Fate.SILENT,
            Fate.UNANSWERED_DOWN,
            Fate.SILENT_DOWN,
            Fate.LATE_DOWN,
        ),
        CallKind.LOOK: (Fate.REFUSED, Fate.LIMITED, Fate.SILENT),
    }
)
#: Relative frequency of the calls whose fate is set for an attempt.
_CALL_WEIGHTS: Final[Mapping[CallKind, int]] = MappingProxyType(
    {
        CallKind.JOB: 6,
        CallKind.PART: 2,
        CallKind.RELAYED_JOB: 2,
        CallKind.LOOK: 1,
    }
)
#: Relative frequency of the kinds of faults for an attempt.
_FAULT_VERB_WEIGHTS: Final[Mapping[Verb, int]] = MappingProxyType(
    {Verb.FATE: 8, Verb.REJECT: 3, Verb.CUT: 1, Verb.PAUSE: 1}
)


def drawn_submissions(seed: int, steps: int) -> Plan:
    """Return the plan that is drawn at random from a seed.

    Parameters
    ----------
    seed
        Seed of the random numbers; the same seed gives the same plan.
    steps
        Number of steps in the plan, the attempts included.
    """
    rng = random.Random(f'submissions {seed}')
    entries = 3 if rng.random() < _THREE_ENTRIES_SHARE else 2
    attempts: list[Step] = []
    for _ in range(rng.randint(1, _MAX_ATTEMPTS)):
        attempts.extend(_draw_attempt(rng, entries))
    weights = dict(VERB_WEIGHTS)
    weights.pop(Verb.END)
    verbs = rng.choices(
        tuple(weights),
        weights=tuple(weights.values()),
        k=max(steps - len(attempts), 0),
    )
    others = [draw_step(rng, verb, entries) for verb in verbs]
    return Plan(
        f'submissions {seed}',
        entries,
        tuple(
            tuple(rng.choices(ITEM_LENGTHS_EVENTS, k=2))
            for _ in range(rng.randint(1, 2))
        ),
        scored=rng.random() < _SCORED_JOB_SHARE,
        watched=rng.random() < _EVEN_SHARE,
        steps=tuple((*attempts, *others)[:steps]),
        steps_submit=True,
        kept_connections=True,
        startup_s=rng.choice(_STARTUPS_S),
        restarted=rng.random() < _EVEN_SHARE,
    )


def _draw_attempt(rng: random.Random, entries: int) -> Iterator[Step]:
    """Yield the faults of an attempt, and the attempt itself."""
    where = rng.randrange(entries)
    if rng.random() < _RELAYED_SHARE:
        yield Step(Verb.REJECT, where, gap_s=0)
        yield _draw_fate(rng, CallKind.RELAYED_JOB)
    for verb in rng.choices(
        tuple(_FAULT_VERB_WEIGHTS),
        weights=tuple(_FAULT_VERB_WEIGHTS.values()),
        k=rng.randint(0, _MAX_FAULTS_PER_ATTEMPT),
    ):
        if verb is Verb.FATE:
            call = rng.choices(
                tuple(_CALL_WEIGHTS), weights=tuple(_CALL_WEIGHTS.values())
            )[0]
            yield _draw_fate(rng, call)
        elif verb is Verb.REJECT:
            yield Step(verb, where, gap_s=0)
        else:
            yield Step(verb, rng.randrange(entries), gap_s=0)
    yield Step(
        Verb.SUBMIT,
        where,
        patience_s=rng.choice(_PATIENCE_S),
        gap_s=rng.choice(_ATTEMPT_GAPS_S),
    )


def _draw_fate(rng: random.Random, call: CallKind) -> Step:
    fate = rng.choice(_FAULTS_BY_CALL[call])
    count = 1 if fate in _OUTAGE_FAULTS else rng.randint(1, _MAX_CALLS)
    return Step(Verb.FATE, call=call, fate=fate, count=count, gap_s=0)
