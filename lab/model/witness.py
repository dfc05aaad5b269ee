"""What is checked of every answer, and of what the store holds."""

from __future__ import annotations

import enum
import json
from typing import TYPE_CHECKING, Any, Final, NamedTuple

from lab.model.upstreams import proof_of, text_line
from lab.wire import score_id

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from lab.objects import ObjectTable

JOB: Final = 'j1'
PARTS_KIND: Final = f'job-{JOB}'
#: After a position was read, until it must be there everywhere.
_SETTLED_S: Final = 1
#: After an end is confirmed, until nothing starts.
_ENDED_S: Final = 3
#: After so many answers of 500 a text is given up.
MOST_FAILURES: Final = 4
_RECORD: Final = 'result-'
_ID: Final = 'id'


class Promise(enum.Enum):
    """What must hold."""

    POSITION = 'a position holds one result for good'
    ONCE = 'no item stands at two positions'
    READ = 'a position that was read is not denied'
    BODY = 'the body of an item that is not listed is not denied'
    ACCEPTED = 'a job that was accepted is not denied'
    REFUSED = 'of a job that was refused nothing is there'
    END = 'after a confirmed end nothing starts'
    TEXT = "versions and score of a result are its text's"
    LOST = 'an item is lost only if it cannot be done'
    COMPLETE = 'once all is well every item is listed'


class Broken(NamedTuple):
    """A promise that did not hold."""

    promise: Promise
    detail: str


class Witness:
    """Knows what was seen, and tells what cannot be.

    Parameters
    ----------
    lengths
        The items of the job, in events.
    scored
        Whether they want a score.
    table
        What the store holds.
    failures
        Returns how often a score call was answered with a failure.
    """

    def __init__(
        self,
        lengths: Mapping[str, int],
        scored: bool,
        table: ObjectTable,
        failures: Callable[[str], int],
    ) -> None:
        self.lengths = lengths
        self.broken: list[Broken] = []
        self.checked = 0
        self.accepted = False
        #: What was read at each position, and since when.
        self.read: dict[int, dict[str, Any]] = {}
        self._read_at_s: dict[int, float] = {}
        self._ended_at_s: float | None = None
        self._scored = scored
        self._table = table
        self._failures = failures

    @property
    def unread(self) -> list[str]:
        """The items that were not read yet."""
        read = {result[_ID] for result in self.read.values()}
        return [item for item in self.lengths if item not in read]

    @property
    def ended(self) -> bool:
        """Whether the store holds that the job is ended."""
        stored = self._table.of_kind('jobs').get(JOB)
        return stored is not None and bool(
            (stored['status'] or {}).get('ended')
        )

    @property
    def listed(self) -> list[str]:
        """The items of all records in the store, in order."""
        records = self._table.of_kind(PARTS_KIND)
        return [
            result['item']
            for name in sorted(records)
            if name.startswith(_RECORD)
            for result in records[name]['spec']['results']
        ]

    def see_page(self, after: int, page: dict[str, Any], now_s: float) -> None:
        """Take a page that was read."""
        if page['total'] != len(self.lengths):
            self._break(Promise.ACCEPTED, f'{page["total"]} items in all')
        for position, result in enumerate(page['results'], start=after):
            self._see_result(position, result, now_s)
        read_at_s = self._read_at_s.get(after, now_s)
        if not page['results'] and read_at_s <= now_s - _SETTLED_S:
            ago_s = round(now_s - read_at_s, 2)
            self._break(
                Promise.READ,
                f'nothing at position {after}, which was read {ago_s} s before',
            )
        self.checked += 1

    def see_denied(self) -> None:
        """Take that there is no such job."""
        if self.accepted:
            self._break(Promise.ACCEPTED, 'no such job')

    def see_body(self, item: str, body: bytes | None) -> None:
        """Take an item's body, None for one that is denied."""
        self.checked += 1
        if body is not None:
            if body != str(self.lengths[item]).encode():
                self._break(Promise.BODY, f'{body!r} of item {item}')
        elif self.accepted and item not in self.listed and not self.ended:
            self._break(Promise.BODY, f'item {item} is not listed, yet denied')

    def see_refused(self) -> None:
        """Take that a job that was refused is not there."""
        if JOB in self._table.of_kind('jobs'):
            self._break(Promise.REFUSED, 'it is in the store')

    def see_end(self, now_s: float) -> None:
        """Take that the job's end was confirmed."""
        if self._ended_at_s is None:
            self._ended_at_s = now_s

    def see_start(self, item: str, calm_since_s: float, now_s: float) -> None:
        """Take that an engine begins an item.

        Parameters
        ----------
        item
            Which one.
        calm_since_s
            Since when nothing has gone wrong at the entry that sent it.
        now_s
            The time.
        """
        since_s = max(calm_since_s, self._ended_at_s or now_s)
        if now_s - since_s > _ENDED_S:
            self._break(Promise.END, f'item {item} starts')

    def see_store(self) -> None:
        """Look at what the store holds."""
        self.checked += 1
        listed = self.listed
        if len(listed) > len(set(listed)):
            self._break(Promise.ONCE, f'the store lists {listed}')

    def see_all(self, entry: str, results: list[dict[str, Any]]) -> None:
        """Take all results of an entry once all is well."""
        self.checked += 1
        found = sorted(result[_ID] for result in results)
        if found != sorted(self.lengths) and not self.ended:
            self._break(Promise.COMPLETE, f'{entry} lists {found}')

    def _see_result(
        self, position: int, result: dict[str, Any], now_s: float
    ) -> None:
        known = self.read.setdefault(position, result)
        self._read_at_s.setdefault(position, now_s)
        if known != result:
            self._break(
                Promise.POSITION,
                f'position {position} holds {_short(result)}, '
                f'it held {_short(known)}',
            )
        for other, one in self.read.items():
            if other != position and one[_ID] == result[_ID]:
                self._break(
                    Promise.ONCE,
                    f'item {one["id"]} at positions {other} and {position}',
                )
        for wrong in self._wrong(result):
            self._break(*wrong)

    def _wrong(self, result: dict[str, Any]) -> Iterator[Broken]:
        item = result[_ID]
        call = score_id(item)
        if result['state'] == 'lost':
            if self._failures(call) < MOST_FAILURES and not self.ended:
                yield Broken(Promise.LOST, f'item {item}')
            return
        lines = result['text'].split('\n')
        versions = {int(line.rpartition('/v')[2]) for line in lines}
        made = [int(line.rpartition('/v')[2]) for line in lines]
        whole = [
            text_line(item, number, version)
            for number, version in enumerate(made, start=1)
        ]
        if lines != whole or len(lines) != self.lengths[item]:
            yield Broken(Promise.TEXT, f'item {item}: {lines}')
        if versions != set(result['versions']):
            yield Broken(
                Promise.TEXT, f'item {item}: versions {result["versions"]}'
            )
        wanted = proof_of(call) if self._scored else ''
        score = result.get('score', '')
        if score != wanted:
            yield Broken(Promise.TEXT, f'item {item}: score {score!r}')

    def _break(self, promise: Promise, detail: str) -> None:
        self.broken.append(Broken(promise, detail))


def _short(result: dict[str, Any]) -> str:
    item, state = result[_ID], result['state']
    size_bytes = len(json.dumps(result))
    return f'{item} ({state}, {size_bytes} bytes)'
