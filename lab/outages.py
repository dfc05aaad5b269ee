"""Writes to the store whose responses are lost, and outages after them."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from lab.objects import WriteCall
    from lab.store import StoreMode

#: The time after which a delayed write is applied.
_WRITE_DELAY_S: Final = 2
_JOBS: Final = 'jobs'
_PARTS_PREFIX: Final = 'job-'


class Loss(enum.Enum):
    """How the response to a write is lost."""

    RESET = 'the connection is reset'
    SILENCE = 'the connection stays open'
    CUT = 'the connection ends within the body'


class StoredWrite(enum.Enum):
    """What a write about a job stores."""

    RECORD = 'the record of a new job'
    CLAIM = 'the record with the next owner'
    END = 'the end of a job'
    PART = 'a part of a job, or results'


class Outage:
    """An outage of the store that begins with a write about a job.

    Parameters
    ----------
    write
        The write, which is applied and gets no response; ``None`` if the
        outage begins at once.
    loss
        How the response to the write is lost.
    mode
        How the store responds during the outage.
    """

    def __init__(
        self, write: StoredWrite | None, loss: Loss, mode: StoreMode
    ) -> None:
        self.loss = loss
        self.mode = mode
        #: Addresses of the clients that it affects; empty for all clients.
        self.client_ips: frozenset[str] = frozenset()
        #: How much later the write is applied.
        self.write_delay_s = float()
        #: Called as soon as the write is applied.
        self.on_write: Callable[[], None] | None = None
        self.begun = asyncio.Event()
        self._write = write
        if write is None:
            self.begun.set()

    def begins_with(self, call: WriteCall) -> bool:
        """Return whether the outage begins with this write."""
        return not self.begun.is_set() and _stored_write(call) is self._write

    def begin(self) -> None:
        """Begin the outage."""
        self.begun.set()
        if self.on_write is not None:
            self.on_write()

    def affects(self, client_ip: str) -> bool:
        """Return whether calls of a client fail now."""
        affected = not self.client_ips or client_ip in self.client_ips
        return affected and self.begun.is_set()


class WriteFault(NamedTuple):
    """What goes wrong with one write."""

    loss: Loss
    #: How much later the write is applied.
    delay_s: float = 0


class WriteFaults:
    """What goes wrong with the next writes, and outages."""

    def __init__(self) -> None:
        #: How many are applied but get no response.
        self.unanswered = 0
        #: How many get no response and are applied later.
        self.delayed = 0
        #: Outages that have begun or wait for their write.
        self.outages: list[Outage] = []
        #: Writes that are carried out after the next page of a listing that
        #: has further pages, by kind.
        self.between_pages: dict[str, Callable[[], object]] = {}

    @property
    def are_open(self) -> bool:
        """Whether any write is yet to fail, or an outage to end."""
        return bool(self.unanswered or self.delayed or self.outages)

    def outage_for(self, client_ip: str) -> Outage | None:
        """Return the outage that affects a client now, if any."""
        affecting = (one for one in self.outages if one.affects(client_ip))
        return next(affecting, None)

    def write_between_pages(self, kind: str) -> None:
        """Carry out the write that waits for a page of a kind, if any."""
        write = self.between_pages.pop(kind, None)
        if write is not None:
            write()

    def next_fault(self, call: WriteCall) -> WriteFault | None:
        """Return what goes wrong with a write; begin its outage."""
        for outage in self.outages:
            if outage.begins_with(call):
                outage.begin()
                return WriteFault(outage.loss, outage.write_delay_s)
        if self.delayed:
            self.delayed -= 1
            return WriteFault(Loss.CUT, _WRITE_DELAY_S)
        if self.unanswered:
            self.unanswered -= 1
            return WriteFault(Loss.CUT)
        return None


def _stored_write(call: WriteCall) -> StoredWrite | None:
    kind, *names = call.parts
    if call.method == 'POST':
        if kind.startswith(_PARTS_PREFIX):
            return StoredWrite.PART
        return StoredWrite.RECORD if kind == _JOBS else None
    if call.method == 'PUT' and kind == _JOBS:
        return StoredWrite.END if len(names) > 1 else StoredWrite.CLAIM
    return None
