"""Functions that carry out the steps of a history."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from lab.model.plans import Step, Verb

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from lab.model.entry import ModelEntry
    from lab.model.world import World

    #: Carries out a step at an entry, or on the link from the entry to a
    #: destination. Returns a line for the report, or an empty text if the step
    #: is not possible.
    Action = Callable[[World, ModelEntry, str, Step], str]


def _pause(_: World, entry: ModelEntry, destination: str, step: Step) -> str:
    if entry.process.paused:
        return ''
    entry.pause()
    return f'{entry.name} is paused'


def _resume(
    world: World, entry: ModelEntry, destination: str, step: Step
) -> str:
    # Resumes every paused entry: the owner, and so the number of the paused
    # entry, may have changed since the pause.
    paused = [
        name
        for name, candidate in world.entries.items()
        if candidate.process.paused and not candidate.process.gone
    ]
    for name in paused:
        world.faults.disturb(name)
        world.entries[name].process.go_on()
    names = ' and '.join(paused)
    return f'{names} goes on' if paused else ''


def _kill(world: World, entry: ModelEntry, destination: str, step: Step) -> str:
    if entry.process.gone:
        return ''
    world.kill(entry.name)
    return f'{entry.name} is killed'


def _restart(
    world: World, entry: ModelEntry, destination: str, step: Step
) -> str:
    killed = [
        candidate
        for candidate in world.entries.values()
        if candidate.process.gone
    ]
    restarted = killed[0] if killed else entry
    if not killed:
        world.kill(entry.name)
    world.start_entry(restarted.name)
    return f'{restarted.name} starts again'


def _begin_stop(
    _: World, entry: ModelEntry, destination: str, step: Step
) -> str:
    if entry.process.paused or entry.stopping:
        return ''
    entry.begin_stop()
    return f'{entry.name} is asked to stop'


def _cut_link(
    world: World, entry: ModelEntry, destination: str, step: Step
) -> str:
    if destination == entry.name:
        return ''
    world.faults.cut(entry.name, destination)
    return f'calls from {entry.name} to {destination} are lost from now on'


def _heal(world: World, entry: ModelEntry, destination: str, step: Step) -> str:
    world.faults.heal()
    return 'all calls get through again'


def _arm_fate(
    world: World, entry: ModelEntry, destination: str, step: Step
) -> str:
    world.faults.arm(step.call, step.fate, step.count)
    calls = 'the next call' if step.count == 1 else f'{step.count} calls'
    kind, fate = step.call.value, step.fate.value
    return f'{calls} {kind}: {fate}'


def _read_results(
    world: World, entry: ModelEntry, destination: str, step: Step
) -> str:
    if entry.process.gone:
        return ''
    world.trainer.begin(
        world.trainer.read(entry, world.witness, step.count - 1)
    )
    after = max(len(world.witness.read) - step.count + 1, 0)
    return f'{entry.name} is read from position {after} on'


def _read_bodies(
    world: World, entry: ModelEntry, destination: str, step: Step
) -> str:
    if entry.process.gone:
        return ''
    for item in world.witness.unread:
        world.trainer.begin(world.trainer.body(entry, world.witness, item))
    return f'{entry.name} is asked for the bodies that were not read'


def _end_job(
    world: World, entry: ModelEntry, destination: str, step: Step
) -> str:
    if entry.process.gone:
        return ''
    world.trainer.begin(world.trainer.end(entry, world.witness))
    return f'{entry.name} is asked to end the job'


def _load_version(
    world: World, entry: ModelEntry, destination: str, step: Step
) -> str:
    for engine in world.engines.values():
        engine.version += 1
    return 'the engines load new weights'


def _break_streams(
    world: World, entry: ModelEntry, destination: str, step: Step
) -> str:
    for engine in world.engines.values():
        engine.break_streams()
    return 'all streams of the engines break'


def _fail_scores(
    world: World, entry: ModelEntry, destination: str, step: Step
) -> str:
    failures = step.count + 1
    world.scorer.fail_next = failures
    return f'the next {failures} score calls fail'


def _submit(
    world: World, entry: ModelEntry, destination: str, step: Step
) -> str:
    if entry.process.gone:
        return ''
    world.trainer.begin(
        world.trainer.submit(entry, world.witness, step.patience_s)
    )
    patience_s = step.patience_s
    waits = f'waits {patience_s} s' if patience_s else 'gets no response'
    return f'the trainer submits its job at {entry.name} and {waits}'


def _reject(
    world: World, entry: ModelEntry, destination: str, step: Step
) -> str:
    world.faults.reject(entry.name)
    return f'the store rejects all calls of {entry.name} from now on'


#: Function that carries out each kind of step.
ACTIONS: Final[Mapping[Verb, Action]] = MappingProxyType(
    {
        Verb.PAUSE: _pause,
        Verb.GO_ON: _resume,
        Verb.KILL: _kill,
        Verb.RESTART: _restart,
        Verb.STOP: _begin_stop,
        Verb.CUT: _cut_link,
        Verb.HEAL: _heal,
        Verb.FATE: _arm_fate,
        Verb.READ: _read_results,
        Verb.BODY: _read_bodies,
        Verb.END: _end_job,
        Verb.VERSION: _load_version,
        Verb.BREAK: _break_streams,
        Verb.SCORE_FAILS: _fail_scores,
        Verb.SUBMIT: _submit,
        Verb.REJECT: _reject,
    }
)
