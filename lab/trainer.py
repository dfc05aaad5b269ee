"""A trainer that runs steps and reads them."""

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

_MOST_EVENTS: Final = 40
_READ_S: Final = 0.3
#: How many steps are open at a time.
_AHEAD: Final = 2
#: The share of steps with an item whose score call always fails.
_HOPELESS_SHARE: Final = 0.2


class Trainer:
    """Hands in steps, reads them at any entry, names the next version.

    Parameters
    ----------
    deployment
        Where the entries are.
    promises
        Takes what was seen.
    rng
        Draws the steps, and where they are read.
    groups
        How many a step has.
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

    def open_steps(self) -> Iterator[Step]:
        """Return the steps that were taken in and are not whole."""
        return (step for step in self.steps if step.kept and not step.whole)

    async def check_again(self) -> None:
        """Read every step from its start at every entry."""
        for entry in self._deployment.entries:
            for step in self.steps:
                if step.kept:
                    await self.reader.read(step, entry.front, 0)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()
        await self.reader.close()

    async def _train(self) -> None:
        while not self.ending:
            step = self._begin()
            await self._hand_in(step)
            while not step.whole:
                await self.reader.read(step, self._entry(), len(step.positions))
                await asyncio.sleep(_READ_S)
            self._deployment.publish()

    def _begin(self) -> Step:
        lengths = [
            self._rng.randint(1, _MOST_EVENTS)
            for _ in range(self._groups * GROUP_SIZE)
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
        self._deployment.steps.sizes[step.job] = len(step.lengths)

    def _entry(self) -> Address:
        return self._rng.choice(self._deployment.entries).front
