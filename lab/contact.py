"""When processes, ways and the store were impaired.

The rules with a time bound hold for a process only if it was in touch: for a
while it ran, its links were whole, and the store was sound. They count from
the end of an impairment, however much of a run is impaired.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from lab.store import ANSWER_S, StoreMode

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from typing import TypeAlias

    from lab.store import Store

    #: Records that an impairment begins; returns its span.
    Begin: TypeAlias = Callable[[], 'Span']

#: How long a process must have been without impairment to be in touch.
CONTACT_S: Final = 3
STORE: Final = 'store'
#: Stands for all processes, which share the machine.
_MACHINE: Final = 'machine'
_POLL_INTERVAL_S: Final = 0.02
#: A longer delay of this process shows that the machine holds processes back.
_MAX_DELAY_S: Final = 0.1


class Span:
    """An impairment of some processes, which may go on."""

    def __init__(self, names: Iterable[str]) -> None:
        self.names = frozenset(names)
        self.began_s = _now_s()
        self.ended_s: float | None = None

    def end(self) -> None:
        """Record that the impairment is over."""
        if self.ended_s is None:
            self.ended_s = _now_s()

    def overlaps(self, since_s: float, until_s: float) -> bool:
        """Return whether it was in force at any moment of a time."""
        is_over = self.ended_s is not None and self.ended_s < since_s
        return self.began_s <= until_s and not is_over


class Contact:
    """The impairments of a run.

    Parameters
    ----------
    margin_s
        Added to each bound.
    """

    def __init__(self, margin_s: float) -> None:
        #: Added to each bound of the rules, for the scheduling of the machine.
        self.margin_s = margin_s
        self._spans: list[Span] = []

    def begin(self, *names: str) -> Span:
        """Record that an impairment of some processes or ways begins."""
        span = Span(names)
        self._spans.append(span)
        return span

    def is_calm(
        self, names: Iterable[str], since_s: float, until_s: float
    ) -> bool:
        """Return whether nothing was impaired during a time."""
        named = {*names, _MACHINE}
        return not any(
            span.overlaps(since_s, until_s)
            for span in self._spans
            if not named.isdisjoint(span.names)
        )

    def in_touch(self, name: str, since_s: float, until_s: float) -> bool:
        """Return whether a process was in touch all through a time."""
        calm_since_s = since_s - CONTACT_S - self.margin_s
        return self.is_calm((name, STORE), calm_since_s, until_s)

    async def watch(self, store: Store) -> None:
        """Record the store's and the machine's impairments until cancelled."""
        watched = _WatchedStore(self, store)
        while True:
            polled_s = _now_s()
            await asyncio.sleep(_POLL_INTERVAL_S)
            if _now_s() - polled_s > _POLL_INTERVAL_S + _MAX_DELAY_S:
                self.begin(_MACHINE).end()
            watched.poll()


class _WatchedStore:
    """Records the impairments of the store from its switches."""

    def __init__(self, contact: Contact, store: Store) -> None:
        self._contact = contact
        self._store = store
        self._forgotten = store.table.forgotten
        self._span: Span | None = None

    def poll(self) -> None:
        """Record what has changed since the last call."""
        if self._store.table.forgotten != self._forgotten:
            self._forgotten = self._store.table.forgotten
            self._contact.begin(STORE).end()
        impaired = self._is_impaired()
        if impaired and self._span is None:
            self._span = self._contact.begin(STORE)
        elif self._span is not None and not impaired:
            self._span.end()
            self._span = None

    def _is_impaired(self) -> bool:
        """Return whether it rejects, loses, hides or delays anything now."""
        store = self._store
        answers = store.mode is StoreMode.UP and not store.deaf
        delays_s = (store.answer_s - ANSWER_S, store.list_s)
        is_slow = max(*delays_s, *store.kind_s.values()) > 0
        return is_slow or not answers or store.write_faults.are_open


def _now_s() -> float:
    return asyncio.get_running_loop().time()
