"""Plans of histories: drawn at random from a seed, or enumerated.

A plan gives the entries, the items of the job, and the steps: faults, and
requests of the trainer. Small plans are enumerated exhaustively: every sequence
of a given number of steps is played.
"""

from __future__ import annotations

import enum
import itertools
import random
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

import msgspec

from lab.model.fates import Fate

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    _Fates = tuple[Fate, ...]
    _Names = tuple[str, ...]

_DEFAULT_GAP_S: Final = 0.6
_SHORT_GAP_S: Final = 0.05
_STARTUP_S: Final = 1.2
#: Time that a trainer waits for the response to a request.
PATIENCE_S: Final = 5
#: Times between a step and the next one, drawn at random.
_GAPS_S: Final = (0, _SHORT_GAP_S, 0.2, 0.5, 1.1, 2.3)
#: Item lengths drawn at random.
ITEM_LENGTHS_EVENTS: Final = (3, 12, 40, 120)
#: Item lengths of small plans, by group.
_SMALL_PLAN_LENGTHS_EVENTS: Final = ((3, 3), (40, 3))
#: Share of the drawn plans that may have a step which ends the job.
_END_ALLOWED_SHARE: Final = 0.2
_SCORED_JOB_SHARE: Final = 0.5
#: Share of the drawn plans with three entries; the others have two.
_THREE_ENTRIES_SHARE: Final = 0.3
#: Largest `Step.count` that is drawn.
_MAX_STEP_COUNT: Final = 3


class Verb(enum.Enum):
    """Kind of a step."""

    PAUSE = 'pause'
    GO_ON = 'go on'
    KILL = 'kill'
    RESTART = 'restart'
    STOP = 'stop'
    #: Loses the calls of an entry to another entry or to the store; calls in
    #: the opposite direction still get through.
    CUT = 'cut'
    HEAL = 'heal'
    #: Sets the fate of the next calls of a kind.
    FATE = 'fate'
    #: Reads results at an entry.
    READ = 'read'
    #: Reads the bodies of all items whose results were not read yet.
    BODY = 'body'
    #: Requests at an entry that the job ends.
    END = 'end'
    #: Has the engines load new weights.
    VERSION = 'version'
    #: Breaks all streams from the engines.
    BREAK = 'break'
    #: Has the next score calls fail.
    SCORE_FAILS = 'score fails'
    #: Submits the job at an entry.
    SUBMIT = 'submit'
    #: Has the store reject all calls of an entry, and of no other one.
    REJECT = 'reject'


class CallKind(enum.Enum):
    """Purpose of a call that a process makes."""

    RECORD = 'that stores results'
    CLAIM = 'that takes a job over'
    JOB = 'that creates a job'
    PART = "that stores a job's body"
    KEEP = 'that keeps open items'
    END = 'that notes an end'
    LOOK = 'that reads from the store'
    PEER = 'between entries'
    #: Such a call is also one between entries.
    RELAYED_JOB = 'that relays the creation of a job'


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """One step of a history.

    Entries are numbered in the order of their names, but the owner of the job
    is number 0.
    """

    verb: Verb
    #: Number of the entry at which the step is done.
    where: int = 0
    #: Number of the entry to which a link is cut; -1 is the store.
    to: int = -1
    #: The calls whose fate is set.
    call: CallKind = CallKind.RECORD
    fate: Fate = Fate.DONE
    #: Number of calls whose fate is set; `SCORE_FAILS` fails one call more. A
    #: read begins ``count - 1`` positions before the first unread one.
    count: int = 1
    #: Time that the trainer waits for the response to a submission. With 0
    #: the entry handles it to the end, and its response is lost.
    patience_s: float = PATIENCE_S
    #: Time until the next step.
    gap_s: float = _DEFAULT_GAP_S


class Plan(msgspec.Struct, frozen=True, omit_defaults=True):
    """Plan of one history."""

    name: str
    #: Number of entries.
    entries: int
    #: Lengths of the job's items by group, in events.
    lengths: tuple[tuple[int, ...], ...]
    #: Whether the items are scored.
    scored: bool
    #: Whether results and unread bodies are requested from every entry after
    #: each step.
    watched: bool
    steps: tuple[Step, ...]
    #: Whether only the steps submit the job. Otherwise it is submitted at the
    #: start, and at the end until an entry accepts it.
    steps_submit: bool = False
    #: Whether the entries keep connections. A call that fails on a kept one is
    #: sent a second time.
    kept_connections: bool = False
    #: Time from the start of the entries to the first step. They discover each
    #: other once the old answers of the store tell of them, after 4 s.
    startup_s: float = _STARTUP_S
    #: Whether all entries start again after the steps.
    restarted: bool = False
    #: Whether it breaks a promise that an entry refuses a job that it knows.
    checks_known_refusals: bool = False


