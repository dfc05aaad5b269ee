"""Checks of the responses that a trainer receives, and of the store."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, Final

from lab.model.attempts import Attempts
from lab.model.promises import Broken, Promise
from lab.model.upstreams import proof_of, text_line
from lab.wire import score_id

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from lab.objects import ObjectTable

JOB: Final = 'j1'
PARTS_KIND: Final = f'job-{JOB}'
#: Time after the first read of a position, within which every entry has to
#: list that position.
_VISIBILITY_S: Final = 1
#: Time after the confirmed end of the job, from which no item may start.
_END_EFFECT_S: Final = 3
#: Number of responses with status 500 to the score calls of a text, after
#: which the text is lost.
MOST_FAILURES: Final = 4
_RECORD_PREFIX: Final = 'result-'
_ID_KEY: Final = 'id'


class Witness:
    """Checker that compares new observations with the earlier ones.

    Parameters
    ----------
    lengths
        Lengths of the job's items in events, by item.
    scored
        Whether the items are scored.
    table
        Objects in the store.
    failures
        Function that returns the number of failures with which the score call
        of a given id was answered.
    checks_known_refusals
        Whether it breaks a promise that an entry refuses a job that it knows.
        Otherwise such refusals are only counted.
    """

    def __init__(
        self,
        lengths: Mapping[str, int],
        scored: bool,
        table: ObjectTable,
        failures: Callable[[str], int],
        *,
        checks_known_refusals: bool = False,
    ) -> None:
        self.lengths = lengths
        self.broken: list[Broken] = []
        #: Number of checks.
        self.checked = 0
        #: Attempts of the trainer to submit the job.
        self.attempts = Attempts(
            self.broken,
            lambda: JOB in table.of_kind('jobs'),
            checks_known_refusals=checks_known_refusals,
        )
        #: First result that was read at each position.
        self.read: dict[int, dict[str, Any]] = {}
        #: Time of the first read of each position.
        self._first_read_at_s: dict[int, float] = {}
        self._end_confirmed_at_s: float | None = None
        self._scored = scored
        self._table = table
        self._failures = failures

    @property
    def accepted(self) -> bool:
        """Whether an entry has accepted the job."""
        return self.attempts.are_accepted

    @property
    def unread(self) -> list[str]:
        """Items whose results have not been read."""
        read_items = {result[_ID_KEY] for result in self.read.values()}
        return [item for item in self.lengths if item not in read_items]

    @property
    def ended(self) -> bool:
        """Whether the job is ended according to the store."""
        stored = self._table.of_kind('jobs').get(JOB)
        return stored is not None and bool(
            (stored['status'] or {}).get('ended')
        )

    @property
    def listed(self) -> list[str]:
        """Items of all result records in the store, in order."""
        records = self._table.of_kind(PARTS_KIND)
        return [
            result['item']
            for name in sorted(records)
            if name.startswith(_RECORD_PREFIX)
            for result in records[name]['spec']['results']
        ]

    def see_page(self, after: int, page: dict[str, Any], now_s: float) -> None:
        """Check a page of results.

        Parameters
        ----------
        after
            Position of the first result of the page.
        page
            The page as the trainer received it.
        now_s
            Current loop time.
        """
        self.attempts.signs.append(f'results are read from position {after}')
        if page['total'] != len(self.lengths):
            self._record_broken(
                Promise.ACCEPTED, f'{page["total"]} items in all'
            )
        for position, result in enumerate(page['results'], start=after):
            self._check_result(position, result, now_s)
        first_read_at_s = self._first_read_at_s.get(after, now_s)
        if not page['results'] and first_read_at_s <= now_s - _VISIBILITY_S:
            ago_s = round(now_s - first_read_at_s, 2)
            self._record_broken(
                Promise.READ,
                f'nothing at position {after}, which was read {ago_s} s before',
            )
        self.checked += 1

    def see_denied(self, *, was_accepted: bool) -> None:
        """Check a response which says that there is no such job.

        Parameters
        ----------
        was_accepted
            Whether the job was accepted before the request was sent. An entry
            that read the store before may deny it at the same moment.
        """
        if was_accepted:
            self._record_broken(Promise.ACCEPTED, 'no such job')

    def see_body(self, item: str, body: bytes) -> None:
        """Check the body of an item."""
        self.attempts.signs.append(f'the body of item {item} is read')
        self.checked += 1
        if body != str(self.lengths[item]).encode():
            self._record_broken(Promise.BODY, f'{body!r} of item {item}')

    def see_body_denied(self, item: str, *, was_accepted: bool) -> None:
        """Check a response which says that an item has no body.

        Parameters
        ----------
        item
            The item.
        was_accepted
            Whether the job was accepted before the request was sent.
        """
        self.checked += 1
        if was_accepted and item not in self.listed and not self.ended:
            self._record_broken(
                Promise.BODY, f'item {item} is not listed, yet denied'
            )

    def see_end(self, now_s: float) -> None:
        """Record that an entry confirmed the end of the job."""
        if self._end_confirmed_at_s is None:
            self._end_confirmed_at_s = now_s

    def see_start(self, item: str, calm_since_s: float, now_s: float) -> None:
        """Check that an item may still start at an engine.

        Parameters
        ----------
        item
            The item that starts.
        calm_since_s
            Loop time of the last disturbance of the entry that sent the item.
            The time in which items may still start counts from there, if the
            end of the job was confirmed before.
        now_s
            Current loop time.
        """
        self.attempts.signs.append(f'item {item} starts')
        since_s = max(calm_since_s, self._end_confirmed_at_s or now_s)
        if now_s - since_s > _END_EFFECT_S:
            self._record_broken(Promise.END, f'item {item} starts')

    def see_store(self) -> None:
        """Check that the store lists no item twice."""
        self.checked += 1
        listed = self.listed
        if len(listed) > len(set(listed)):
            self._record_broken(Promise.ONCE, f'the store lists {listed}')

    def see_all(self, entry: str, results: list[dict[str, Any]]) -> None:
        """Check that an entry lists all items once the faults are over."""
        self.checked += 1
        items = sorted(result[_ID_KEY] for result in results)
        if items != sorted(self.lengths) and not self.ended:
            self._record_broken(Promise.COMPLETE, f'{entry} lists {items}')

    def _check_result(
        self, position: int, result: dict[str, Any], now_s: float
    ) -> None:
        known = self.read.setdefault(position, result)
        self._first_read_at_s.setdefault(position, now_s)
        if known != result:
            self._record_broken(
                Promise.POSITION,
                f'position {position} holds {_describe(result)}, '
                f'it held {_describe(known)}',
            )
        for other, earlier in self.read.items():
            if other != position and earlier[_ID_KEY] == result[_ID_KEY]:
                self._record_broken(
                    Promise.ONCE,
                    f'item {earlier["id"]} at positions {other} and {position}',
                )
        for broken in self._check_content(result):
            self._record_broken(*broken)

    def _check_content(self, result: dict[str, Any]) -> Iterator[Broken]:
        item = result[_ID_KEY]
        call = score_id(item)
        if result['state'] == 'lost':
            if self._failures(call) < MOST_FAILURES and not self.ended:
                yield Broken(Promise.LOST, f'item {item}')
            return
        lines = result['text'].split('\n')
        versions = {int(line.rpartition('/v')[2]) for line in lines}
        line_versions = [int(line.rpartition('/v')[2]) for line in lines]
        expected = [
            text_line(item, number, version)
            for number, version in enumerate(line_versions, start=1)
        ]
        if lines != expected or len(lines) != self.lengths[item]:
            yield Broken(Promise.TEXT, f'item {item}: {lines}')
        if versions != set(result['versions']):
            yield Broken(
                Promise.TEXT, f'item {item}: versions {result["versions"]}'
            )
        expected_score = proof_of(call) if self._scored else ''
        score = result.get('score', '')
        if score != expected_score:
            yield Broken(Promise.TEXT, f'item {item}: score {score!r}')

    def _record_broken(self, promise: Promise, detail: str) -> None:
        self.broken.append(Broken(promise, detail))


def _describe(result: dict[str, Any]) -> str:
    item, state = result[_ID_KEY], result['state']
    size_bytes = len(json.dumps(result))
    return f'{item} ({state}, {size_bytes} bytes)'
