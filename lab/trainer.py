"""A trainer that submits steps and reads their results."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from bergamotdoor.platform.headers import REQUEST_ID
from lab.client import Call
from lab.deployment import STEP_PATH, new_client
from lab.step_reader import GROUP_SIZE, Step, StepReader
from lab.wire import score_id

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from bergamotdoor.settings.document import Address
    from lab.deployment import Deployment
    from lab.promises import Promises

_MAX_EVENTS: Final = 40
_READ_PAUSE_S: Final = 0.3
#: The number of steps that are open at a time.
_OPEN_STEPS: Final = 2
#: The share of steps with an item whose score call always fails.
_FAILING_SCORE_SHARE: Final = 0.2


class Trainer:
    """A trainer that writes a new version of the weights after each step.

    Parameters
    ----------
    deployment
        The deployment with the entries.
    promises
        The collector of checks.
    rng
        The random source for steps and for the entries to use.
    groups
        The number of groups in each step.
    """

    def __init__(
        self,
        deployment: Deployment,
        promises: Promises,
        rng: random.Random,
        groups: int,
    ) -> None:
        self._deployment = deployment
        self.reader = StepReader(deployment, promises)
        self._rng = rng
        self._groups = groups
        self._client = new_client()
        self.steps: list[Step] = []
        #: Set to ``True`` so that no new step begins.
        self.ending = False

    @property
    def whole(self) -> int:
        """The number of steps of which all results were read."""
        return sum(1 for step in self.steps if step.whole)

    async def run(self) -> None:
        """Run several steps at a time until no new step should begin."""
        async with asyncio.TaskGroup() as group:
            for _ in range(_OPEN_STEPS):
                group.create_task(self._run_steps())

    def open_steps(self) -> Iterator[Step]:
        """Return the accepted steps of which results are still unread."""
        return (step for step in self.steps if step.kept and not step.whole)

    async def check_again(self) -> None:
        """Read every accepted step from position 0 at every entry."""
        for entry in self._deployment.entries:
            for step in self.steps:
                if step.kept:
                    await self.reader.read(step, entry.front, 0)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()
        await self.reader.close()

    async def _run_steps(self) -> None:
        while not self.ending:
            step = self._new_step()
            await self._submit_step(step)
            while not step.whole:
                await self.reader.read(
                    step, self._choose_entry(), len(step.positions)
                )
                await asyncio.sleep(_READ_PAUSE_S)
            self._deployment.publish()

    def _new_step(self) -> Step:
        lengths = [
            self._rng.randint(1, _MAX_EVENTS)
            for _ in range(self._groups * GROUP_SIZE)
        ]
        min_version = max(self._deployment.version - 1, 1)
        step = Step(len(self.steps), min_version, lengths)
        self.steps.append(step)
        if self._rng.random() < _FAILING_SCORE_SHARE:
            self._fail_score_call(self._rng.choice(tuple(step.lengths)))
        return step

    def _fail_score_call(self, item: str) -> None:
        """Have the score call of an item fail at every service."""
        for service in self._deployment.services:
            service.always_fail.add(score_id(item))

    async def _submit_step(self, step: Step) -> None:
        call = Call(
            'POST',
            f'{STEP_PATH}{step.job}',
            step.body(),
            ((REQUEST_ID, step.job),),
        )
        while not step.kept:
            reply = await self._client.send(self._choose_entry(), call)
            step.kept = (
                reply is not None and reply.status == HTTPStatus.ACCEPTED
            )
            if not step.kept:
                await asyncio.sleep(_READ_PAUSE_S)
        self._deployment.steps.sizes[step.job] = len(step.lengths)

    def _choose_entry(self) -> Address:
        return self._rng.choice(self._deployment.entries).front
