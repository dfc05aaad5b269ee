"""Plays the steps of one history, then checks it without any faults."""

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
    from lab.model.promises import Broken

#: Time in which every entry has to list all items after the faults are over.
_LIST_ALL_TIMEOUT_S: Final = 40
#: Time between two tries to submit the job, or to read the next results.
_RETRY_INTERVAL_S: Final = 0.5
#: Wait after the faults are over, so that calls which a fault has delayed are
#: done; as long as the longest fault of a call.
_DELAYED_CALLS_S: Final = 2.5
#: Wait after the start of an entry, in which it resumes its jobs.
_RESTART_S: Final = 1.5


class Played(NamedTuple):
    """Result of one history."""

    plan: Plan
    #: Lines that report what happened, with the virtual time.
    story: list[str]
    broken: list[Broken]
    #: Number of checks.
    checked: int
    #: Duration of the history in virtual time.
    took_s: float
    #: Whether the job was refused at each attempt.
    was_refused: bool
    #: Number of attempts refused by an entry that knew the job.
    known_refusals: int


def play(plan: Plan) -> Played:
    """Run the history of a plan in virtual time, and return its result.

    Log lines of the entries are switched off.
    """
    logging.getLogger('bergamotdoor').setLevel(logging.CRITICAL)
    return run_pausing(_play_plan(plan))


async def _play_plan(plan: Plan) -> Played:
    world = World(plan)
    failures: list[Any] = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: failures.append(context))
    await world.start()
    if not plan.steps_submit:
        _submit_job(world)
    try:
        await _play_steps(world)
    finally:
        await world.stop()
    checker = world.witness
    if checker.broken:
        promise, detail = checker.broken[0]
        world.tell(f'broken: {promise.value}: {detail}')
    assert not failures, failures
    return _result(world)


def _result(world: World) -> Played:
    checker = world.witness
    return Played(
        world.plan,
        world.story,
        checker.broken,
        checker.checked,
        asyncio.get_running_loop().time(),
        checker.attempts.are_refused,
        checker.attempts.known_refusals,
    )


async def _play_steps(world: World) -> None:
    for step in world.plan.steps:
        _apply_step(world, step)
        await asyncio.sleep(step.gap_s)
        _observe_entries(world)
        if world.witness.broken:
            return
    await _recover_and_read_all(world)


def _submit_job(world: World, *, is_calm: bool = False) -> None:
    entry = world.entries[world.order()[0]]
    world.tell(f'a trainer hands its job in at {entry.name}')
    world.trainer.begin(
        world.trainer.submit(entry, world.witness, is_calm=is_calm)
    )


def _apply_step(world: World, step: Step) -> None:
    names = world.order()
    entry = world.entries[names[step.where]]
    destination = STORE if step.to < 0 else names[step.to]
    line = ACTIONS[step.verb](world, entry, destination, step)
    if line:
        world.tell(line)


def _observe_entries(world: World) -> None:
    """Check the store, and record which entries are paused.

    In watched histories, also read from every entry that runs.
    """
    world.witness.see_store()
    for entry in world.entries.values():
        if entry.process.paused:
            world.faults.disturb(entry.name)
        elif world.plan.watched:
            _begin_reads(world, entry)


def _begin_reads(world: World, entry: ModelEntry) -> None:
    """Request all unread bodies, the next results, and the last one again."""
    trainer, checker = world.trainer, world.witness
    for item in checker.unread:
        trainer.begin(trainer.body(entry, checker, item))
    trainer.begin(trainer.read(entry, checker, 0))
    trainer.begin(trainer.read(entry, checker, 1))


async def _recover_and_read_all(world: World) -> None:
    """End all faults, then check what every entry lists."""
    await _recover(world)
    if world.plan.steps_submit and world.witness.attempts.are_refused:
        await _check_refused_job(world)
    else:
        await _check_results(world)


async def _recover(world: World) -> None:
    """End all faults, and wait until what they delayed is done."""
    world.tell('all is well again: calls get through, who is paused goes on')
    world.faults.end()
    for name, entry in world.entries.items():
        if entry.process.gone or entry.stopping:
            world.kill(name)
            world.start_entry(name)
        else:
            entry.process.go_on()
    await asyncio.sleep(_DELAYED_CALLS_S)
    while world.witness.attempts.are_pending:
        await asyncio.sleep(_RETRY_INTERVAL_S)


async def _check_results(world: World) -> None:
    """Check that every entry lists all results."""
    if world.plan.restarted:
        await _restart_entries(world)
    until_s = asyncio.get_running_loop().time() + _LIST_ALL_TIMEOUT_S
    await _submit_until_accepted(world, until_s)
    for entry in world.entries.values():
        results = await _read_all_results(world, entry, until_s)
        world.witness.see_all(entry.name, results)


async def _submit_until_accepted(world: World, until_s: float) -> None:
    loop = asyncio.get_running_loop()
    while not world.witness.accepted and loop.time() < until_s:
        _submit_job(world, is_calm=True)
        await asyncio.sleep(_RETRY_INTERVAL_S)


async def _restart_entries(world: World) -> None:
    world.tell('all entries start again, one after the other')
    for name in world.entries:
        world.kill(name)
        world.start_entry(name)
        await asyncio.sleep(_RESTART_S)


async def _check_refused_job(world: World) -> None:
    """Check that nothing of a job that was refused is there, or comes."""
    world.tell('the job was refused at each attempt')
    await _restart_entries(world)
    for _ in range(2):
        for entry in world.entries.values():
            _begin_reads(world, entry)
        await asyncio.sleep(_DELAYED_CALLS_S)
    world.witness.attempts.see_end_of_history()


async def _read_all_results(
    world: World, entry: ModelEntry, until_s: float
) -> list[dict[str, Any]]:
    """Read all pages of results at an entry, until a time at the latest."""
    loop = asyncio.get_running_loop()
    checker = world.witness
    results: list[dict[str, Any]] = []
    while len(results) < len(checker.lengths) and loop.time() < until_s:
        page = await world.trainer.page(entry, len(results))
        if isinstance(page, dict):
            checker.see_page(len(results), page, loop.time())
            results.extend(page['results'])
        if checker.broken or (checker.ended and isinstance(page, dict)):
            break
        _begin_reads(world, entry)
        await asyncio.sleep(_RETRY_INTERVAL_S)
    return results
