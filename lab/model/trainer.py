"""The trainer of a history: hands its job in, reads, asks for bodies."""

from __future__ import annotations

import asyncio
import json
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Final

from bergamotdoor.http.messages import Headers
from bergamotdoor.platform import headers as names
from lab.model.network import received
from lab.model.pausing import start_outside
from lab.model.witness import JOB
from lab.wire import HOST, JobItem, job_body

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from bergamotdoor.http.messages import HttpResponse
    from lab.model.entry import ModelEntry
    from lab.model.witness import Witness

JOB_PATH: Final = '/roll/'
SCORE_PATH: Final = '/score/'
#: How long a caller waits for its answer.
_PATIENCE_S: Final = 5
_WAIT_MS: Final = '300'


class ModelTrainer:
    """Sends what a trainer sends, and has the answers checked."""

    def __init__(
        self, lengths: tuple[tuple[int, ...], ...], scored: bool
    ) -> None:
        self.items = tuple(
            JobItem(
                f'{JOB}.{group}.{number}',
                length,
                f'g{group}',
                SCORE_PATH if scored else '',
            )
            for group, members in enumerate(lengths)
            for number, length in enumerate(members)
        )
        self._groups = len(lengths)
        self._calls: set[asyncio.Task[None]] = set()

    def begin(self, call: Coroutine[Any, Any, None]) -> None:
        """Make a call while the history goes on."""
        task = start_outside(call)
        self._calls.add(task)
        task.add_done_callback(self._ended)

    async def hand_in(self, entry: ModelEntry, witness: Witness) -> None:
        """Hand the job in, or hand it in again."""
        body = job_body(JOB_PATH, self.items, 1, self._groups)
        target = f'{JOB_PATH}{JOB}'
        answer = await _ask(
            entry, 'POST', target, (names.REQUEST_ID, JOB), body
        )
        if answer is None:
            return
        if answer.status == HTTPStatus.ACCEPTED:
            witness.accepted = True
        elif answer.status == HTTPStatus.SERVICE_UNAVAILABLE:
            witness.see_refused()

    async def read(
        self, entry: ModelEntry, witness: Witness, back: int
    ) -> None:
        """Read on at an entry, or read some of the last positions again."""
        after = max(len(witness.read) - back, 0)
        paused = entry.pauses
        page = await self.page(entry, after, _WAIT_MS)
        now_s = asyncio.get_running_loop().time()
        if page == HTTPStatus.NOT_FOUND:
            witness.see_denied()
        elif isinstance(page, dict) and entry.pauses == paused:
            witness.see_page(after, page, now_s)

    async def page(
        self, entry: ModelEntry, after: int, wait_ms: str = ''
    ) -> dict[str, Any] | int | None:
        """Return a page; the status where there is none."""
        target = f'{names.RESULTS_PATH}{JOB}?after={after}'
        answer = await _ask(entry, 'GET', target, (names.WAIT_MS, wait_ms))
        if answer is None or answer.status != HTTPStatus.OK:
            return None if answer is None else answer.status
        page: dict[str, Any] = json.loads(_whole(answer))
        return page

    async def body(
        self, entry: ModelEntry, witness: Witness, item: str
    ) -> None:
        """Ask for the body of an item."""
        paused = entry.pauses
        target = f'{names.BODY_PATH}{JOB}?id={item}'
        answer = await _ask(entry, 'GET', target)
        if answer is None or entry.pauses != paused:
            return
        if answer.status == HTTPStatus.OK:
            witness.see_body(item, _whole(answer))
        elif answer.status == HTTPStatus.NOT_FOUND:
            witness.see_body(item, None)

    async def end(self, entry: ModelEntry, witness: Witness) -> None:
        """End the job."""
        target = f'{names.RESULTS_PATH}{JOB}'
        answer = await _ask(entry, 'DELETE', target)
        if answer is None:
            return
        if answer.status == HTTPStatus.OK:
            witness.see_end(asyncio.get_running_loop().time())
        elif answer.status == HTTPStatus.NOT_FOUND:
            witness.see_denied()

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._calls.discard(task)
        if not task.cancelled():
            task.result()


async def _ask(
    entry: ModelEntry,
    method: str,
    target: str,
    field: tuple[str, str] = ('host', HOST),
    body: bytes = b'',
) -> HttpResponse | None:
    headers = Headers.of([('host', HOST), field])
    request = received(method, target, headers, body)
    if entry.process.gone:
        return None
    # A paused process does not even notice that its caller leaves.
    asked = entry.ask(request)
    await asyncio.wait((asked,), timeout=_PATIENCE_S)
    if asked.done() and not asked.cancelled():
        return asked.result()
    asked.cancel()
    return None


def _whole(answer: HttpResponse) -> bytes:
    assert isinstance(answer.body, bytes)
    return answer.body