#: Relative frequency at which each kind of step is drawn.
VERB_WEIGHTS: Final[Mapping[Verb, int]] = MappingProxyType(
    {
        Verb.PAUSE: 3,
        Verb.GO_ON: 3,
        Verb.KILL: 1,
        Verb.RESTART: 2,
        Verb.STOP: 2,
        Verb.CUT: 2,
        Verb.HEAL: 2,
        Verb.FATE: 6,
        Verb.READ: 6,
        Verb.BODY: 4,
        Verb.END: 1,
        Verb.VERSION: 1,
        Verb.BREAK: 1,
        Verb.SCORE_FAILS: 1,
    }
)
#: Faults of single calls.
_ALL_FAULTS: Final = (
    Fate.LOST,
    Fate.UNANSWERED,
    Fate.LATE,
    Fate.TWICE,
    Fate.SLOW,
    Fate.REFUSED,
)
#: Kinds of calls whose fate is drawn.
_CALLS: Final = tuple(
    call for call in CallKind if call is not CallKind.RELAYED_JOB
)
_PEER_FAULTS: Final = tuple(
    fate for fate in _ALL_FAULTS if fate is not Fate.REFUSED
)
#: Faults that are drawn for each kind of call.
_FAULTS_BY_CALL: Final[Mapping[CallKind, _Fates]] = MappingProxyType(
    {
        **dict.fromkeys(_CALLS, _ALL_FAULTS),
        CallKind.LOOK: (Fate.LOST, Fate.SLOW, Fate.REFUSED),
        CallKind.PEER: _PEER_FAULTS,
    }
)
#: Fields of a step that only some kinds of step use.
_FIELDS_BY_VERB: Final[Mapping[Verb, _Names]] = MappingProxyType(
    {
        Verb.CUT: ('to',),
        Verb.FATE: ('call', 'fate', 'count'),
        Verb.READ: ('count',),
        Verb.SCORE_FAILS: ('count',),
    }
)
#: Steps of small plans, which have two owners, two records and one reader.
_SMALL_PLAN_STEPS: Final = (
    Step(Verb.PAUSE),
    Step(Verb.GO_ON),
    Step(Verb.RESTART),
    Step(Verb.STOP, gap_s=_SHORT_GAP_S),
    Step(Verb.CUT),
    Step(Verb.CUT, where=1, to=0),
    Step(Verb.HEAL),
    Step(Verb.FATE, call=CallKind.RECORD, fate=Fate.LATE, gap_s=0),
    Step(Verb.FATE, call=CallKind.RECORD, fate=Fate.UNANSWERED, gap_s=0),
    Step(Verb.FATE, call=CallKind.KEEP, fate=Fate.SLOW, gap_s=0),
    Step(Verb.READ),
    Step(Verb.READ, where=1),
    Step(Verb.READ, count=1),
    Step(Verb.BODY, gap_s=_SHORT_GAP_S),
)


def drawn(seed: int, steps: int) -> Plan:
    """Return the plan that is drawn at random from a seed.

    Parameters
    ----------
    seed
        Seed of the random numbers; the same seed gives the same plan.
    steps
        Number of steps in the plan.
    """
    rng = random.Random(seed)
    entries = 3 if rng.random() < _THREE_ENTRIES_SHARE else 2
    weights = dict(VERB_WEIGHTS)
    if rng.random() > _END_ALLOWED_SHARE:
        weights.pop(Verb.END)
    return Plan(
        f'seed {seed}',
        entries,
        tuple(
            tuple(rng.choices(ITEM_LENGTHS_EVENTS, k=2))
            for _ in range(rng.randint(1, 3))
        ),
        rng.random() < _SCORED_JOB_SHARE,
        rng.random() < 1 / 2,
        tuple(
            draw_step(rng, verb, entries)
            for verb in rng.choices(
                tuple(weights), weights=tuple(weights.values()), k=steps
            )
        ),
    )


def draw_step(rng: random.Random, verb: Verb, entries: int) -> Step:
    """Return a step of a kind, with fields drawn at random."""
    call = rng.choice(_CALLS)
    choices = {
        'to': rng.randrange(-1, entries),
        'call': call,
        'fate': rng.choice(_FAULTS_BY_CALL[call]),
        'count': rng.randint(1, _MAX_STEP_COUNT),
    }
    # Leaves out fields that the step does not use: a printed plan is easier
    # to read without them.
    used = {name: choices[name] for name in _FIELDS_BY_VERB.get(verb, ())}
    return msgspec.convert(
        {
            'verb': verb,
            'where': rng.randrange(entries),
            'gap_s': rng.choice(_GAPS_S),
            **used,
        },
        Step,
    )


def small_worlds(depth: int) -> Iterator[Plan]:
    """Yield the small plans: every sequence of `depth` steps."""
    for number, steps in enumerate(
        itertools.product(_SMALL_PLAN_STEPS, repeat=depth)
    ):
        yield Plan(
            f'small {number}',
            2,
            _SMALL_PLAN_LENGTHS_EVENTS,
            scored=False,
            watched=True,
            steps=steps,
        )
