"""What happens in a history: drawn from a seed, or every way up to a depth."""

from __future__ import annotations

import enum
import itertools
import random
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

import msgspec

from lab.model.network import Fate

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    _Fates = tuple[Fate, ...]
    _Names = tuple[str, ...]

_SMALL_GAP_S: Final = 0.6
_TINY_GAP_S: Final = 0.05
#: How long after a step the next one comes.
_GAPS_S: Final = (0, _TINY_GAP_S, 0.2, 0.5, 1.1, 2.3)
#: In events.
_LENGTHS: Final = (3, 12, 40, 120)
_SMALL_LENGTHS: Final = ((3, 3), (40, 3))
_ENDED_SHARE: Final = 0.2
_SCORED_SHARE: Final = 0.5
_THIRD_SHARE: Final = 0.3
_MOST_FATES: Final = 3


class Verb(enum.Enum):
    """What is done in a step."""

    PAUSE = 'pause'
    GO_ON = 'go on'
    KILL = 'kill'
    RESTART = 'restart'
    STOP = 'stop'
    #: One way only, to another entry or to the store.
    CUT = 'cut'
    HEAL = 'heal'
    #: The next calls of a kind.
    FATE = 'fate'
    READ = 'read'
    BODY = 'body'
    END = 'end'
    VERSION = 'version'
    BREAK = 'break'
    SCORE_FAILS = 'score fails'


class CallKind(enum.Enum):
    """What a call of a process is for."""

    RECORD = 'that stores results'
    CLAIM = 'that takes a job over'
    JOB = 'that creates a job'
    PART = "that stores a job's body"
    KEEP = 'that keeps open items'
    END = 'that notes an end'
    LOOK = 'that reads from the store'
    PEER = 'between entries'


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """One step; entries are counted from the job's owner on."""

    verb: Verb
    where: int = 0
    #: The other end of a link; -1 is the store.
    to: int = -1
    call: CallKind = CallKind.RECORD
    fate: Fate = Fate.DONE
    #: How many calls; of a read, how many positions it looks back.
    count: int = 1
    gap_s: float = _SMALL_GAP_S


class Plan(msgspec.Struct, frozen=True, omit_defaults=True):
    """A history to be played."""

    name: str
    entries: int
    #: Items by group, in events.
    lengths: tuple[tuple[int, ...], ...]
    scored: bool
    #: Whether every entry is asked for all after each step.
    watched: bool
    steps: tuple[Step, ...]


#: How often each is drawn.
_WEIGHTS: Final[Mapping[Verb, int]] = MappingProxyType(
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
_WRITES: Final = tuple(Fate)[1:]
_ANSWERED: Final = tuple(fate for fate in _WRITES if fate is not Fate.REFUSED)
_FATES: Final[Mapping[CallKind, _Fates]] = MappingProxyType(
    {
        **dict.fromkeys(CallKind, _WRITES),
        CallKind.LOOK: (Fate.LOST, Fate.SLOW, Fate.REFUSED),
        CallKind.PEER: _ANSWERED,
    }
)
_USED: Final[Mapping[Verb, _Names]] = MappingProxyType(
    {
        Verb.CUT: ('to',),
        Verb.FATE: ('call', 'fate', 'count'),
        Verb.READ: ('count',),
        Verb.SCORE_FAILS: ('count',),
    }
)
#: The steps of small worlds: two owners, two records, one reader.
_SMALL: Final = (
    Step(Verb.PAUSE),
    Step(Verb.GO_ON),
    Step(Verb.RESTART),
    Step(Verb.STOP, gap_s=_TINY_GAP_S),
    Step(Verb.CUT),
    Step(Verb.CUT, where=1, to=0),
    Step(Verb.HEAL),
    Step(Verb.FATE, call=CallKind.RECORD, fate=Fate.LATE, gap_s=0),
    Step(Verb.FATE, call=CallKind.RECORD, fate=Fate.UNANSWERED, gap_s=0),
    Step(Verb.FATE, call=CallKind.KEEP, fate=Fate.SLOW, gap_s=0),
    Step(Verb.READ),
    Step(Verb.READ, where=1),
    Step(Verb.READ, count=1),
    Step(Verb.BODY, gap_s=_TINY_GAP_S),
)


def drawn(seed: int, steps: int) -> Plan:
    """Return the history of a seed."""
    rng = random.Random(seed)
    entries = 3 if rng.random() < _THIRD_SHARE else 2
    verbs = dict(_WEIGHTS)
    if rng.random() > _ENDED_SHARE:
        verbs.pop(Verb.END)
    return Plan(
        f'seed {seed}',
        entries,
        tuple(
            tuple(rng.choices(_LENGTHS, k=2)) for _ in range(rng.randint(1, 3))
        ),
        rng.random() < _SCORED_SHARE,
        rng.random() < 1 / 2,
        tuple(
            _step(rng, verb, entries)
            for verb in rng.choices(
                tuple(verbs), weights=tuple(verbs.values()), k=steps
            )
        ),
    )


def _step(rng: random.Random, verb: Verb, entries: int) -> Step:
    call = rng.choice(tuple(CallKind))
    choices = {
        'to': rng.randrange(-1, entries),
        'call': call,
        'fate': rng.choice(_FATES[call]),
        'count': rng.randint(1, _MOST_FATES),
    }
    # The others would only make a plan hard to read.
    used = {name: choices[name] for name in _USED.get(verb, ())}
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
    """Return every history of so many steps of a small world."""
    for number, steps in enumerate(itertools.product(_SMALL, repeat=depth)):
        yield Plan(
            f'small {number}',
            2,
            _SMALL_LENGTHS,
            scored=False,
            watched=True,
            steps=steps,
        )
