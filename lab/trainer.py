"""A trainer that runs steps and checks every result that it reads."""

from __future__ import annotations

import asyncio
import json
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Final

from bergamotdoor.platform.headers import REQUEST_ID, WAIT_MS
from lab.client import Call
from lab.deployment import ATTEMPTS, SCORE_PATH, STEP_PATH, new_client
from lab.promises import Promise, Promises
from lab.wire import JobItem, job_body, score_id

if TYPE_CHECKING:
    import random

    from bergamotdoor.settings.document import Address
    from lab.client import Reply
    from lab.deployment import Deployment

_GROUPS: Final = 3
_GROUP_SIZE: Final = 3
_MOST_EVENTS: Final = 40
_READ_S: Final = 0.3
_WAIT_MS: Final = 500
#: How many steps are open at a time.
_AHEAD: Final = 2
#: The share of steps with an item whose score call always fails.
_HOPELESS_SHARE: Final = 0.2


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
        return job_body(STEP_PATH, items, self.least_version, _GROUPS)


class Trainer:
    """Hands in steps, reads them at any entry, names the next version."""

    def __init__(
        self, deployment: Deployment, promises: Promises, rng: random.Random
    ) -> None:
        self._deployment = deployment
        self._promises = promises
        self._rng = rng
        self._client = new_client()
        self.steps: list[Step] = []
        #: Set once no new step should begin.
        self.ending = False

    @property
    def whole(self) -> int:
        """How many steps were read to their end."""
        return sum(1 for step in self.steps if step.whole)

    async def run(self) -> None:
        """Run steps until the end, several at a time."""
        async with asyncio.TaskGroup() as group:
            for _ in range(_AHEAD):
                group.create_task(self._train())

    async def check_again(self) -> None:
        """Read every step from its start at every entry."""
        for entry in self._deployment.entries:
            for step in self.steps:
                if step.kept:
                    await self._read(step, entry.front, 0)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    async def _train(self) -> None:
        while not self.ending:
            step = self._begin()
            await self._hand_in(step)
            while not step.whole:
                await self._read(step, self._entry(), len(step.positions))
                await asyncio.sleep(_READ_S)
            self._deployment.publish()

    def _begin(self) -> Step:
        lengths = [
            self._rng.randint(1, _MOST_EVENTS)
            for _ in range(_GROUPS * _GROUP_SIZE)
        ]
        least = max(self._deployment.version - 1, 1)
        step = Step(len(self.steps), least, lengths)
        self.steps.append(step)
        if self._rng.random() < _HOPELESS_SHARE:
            self._make_hopeless(self._rng.choice(tuple(step.lengths)))
        return step

    def _make_hopeless(self, item: str) -> None:
        """Have the score call of an item fail, whoever runs it."""
        for service in self._deployment.services:
            service.always_fail.add(score_id(item))

    async def _hand_in(self, step: Step) -> None:
        call = Call(
            'POST',
            f'{STEP_PATH}{step.job}',
            step.body(),
            ((REQUEST_ID, step.job),),
        )
        while not step.kept:
            reply = await self._client.send(self._entry(), call)
            step.kept = (
                reply is not None and reply.status == HTTPStatus.ACCEPTED
            )
            if not step.kept:
                await asyncio.sleep(_READ_S)

    async def _read(self, step: Step, entry: Address, after: int) -> None:
        path = f'/-/lots/{step.job}?after={after}'
        call = Call(
            'GET',
            path,
            headers=((WAIT_MS, str(_WAIT_MS)),),
            idempotent=True,
        )
        reply = await self._client.send(entry, call)
        if reply is not None:
            self._take(step, after, reply)

    def _take(self, step: Step, after: int, reply: Reply) -> None:
        known = reply.status != HTTPStatus.NOT_FOUND
        self._promises.check(Promise.KEPT, known, f'{step.job} is not known')
        if reply.status == HTTPStatus.OK:
            results = reply.json['results']
            for position, result in enumerate(results, start=after):
                self._check(step, position, result)

    def _check(self, step: Step, position: int, result: Any) -> None:
        written = json.dumps(result, sort_keys=True)
        before = step.positions.setdefault(position, written)
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

    def _entry(self) -> Address:
        return self._rng.choice(self._deployment.entries).front


def _text(item: str, length: int) -> str:
    events = range(1, length + 1)
    return '\n'.join(f'{item}/{number}' for number in events)


def _group(job: str, order: int) -> str:
    group = order // _GROUP_SIZE
    return f'{job}.group-{group}'
