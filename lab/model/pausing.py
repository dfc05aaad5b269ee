"""Processes in one event loop that can be paused, and killed, by themselves."""

from __future__ import annotations

import asyncio
import contextvars
from typing import TYPE_CHECKING, Any, Final, TypeVar

import async_solipsism

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterable

Result = TypeVar('Result')
_Loop: Final = async_solipsism.EventLoop


class Process:
    """What of a loop's callbacks belongs to one process.

    A paused process runs none of them: what comes due meanwhile is held, and
    runs in its order once the process goes on, as after SIGSTOP and SIGCONT.
    """

    def __init__(self) -> None:
        self.paused = False
        self.gone = False
        self._held: list[_Gate] = []
        self._context = contextvars.copy_context()
        self._context.run(_process.set, self)

    def pause(self) -> None:
        """Run nothing until it goes on."""
        self.paused = True

    def kill(self) -> None:
        """Run nothing any more."""
        self.paused = True
        self.gone = True

    def go_on(self) -> None:
        """Run what came due meanwhile."""
        if not self.gone:
            self.unwind()

    def unwind(self) -> None:
        """Let tasks run that end with the loop, also of one that is gone."""
        self.paused = False
        held = tuple(self._held)
        self._held.clear()
        for gate in held:
            gate.schedule()

    def hold(self, gate: _Gate) -> None:
        """Keep a callback that came due."""
        self._held.append(gate)

    def start(self, work: Coroutine[Any, Any, Result]) -> asyncio.Task[Result]:
        """Run work as this process."""
        loop = asyncio.get_running_loop()
        return loop.create_task(work, context=self._context.copy())


def start_outside(
    work: Coroutine[Any, Any, Result],
) -> asyncio.Task[Result]:
    """Run work that belongs to no process, whoever asks for it."""
    loop = asyncio.get_running_loop()
    return loop.create_task(work, context=contextvars.Context())


def running_process() -> Process | None:
    """Return the process that runs now."""
    return _process.get(None)


class PausingLoop(async_solipsism.EventLoop):  # type: ignore[misc]
    """A loop in virtual time whose processes can be paused."""

    def call_soon(
        self,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Arrange for a callback as soon as possible."""
        if context is None:
            context = contextvars.copy_context()
        process = context.get(_process)
        if process is None:
            return self.call_free(callback, *args, context=context)
        return _Gate(self, process, (callback, args), context).schedule()

    def call_at(
        self,
        when: float,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Arrange for a callback at a time."""
        if context is None:
            context = contextvars.copy_context()
        process = context.get(_process)
        if process is None:
            return self.time_free(when, callback, *args, context=context)
        return _Gate(self, process, (callback, args), context).schedule_at(when)

    def call_free(self, *args: Any, **options: Any) -> asyncio.Handle:
        """Arrange for a callback that no pause holds."""
        handle: asyncio.Handle = _Loop.call_soon(self, *args, **options)
        return handle

    def time_free(self, *args: Any, **options: Any) -> asyncio.TimerHandle:
        """Arrange for a callback at a time, that no pause holds."""
        handle: asyncio.TimerHandle = _Loop.call_at(self, *args, **options)
        return handle


class _Gate:
    """One callback of a process, on its way through the loop."""

    def __init__(
        self,
        loop: PausingLoop,
        process: Process,
        call: tuple[Callable[..., object], tuple[Any, ...]],
        context: contextvars.Context,
    ) -> None:
        self._loop = loop
        self._process = process
        self._call = call
        self._context = context
        #: What its caller may cancel.
        self._handle: asyncio.Handle | None = None

    def schedule(self) -> asyncio.Handle:
        """Have it run as soon as possible."""
        handle = self._loop.call_free(self._run, context=self._context)
        self._handle = self._handle or handle
        return handle

    def schedule_at(self, when: float) -> asyncio.TimerHandle:
        """Have it run at a time."""
        handle = self._loop.time_free(when, self._run, context=self._context)
        self._handle = handle
        return handle

    def _run(self) -> None:
        if self._handle is not None and self._handle.cancelled():
            return
        if self._process.paused:
            self._process.hold(self)
            return
        callback, args = self._call
        callback(*args)


_process: contextvars.ContextVar[Process | None] = contextvars.ContextVar(
    'process', default=None
)


async def unwind(processes: Iterable[Process]) -> None:
    """Cancel all tasks but this one, and wait until they have ended."""
    own = asyncio.current_task()
    for process in processes:
        process.unwind()
    left = asyncio.all_tasks() - {own}
    while left:
        for task in left:
            task.cancel()
        await asyncio.wait(left)
        left = asyncio.all_tasks() - {own}


def run_pausing(work: Coroutine[Any, Any, Result]) -> Result:
    """Run work to its end in virtual time."""
    loop = PausingLoop()
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(work)  # type: ignore[no-any-return]
    finally:
        loop.close()
        asyncio.set_event_loop(None)
