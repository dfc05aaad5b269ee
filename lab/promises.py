"""Promises to users, with counts of their checks and violations."""

from __future__ import annotations

import enum
from collections import Counter
from typing import Final

_ROW: Final = '{0:>8} {1:>7}  {2}'


class Promise(enum.Enum):
    """Guarantees to users of the product."""

    WHOLE = "an answer is whole and the caller's own"
    REFUSED = 'a refused request did not run'
    REFUSED_JOB = 'nothing of a job runs that was refused at each attempt'
    REFUSED_SO_FAR = 'nothing of a job runs while each attempt was refused'
    ONCE = 'a request that is not idempotent runs at most once'
    KEPT = 'a job that was taken can be read until its end'
    POSITION = 'a position that was read never changes'
    EVERYWHERE = 'a second after a position was read, it is there everywhere'
    BODY = 'an item that is not listed gives its body'
    EXACTLY_ONCE = 'an item stands at one position'
    TEXT = 'a text is whole and in order'
    SCORE = "a completed text has the proof of its own score call's answer"
    LOST = 'an item is lost only after as many failures as its route allows'
    VERSION = 'a text is of versions that its step takes'
    COMPLETE = 'a job is whole once the faults are over'
    MANIFEST = 'a process never goes back to an older manifest'
    CURRENT = 'at an entry in touch no manifest stays too long'
    LEFT = 'an upstream that leaves gets no more calls of entries in touch'
    NEWEST = 'the newest manifest is in force once the faults are over'
    WEIGHTS = 'engines have the newest version once the faults are over'
    ORDERS = 'an engine is never ordered back to an older version'
    STOP = 'a planned stop ends in time'
    SPARED = 'a request under which upstreams end is left alone'


class Promises:
    """A collector of checks and of the details of broken promises."""

    def __init__(self) -> None:
        self.checked: Counter[Promise] = Counter()
        self.broken: list[str] = []

    def check(self, promise: Promise, holds: bool, detail: str) -> None:
        """Count a check; record `detail` if the promise is broken."""
        self.checked[promise] += 1
        if not holds:
            self.broken.append(f'{promise.name}: {detail}')

    def report(self) -> str:
        """Return a table of all promises, then the details of broken ones."""
        broken = Counter(line.partition(':')[0] for line in self.broken)
        rows = [
            _ROW.format(
                self.checked[promise], broken[promise.name], promise.value
            )
            for promise in Promise
        ]
        return '\n'.join((' checked  broken  promise', *rows, *self.broken))
