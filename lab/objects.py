"""The objects of the store model and the history of their changes."""

from __future__ import annotations

import asyncio
import enum
import json
from collections import deque
from typing import TYPE_CHECKING, Any, Final, NamedTuple
from urllib.parse import parse_qs

if TYPE_CHECKING:
    from collections.abc import Iterator

#: An object as the protocol writes it: metadata, spec and status.
Stored = dict[str, Any]

_FIRST_REVISION: Final = 7


class Refusal(enum.Enum):
    """Why a write was rejected; the value is the HTTP status."""

    ABSENT = 404
    CONFLICT = 409


class Written(NamedTuple):
    """One change of an object."""

    revision: int
    kind: str
    removed: bool
    stored: Stored


class WriteCall(NamedTuple):
    """A write request of the protocol."""

    method: str
    #: Kind and name; ``status`` follows if the status is written.
    parts: tuple[str, ...]
    body: bytes


class ReadQuery(NamedTuple):
    """Parameters of a read request of the protocol."""

    kind: str
    name: str
    after: str
    since: int | None
    wait_s: float
    may_be_stale: bool


class WriteResult(NamedTuple):
    """The outcome of a write."""

    #: ``None`` if the write was applied.
    refusal: Refusal | None
    #: The written object, or the existing one with which a rejected write is
    #: in conflict.
    stored: Stored | None = None


class ObjectTable:
    """Objects by kind and name; each write gets the next revision."""

    def __init__(self) -> None:
        self.objects: dict[str, dict[str, Stored]] = {}
        self.history: list[Written] = []
        #: Changes up to this revision are no longer in the history.
        self.forgotten = 0
        self.revision = _FIRST_REVISION

    def put(
        self, kind: str, name: str, spec: object, status: object = None
    ) -> Stored:
        """Write an object; an existing object keeps its status."""
        known = self.objects.setdefault(kind, {}).get(name)
        self.revision += 1
        stored = {
            'metadata': {'name': name, 'rev': self.revision},
            'spec': spec,
            'status': status if known is None else known['status'],
        }
        self.objects[kind][name] = stored
        self._record_change(kind, removed=False, stored=stored)
        return stored

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self.objects[kind].pop(name)
        self.revision += 1
        self._record_change(kind, removed=True, stored=stored)

    def of_kind(self, kind: str) -> dict[str, Stored]:
        """Return the objects of a kind by name."""
        return self.objects.get(kind, {})

    def specs(self, kind: str) -> dict[str, Any]:
        """Return the specs of a kind's objects."""
        return {
            name: stored['spec'] for name, stored in self.of_kind(kind).items()
        }

    def copy(self) -> ObjectTable:
        """Return a table with the present objects, without their history."""
        copied = ObjectTable()
        copied.objects = {
            kind: dict(objects) for kind, objects in self.objects.items()
        }
        copied.revision = self.revision
        return copied

    def forget(self) -> None:
        """Drop the history of changes."""
        self.forgotten = self.revision
        self.history.clear()

    def since(self, kind: str, revision: int) -> Iterator[Written]:
        """Return the changes of a kind after a revision."""
        return (
            written
            for written in self.history
            if written.kind == kind and written.revision > revision
        )

    def write(self, call: WriteCall) -> WriteResult:
        """Apply a write request of the protocol."""
        if call.method == 'POST':
            return self._create(call)
        kind, name = call.parts[:2]
        stored = self.of_kind(kind).get(name)
        if stored is None:
            return WriteResult(Refusal.ABSENT)
        if call.method == 'DELETE':
            self.remove(kind, name)
            return WriteResult(None, stored)
        sent = json.loads(call.body)
        current = stored['metadata']
        if sent['metadata'].get('rev', current['rev']) != current['rev']:
            return WriteResult(Refusal.CONFLICT, stored)
        if len(call.parts) > 2:
            self.objects[kind][name] = {**stored, 'status': sent['status']}
            return WriteResult(None, self.put(kind, name, stored['spec']))
        return WriteResult(None, self.put(kind, name, sent['spec']))

    def _create(self, call: WriteCall) -> WriteResult:
        kind = call.parts[0]
        sent = json.loads(call.body)
        name = sent['metadata']['name']
        stored = self.of_kind(kind).get(name)
        if stored is not None:
            return WriteResult(Refusal.CONFLICT, stored)
        return WriteResult(None, self.put(kind, name, sent['spec']))

    def _record_change(
        self, kind: str, *, removed: bool, stored: Stored
    ) -> None:
        self.history.append(Written(self.revision, kind, removed, dict(stored)))


class PastTables:
    """Earlier states of a table, for calls that allow for old answers."""

    def __init__(self) -> None:
        #: States, with the loop times until which they were current.
        self._tables: deque[tuple[float, ObjectTable]] = deque()

    def keep(self, table: ObjectTable, age_s: float) -> None:
        """Keep the state of a table that is about to change.

        Parameters
        ----------
        table
            The table.
        age_s
            How long its state may be asked for; 0 if it is never asked for.
        """
        if not age_s:
            return
        now_s = asyncio.get_running_loop().time()
        self._tables.append((now_s, table.copy()))
        while self._tables[0][0] < now_s - age_s:
            self._tables.popleft()

    def find(self, age_s: float) -> ObjectTable | None:
        """Return the state of some time ago; ``None`` if it is still current.

        Parameters
        ----------
        age_s
            How long ago, at most as long as states are kept.
        """
        then_s = asyncio.get_running_loop().time() - age_s
        return next(
            (table for until_s, table in self._tables if until_s > then_s), None
        )


def parse_query(parts: tuple[str, ...], query: str) -> ReadQuery:
    """Return the parameters of a read request."""
    values_by_name = {name: found[0] for name, found in parse_qs(query).items()}
    since = values_by_name.get('watch')
    return ReadQuery(
        kind=parts[0],
        name=parts[1] if len(parts) > 1 else '',
        after=values_by_name.get('after', ''),
        since=None if since is None else int(since),
        wait_s=int(values_by_name.get('wait_ms', 0)) / 1000,
        may_be_stale='allow_stale' in values_by_name,
    )
