"""Reads steps, and checks every result and body that comes."""

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
_WAIT_MS: Final = 500
#: After this what was read anywhere is there everywhere.
_SETTLE_S: Final = 1


class Step:
    """One job and what was read of it."""

    def __init__(self, number: int, least_version: int, lengths: list[int]):
        self.job = f'step-{number}'
        #: Every other step has its texts scored.
        self.scored = number % 2 == 0
        self.least_version = least_version
        #: How many events each item has, by its id.
        self.lengths = {
            f'{self.job}.{item}': length for item, length in enumerate(lengths)
        }
        #: What stands at each position, as written on the wire.
        self.positions: dict[int, str] = {}
        #: When each position was read first.
        self.read_at_s: dict[int, float] = {}
        self.kept = False

    @property
    def whole(self) -> bool:
        """Whether every item was read."""
        return len(self.positions) >= len(self.lengths)

    def progress(self) -> str:
        """Return how much of it was read."""
        read = len(self.positions)
        return f'{self.job}: {read} of {len(self.lengths)} results'

    def body(self) -> bytes:
        """Return the job as it is handed in."""
        score_path = SCORE_PATH if self.scored else ''
        items = (
            JobItem(item, length, _group(self.job, order), score_path)
            for order, (item, length) in enumerate(self.lengths.items())
        )
        groups = len(self.lengths) // GROUP_SIZE
        return job_body(STEP_PATH, items, self.least_version, groups)


class StepReader:
    """Reads steps at any entry.

    Parameters
    ----------
    deployment
        What ran, and what the store has.
    promises
        Takes what was seen.
    """

    def __init__(self, deployment: Deployment, promises: Promises) -> None:
        self._deployment = deployment
        self._promises = promises
        self._client = new_client()

    async def read(self, step: Step, entry: Address, after: int) -> None:
        """Read a step's results from a position on."""
        asked_at_s = time.monotonic()
        path = f'/-/lots/{step.job}?after={after}'
        call = Call(
            'GET',
            path,
            headers=((WAIT_MS, str(_WAIT_MS)),),
            idempotent=True,
        )
        reply = await self._client.send(entry, call)
        if reply is not None:
            self._take(step, after, reply, asked_at_s)

    async def read_body(self, step: Step, entry: Address, item: str) -> None:
        """Read the body of an item."""
        path = f'/-/items/{step.job}?id={item}'
        reply = await self._client.send(
            entry, Call('GET', path, idempotent=True)
        )
        if reply is not None:
            self._take_body(step, item, reply)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    def _take_body(self, step: Step, item: str, reply: Reply) -> None:
        # What the store has is what any entry may have known to be listed.
        if reply.status == HTTPStatus.NOT_FOUND:
            listed = item in self._deployment.steps.listed(step.job)
            self._promises.check(Promise.BODY, listed, f'{item}: 404')
        elif reply.status == HTTPStatus.OK:
            own = reply.body == str(step.lengths[item]).encode()
            self._promises.check(Promise.BODY, own, f'{item}: {reply.body!r}')

    def _take(
        self, step: Step, after: int, reply: Reply, asked_at_s: float
    ) -> None:
        known = reply.status != HTTPStatus.NOT_FOUND
        self._promises.check(Promise.KEPT, known, f'{step.job} is not known')
        if reply.status == HTTPStatus.OK:
            results = reply.json['results']
            settled = step.read_at_s.get(after, asked_at_s) + _SETTLE_S
            self._promises.check(
                Promise.EVERYWHERE,
                bool(results) or asked_at_s < settled,
                f'{step.job} at {after}',
            )
            for position, result in enumerate(results, start=after):
                self._check(step, position, result)

    def _check(self, step: Step, position: int, result: Any) -> None:
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
        whole = result['text'] == _text(
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
            sum(one.failures[request] for one in self._deployment.upstreams)
            for request in (item, score_id(item))
        )
        self._promises.check(
            Promise.LOST, failures >= ATTEMPTS, f'{where}: {failures} failures'
        )

    def _check_score(self, result: Any, detail: str) -> None:
        request = score_id(result['id'])
        score = result.get('score', '')
        services = self._deployment.services
        proven = any(score in one.proofs(request) for one in services)
        self._promises.check(Promise.SCORE, proven, detail)


def _text(item: str, length: int) -> str:
    events = range(1, length + 1)
    return '\n'.join(f'{item}/{number}' for number in events)


def _group(job: str, order: int) -> str:
    group = order // GROUP_SIZE
    return f'{job}.group-{group}'
