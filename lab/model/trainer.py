"""Trainer of a history: submits its job, reads results and item bodies."""

from __future__ import annotations

import asyncio
import json
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Final

from bergamotdoor.http.messages import Headers
from bergamotdoor.platform import headers as names
from lab.model.attempts import current_attempt
from lab.model.network import received
from lab.model.pausing import start_outside
from lab.model.plans import PATIENCE_S
from lab.model.witness import JOB
from lab.wire import HOST, JobItem, job_body

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from bergamotdoor.http.messages import HttpResponse
    from lab.model.entry import ModelEntry
    from lab.model.witness import Witness

JOB_PATH: Final = '/roll/'
SCORE_PATH: Final = '/score/'
#: Time that an entry may wait for new results before it responds to a read.
_PAGE_WAIT_MS: Final = '300'


class ModelTrainer:
    """Trainer that sends requests to entries and has the responses checked.

    Parameters
    ----------
    lengths
        Lengths of the job's items by group, in events.
    scored
        Whether the items are scored.
    """

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
        self._group_count = len(lengths)
        self._calls: set[asyncio.Task[None]] = set()

    def begin(self, call: Coroutine[Any, Any, None]) -> None:
        """Start a call as a task, while the history continues."""
        task = start_outside(call)
        self._calls.add(task)
        task.add_done_callback(self._remove_call)

    async def submit(
        self,
        entry: ModelEntry,
        witness: Witness,
        patience_s: float = PATIENCE_S,
        *,
        is_calm: bool = False,
    ) -> None:
        """Submit the job at an entry, also if it was submitted before.

        Parameters
        ----------
        entry
            Entry at which the job is submitted.
        witness
            Checks the response.
        patience_s
            Time that the trainer waits for the response; 0 if the response
            is lost.
        is_calm
            Whether no fault is in force any more.
        """
        number = witness.attempts.begin(
            entry.name, was_known=entry.knows(JOB), is_calm=is_calm
        )
        current_attempt.set(number)
        body = job_body(JOB_PATH, self.items, 1, self._group_count)
        target = f'{JOB_PATH}{JOB}'
        response = await _send_request(
            entry,
            'POST',
            target,
            (names.REQUEST_ID, JOB),
            body,
            timeout_s=patience_s or PATIENCE_S,
        )
        witness.checked += 1
        status = None
        if response is not None and patience_s:
            status = response.status
        witness.attempts.see_answer(number, status)

    async def read(
        self, entry: ModelEntry, witness: Witness, back: int
    ) -> None:
        """Read results at an entry, and have them checked.

        Parameters
        ----------
        entry
            Entry at which the results are read.
        witness
            Checks the results.
        back
            Number of the last positions that are read again.
        """
        after = max(len(witness.read) - back, 0)
        pauses = entry.pauses
        was_accepted = witness.accepted
        page = await self.page(entry, after, _PAGE_WAIT_MS)
        now_s = asyncio.get_running_loop().time()
        if page == HTTPStatus.NOT_FOUND:
            witness.see_denied(was_accepted=was_accepted)
        elif isinstance(page, dict) and entry.pauses == pauses:
            witness.see_page(after, page, now_s)

    async def page(
        self, entry: ModelEntry, after: int, wait_ms: str = ''
    ) -> dict[str, Any] | int | None:
        """Read one page of results.

        Parameters
        ----------
        entry
            Entry at which the page is read.
        after
            Position of the first result of the page.
        wait_ms
            Time in ms that the entry may wait for results; empty for no wait.

        Returns
        -------
        dict, int or None
            The page; the status of another response; ``None`` if there was no
            response.
        """
        target = f'{names.RESULTS_PATH}{JOB}?after={after}'
        response = await _send_request(
            entry, 'GET', target, (names.WAIT_MS, wait_ms)
        )
        if response is None or response.status != HTTPStatus.OK:
            return None if response is None else response.status
        page: dict[str, Any] = json.loads(_body_bytes(response))
        return page

    async def body(
        self, entry: ModelEntry, witness: Witness, item: str
    ) -> None:
        """Read the body of an item at an entry, and have it checked.

        A response that an entry gave across a pause or a kill is not checked.
        """
        pauses = entry.pauses
        was_accepted = witness.accepted
        target = f'{names.BODY_PATH}{JOB}?id={item}'
        response = await _send_request(entry, 'GET', target)
        if response is None or entry.pauses != pauses:
            return
        if response.status == HTTPStatus.OK:
            witness.see_body(item, _body_bytes(response))
        elif response.status == HTTPStatus.NOT_FOUND:
            witness.see_body_denied(item, was_accepted=was_accepted)

    async def end(self, entry: ModelEntry, witness: Witness) -> None:
        """Request at an entry that the job ends."""
        target = f'{names.RESULTS_PATH}{JOB}'
        was_accepted = witness.accepted
        response = await _send_request(entry, 'DELETE', target)
        if response is None:
            return
        if response.status == HTTPStatus.OK:
            witness.see_end(asyncio.get_running_loop().time())
        elif response.status == HTTPStatus.NOT_FOUND:
            witness.see_denied(was_accepted=was_accepted)

    def _remove_call(self, task: asyncio.Task[None]) -> None:
        self._calls.discard(task)
        if not task.cancelled():
            task.result()


async def _send_request(
    entry: ModelEntry,
    method: str,
    target: str,
    field: tuple[str, str] = ('host', HOST),
    body: bytes = b'',
    timeout_s: float = PATIENCE_S,
) -> HttpResponse | None:
    headers = Headers.of([('host', HOST), field])
    request = received(method, target, headers, body)
    if entry.process.gone:
        return None
    # A paused process does not notice that its caller gives up, so the
    # cancelled task is not awaited.
    handling = entry.ask(request)
    await asyncio.wait((handling,), timeout=timeout_s)
    if handling.done() and not handling.cancelled():
        return handling.result()
    handling.cancel()
    return None


def _body_bytes(response: HttpResponse) -> bytes:
    assert isinstance(response.body, bytes)
    return response.body
