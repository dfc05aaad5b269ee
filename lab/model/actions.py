"""What each step of a history does."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from lab.model.plans import Step, Verb

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from lab.model.entry import ModelEntry
    from lab.model.world import World

    #: Does a step at an entry, perhaps with the goal of a link; returns how
    #: it is told, empty if it cannot be done.
    Action = Callable[[World, ModelEntry, str, Step], str]


def _pause(_: World, entry: ModelEntry, goal: str, step: Step) -> str:
    if entry.process.paused:
        return ''
    entry.pause()
    return f'{entry.name} is paused'


def _go_on(world: World, entry: ModelEntry, goal: str, step: Step) -> str:
    # Whoever is paused, wherever the job is by now.
    paused = [
        name
        for name, one in world.entries.items()
        if one.process.paused and not one.process.gone
    ]
    for name in paused:
        world.faults.disturb(name)
        world.entries[name].process.go_on()
    names = ' and '.join(paused)
    return f'{names} goes on' if paused else ''


def _kill(world: World, entry: ModelEntry, goal: str, step: Step) -> str:
    if entry.process.gone:
        return ''
    world.kill(entry.name)
    return f'{entry.name} is killed'


def _restart(world: World, entry: ModelEntry, goal: str, step: Step) -> str:
    gone = [one for one in world.entries.values() if one.process.gone]
    restarted = gone[0] if gone else entry
    if not gone:
        world.kill(entry.name)
    world.start_entry(restarted.name)
    return f'{restarted.name} starts again'


def _stop(_: World, entry: ModelEntry, goal: str, step: Step) -> str:
    if entry.process.paused or entry.stopping:
        return ''
    entry.begin_stop()
    return f'{entry.name} is asked to stop'


def _cut(world: World, entry: ModelEntry, goal: str, step: Step) -> str:
    if goal == entry.name:
        return ''
    world.faults.cut(entry.name, goal)
    return f'calls from {entry.name} to {goal} are lost from now on'


def _heal(world: World, entry: ModelEntry, goal: str, step: Step) -> str:
    world.faults.heal()
    return 'all calls get through again'


def _fate(world: World, entry: ModelEntry, goal: str, step: Step) -> str:
    world.faults.arm(step.call, step.fate, step.count)
    calls = 'the next call' if step.count == 1 else f'{step.count} calls'
    kind, fate = step.call.value, step.fate.value
    return f'{calls} {kind}: {fate}'


def _read(world: World, entry: ModelEntry, goal: str, step: Step) -> str:
    if entry.process.gone:
        return ''
    world.trainer.begin(
        world.trainer.read(entry, world.witness, step.count - 1)
    )
    after = max(len(world.witness.read) - step.count + 1, 0)
    return f'{entry.name} is read from position {after} on'


def _body(world: World, entry: ModelEntry, goal: str, step: Step) -> str:
    if entry.process.gone:
        return ''
    for item in world.witness.unread:
        world.trainer.begin(world.trainer.body(entry, world.witness, item))
    return f'{entry.name} is asked for the bodies that were not read'


def _end(world: World, entry: ModelEntry, goal: str, step: Step) -> str:
    if entry.process.gone:
        return ''
    world.trainer.begin(world.trainer.end(entry, world.witness))
    return f'{entry.name} is asked to end the job'


def _version(world: World, entry: ModelEntry, goal: str, step: Step) -> str:
    for engine in world.engines.values():
        engine.version += 1
    return 'the engines load new weights'


def _break(world: World, entry: ModelEntry, goal: str, step: Step) -> str:
    for engine in world.engines.values():
        engine.break_streams()
    return 'all streams of the engines break'


def _score_fails(world: World, entry: ModelEntry, goal: str, step: Step) -> str:
    fails = step.count + 1
    world.scorer.fail_next = fails
    return f'the next {fails} score calls fail'


#: What each step does; each returns how it is told.
ACTIONS: Final[Mapping[Verb, Action]] = MappingProxyType(
    {
        Verb.PAUSE: _pause,
        Verb.GO_ON: _go_on,
        Verb.KILL: _kill,
        Verb.RESTART: _restart,
        Verb.STOP: _stop,
        Verb.CUT: _cut,
        Verb.HEAL: _heal,
        Verb.FATE: _fate,
        Verb.READ: _read,
        Verb.BODY: _body,
        Verb.END: _end,
        Verb.VERSION: _version,
        Verb.BREAK: _break,
        Verb.SCORE_FAILS: _score_fails,
    }
)
