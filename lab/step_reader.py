"""A reader of steps that checks each result and body."""

from __future__ import annotations

import json
import time
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Final

from bergamotdoor.platform.headers import WAIT_MS
from lab.client import Call
from lab.deployment import ATTEMPTS, SCORE_PATH, STEP_PATH, new_client
from lab.promises import Promise, Promises
from lab.wire import JobItem, job_body, score_id

if TYPE_CHECKING:
    from bergamotdoor.settings.document import Address
    from lab.client import Reply
    from lab.deployment import Deployment

GROUP_SIZE: Final = 3
_PAGE_WAIT_MS: Final = 500
#: The time after which a position that was read at one entry must be
#: readable at every entry.
_VISIBLE_WITHIN_S: Final = 1


class Step:
    """A trainer's step: a job and what was read of it."""

    def __init__(self, number: int, least_version: int, lengths: list[int]):
        self.job = f'step-{number}'
        #: Whether its texts are scored, which is so for every other step.
        self.scored = number % 2 == 0
        self.least_version = least_version
        #: The number of events of each item, by the item's id.
        self.lengths = {
            f'{self.job}.{item}': length for item, length in enumerate(lengths)
        }
        #: The result at each position that was read, as JSON.
        self.positions: dict[int, str] = {}
        #: When each position was first read.
        self.read_at_s: dict[int, float] = {}
        #: Whether an entry has accepted the job.
        self.kept = False

    @property
    def whole(self) -> bool:
        """Whether a result of every item was read."""
        return len(self.positions) >= len(self.lengths)

    def progress(self) -> str:
        """Return a text with the number of results that were read."""
        read = len(self.positions)
        return f'{self.job}: {read} of {len(self.lengths)} results'

    def body(self) -> bytes:
        """Return the job as the trainer submits it."""
        score_path = SCORE_PATH if self.scored else ''
        items = (
            JobItem(item, length, _group_name(self.job, order), score_path)
            for order, (item, length) in enumerate(self.lengths.items())
        )
        groups = len(self.lengths) // GROUP_SIZE
        return job_body(STEP_PATH, items, self.least_version, groups)


class StepReader:
    """A client that reads steps at any entry and checks the responses.

    Parameters
    ----------
    deployment
        The deployment with the listed results in the store, and with the
        upstreams, which record what they ran.
    promises
        The collector of checks.
    """

    def __init__(self, deployment: Deployment, promises: Promises) -> None:
        self._deployment = deployment
        self._promises = promises
        self._client = new_client()

    async def read(self, step: Step, entry: Address, after: int) -> None:
        """Read one page of a step's results.

        Parameters
        ----------
        step
            The step.
        entry
            The address of the entry to read at.
        after
            The first position of the page.
        """
        asked_at_s = time.monotonic()
        path = f'/-/lots/{step.job}?after={after}'
        call = Call(
            'GET',
            path,
            headers=((WAIT_MS, str(_PAGE_WAIT_MS)),),
            idempotent=True,
        )
        reply = await self._client.send(entry, call)
        if reply is not None:
            self._check_page(step, after, reply, asked_at_s)

    async def read_body(self, step: Step, entry: Address, item: str) -> None:
        """Read the body of an item at an entry."""
        path = f'/-/items/{step.job}?id={item}'
        reply = await self._client.send(
            entry, Call('GET', path, idempotent=True)
        )
        if reply is not None:
            self._check_body(step, item, reply)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    def _check_body(self, step: Step, item: str, reply: Reply) -> None:
        # An entry has no body for an item that it knows to be listed, and
        # it can only know of items that the store lists.
        if reply.status == HTTPStatus.NOT_FOUND:
            listed = item in self._deployment.steps.listed(step.job)
            self._promises.check(Promise.BODY, listed, f'{item}: 404')
        elif reply.status == HTTPStatus.OK:
            is_own_body = reply.body == str(step.lengths[item]).encode()
            self._promises.check(
                Promise.BODY, is_own_body, f'{item}: {reply.body!r}'
            )

    def _check_page(
        self, step: Step, after: int, reply: Reply, asked_at_s: float
    ) -> None:
        known = reply.status != HTTPStatus.NOT_FOUND
        self._promises.check(Promise.KEPT, known, f'{step.job} is not known')
        if reply.status == HTTPStatus.OK:
            results = reply.json['results']
            visible_at_s = (
                step.read_at_s.get(after, asked_at_s) + _VISIBLE_WITHIN_S
            )
            self._promises.check(
                Promise.EVERYWHERE,
                bool(results) or asked_at_s < visible_at_s,
                f'{step.job} at {after}',
            )
            for position, result in enumerate(results, start=after):
                self._check_result(step, position, result)

    def _check_result(self, step: Step, position: int, result: Any) -> None:
        written = json.dumps(result, sort_keys=True)
        before = step.positions.setdefault(position, written)
        step.read_at_s.setdefault(position, time.monotonic())
        where = f'{step.job} at {position}'
        self._promises.check(
            Promise.POSITION, before == written, f'{where}: {before} {written}'
        )
        items = [json.loads(text)['id'] for text in step.positions.values()]
        self._promises.check(
            Promise.EXACTLY_ONCE, len(set(items)) == len(items), where
        )
        if result['state'] == 'lost':
            self._check_lost(result['id'], where)
            return
        whole = result['text'] == _expected_text(
            result['id'], step.lengths[result['id']]
        )
        self._promises.check(Promise.TEXT, whole, f'{where}: {written}')
        if step.scored:
            self._check_score(result, f'{where}: {written}')
        least = min(result['versions'])
        self._promises.check(
            Promise.VERSION,
            least >= step.least_version,
            f'{where}: {least} < {step.least_version}',
        )

    def _check_lost(self, item: str, where: str) -> None:
        failures = max(
            sum(
                upstream.failures[request]
                for upstream in self._deployment.upstreams
            )
            for request in (item, score_id(item))
        )
        self._promises.check(
            Promise.LOST, failures >= ATTEMPTS, f'{where}: {failures} failures'
        )

    def _check_score(self, result: Any, detail: str) -> None:
        request = score_id(result['id'])
        score = result.get('score', '')
        services = self._deployment.services
        proven = any(score in service.proofs(request) for service in services)
        self._promises.check(Promise.SCORE, proven, detail)


def _expected_text(item: str, length: int) -> str:
    events = range(1, length + 1)
    return '\n'.join(f'{item}/{number}' for number in events)


def _group_name(job: str, order: int) -> str:
    group = order // GROUP_SIZE
    return f'{job}.group-{group}'
