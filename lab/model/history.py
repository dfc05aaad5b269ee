"""Plays one history step by step, and its end when all is well."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any, Final, NamedTuple

from lab.model.actions import ACTIONS
from lab.model.faults import STORE
from lab.model.pausing import run_pausing
from lab.model.world import World

if TYPE_CHECKING:
    from lab.model.entry import ModelEntry
    from lab.model.plans import Plan, Step
    from lab.model.witness import Broken

#: How long all entries may take to list everything once all is well.
_FINISH_S: Final = 40
_READ_S: Final = 0.5
#: As long as the longest fault of a call.
_QUIET_S: Final = 2.5


class Played(NamedTuple):
    """What a history has shown."""

    plan: Plan
    story: list[str]
    broken: list[Broken]
    checked: int
    #: How long it took in virtual time.
    took_s: float


def play(plan: Plan) -> Played:
    """Play a history."""
    logging.getLogger('bergamotdoor').setLevel(logging.CRITICAL)
    return run_pausing(_play(plan))


async def _play(plan: Plan) -> Played:
    world = World(plan)
    failures: list[Any] = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, what: failures.append(what))
    await world.start()
    _hand_in(world)
    try:
        await _go_through(world)
    finally:
        await world.stop()
    witness = world.witness
    if witness.broken:
        promise, detail = witness.broken[0]
        world.tell(f'broken: {promise.value}: {detail}')
    assert not failures, failures
    return Played(
        plan, world.story, witness.broken, witness.checked, loop.time()
    )


async def _go_through(world: World) -> None:
    for step in world.plan.steps:
        _take(world, step)
        await asyncio.sleep(step.gap_s)
        _look(world)
        if world.witness.broken:
            return
    await _finish(world)


def _hand_in(world: World) -> None:
    entry = world.entries[world.order()[0]]
    world.tell(f'a trainer hands its job in at {entry.name}')
    world.trainer.begin(world.trainer.hand_in(entry, world.witness))


def _take(world: World, step: Step) -> None:
    names = world.order()
    entry = world.entries[names[step.where]]
    goal = STORE if step.to < 0 else names[step.to]
    told = ACTIONS[step.verb](world, entry, goal, step)
    if told:
        world.tell(told)


def _look(world: World) -> None:
    """Note who is paused; in watched histories ask every entry for all."""
    world.witness.see_store()
    for entry in world.entries.values():
        if entry.process.paused:
            world.faults.disturb(entry.name)
        elif world.plan.watched:
            _ask(world, entry)


def _ask(world: World, entry: ModelEntry) -> None:
    trainer, witness = world.trainer, world.witness
    for item in witness.unread:
        trainer.begin(trainer.body(entry, witness, item))
    trainer.begin(trainer.read(entry, witness, 0))
    trainer.begin(trainer.read(entry, witness, 1))


async def _finish(world: World) -> None:
    """Let all be well, and have every entry list everything."""
    world.tell('all is well again: calls get through, who is paused goes on')
    world.faults.heal()
    for name, entry in world.entries.items():
        if entry.process.gone or entry.stopping:
            world.kill(name)
            world.start_entry(name)
        else:
            entry.process.go_on()
    await asyncio.sleep(_QUIET_S)
    until_s = asyncio.get_running_loop().time() + _FINISH_S
    await _have_accepted(world, until_s)
    for entry in world.entries.values():
        found = await _read_all(world, entry, until_s)
        world.witness.see_all(entry.name, found)


async def _have_accepted(world: World, until_s: float) -> None:
    loop = asyncio.get_running_loop()
    while not world.witness.accepted and loop.time() < until_s:
        _hand_in(world)
        await asyncio.sleep(_READ_S)


async def _read_all(
    world: World, entry: ModelEntry, until_s: float
) -> list[dict[str, Any]]:
    """Read from the first position until there is no more."""
    loop = asyncio.get_running_loop()
    witness = world.witness
    found: list[dict[str, Any]] = []
    while len(found) < len(witness.lengths) and loop.time() < until_s:
        page = await world.trainer.page(entry, len(found))
        if isinstance(page, dict):
            witness.see_page(len(found), page, loop.time())
            found.extend(page['results'])
        if witness.broken or (witness.ended and isinstance(page, dict)):
            break
        _ask(world, entry)
        await asyncio.sleep(_READ_S)
    return found
