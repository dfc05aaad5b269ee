"""Event loop that runs several processes, each of which can be paused."""

from __future__ import annotations

import asyncio
import contextvars
from typing import TYPE_CHECKING, Any, Final, TypeVar

import async_solipsism

from lab.model.attempts import current_attempt

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterable

Result = TypeVar('Result')
_BaseLoop: Final = async_solipsism.EventLoop


class Process:
    """Process within an event loop: the callbacks that belong to it.

    While a process is paused, its callbacks that become due are held. They run
    in their order once the process is resumed, as after SIGSTOP and SIGCONT.
    """

    def __init__(self) -> None:
        self.paused = False
        #: Whether it was killed.
        self.gone = False
        self._held_callbacks: list[_PausableCallback] = []
        self._context = contextvars.copy_context()
        self._context.run(_current_process.set, self)

    def pause(self) -> None:
        """Hold all callbacks until the process is resumed."""
        self.paused = True

    def kill(self) -> None:
        """Hold all callbacks for good."""
        self.paused = True
        self.gone = True

    def go_on(self) -> None:
        """Resume the process and run the held callbacks, unless killed."""
        if not self.gone:
            self.unwind()

    def unwind(self) -> None:
        """Run the held callbacks, also those of a process that was killed.

        Without this, the tasks of a killed process could not be cancelled at
        the end of the loop.
        """
        self.paused = False
        held_callbacks = tuple(self._held_callbacks)
        self._held_callbacks.clear()
        for held in held_callbacks:
            held.schedule()

    def hold(self, gate: _PausableCallback) -> None:
        """Keep a callback that became due until the process is resumed."""
        self._held_callbacks.append(gate)

    def start(self, work: Coroutine[Any, Any, Result]) -> asyncio.Task[Result]:
        """Start a task whose callbacks belong to this process.

        It works on behalf of the same attempt as the caller.
        """
        loop = asyncio.get_running_loop()
        context = self._context.copy()
        context.run(current_attempt.set, current_attempt.get())
        return loop.create_task(work, context=context)


def start_outside(
    work: Coroutine[Any, Any, Result],
) -> asyncio.Task[Result]:
    """Start a task that belongs to no process, so that no pause holds it."""
    loop = asyncio.get_running_loop()
    return loop.create_task(work, context=contextvars.Context())


def running_process() -> Process | None:
    """Return the process to which the running code belongs, if any."""
    return _current_process.get(None)


class PausingLoop(async_solipsism.EventLoop):  # type: ignore[misc]
    """Event loop in virtual time whose processes can be paused."""

    def call_soon(
        self,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Schedule a callback in the next iteration; a pause holds it."""
        if context is None:
            context = contextvars.copy_context()
        process = context.get(_current_process)
        if process is None:
            return self.call_free(callback, *args, context=context)
        return _PausableCallback(
            self, process, (callback, args), context
        ).schedule()

    def call_at(
        self,
        when: float,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a callback at a loop time; a pause holds it."""
        if context is None:
            context = contextvars.copy_context()
        process = context.get(_current_process)
        if process is None:
            return self.time_free(when, callback, *args, context=context)
        return _PausableCallback(
            self, process, (callback, args), context
        ).schedule_at(when)

    def call_free(self, *args: Any, **options: Any) -> asyncio.Handle:
        """Schedule a callback in the next iteration that no pause holds."""
        handle: asyncio.Handle = _BaseLoop.call_soon(self, *args, **options)
        return handle

    def time_free(self, *args: Any, **options: Any) -> asyncio.TimerHandle:
        """Schedule a callback at a loop time that no pause holds."""
        handle: asyncio.TimerHandle = _BaseLoop.call_at(self, *args, **options)
        return handle


class _PausableCallback:
    """Callback of a process; held if the process is paused when it is due."""

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
        #: Handle with which the callback can be cancelled.
        self._handle: asyncio.Handle | None = None

    def schedule(self) -> asyncio.Handle:
        """Schedule the callback in the next iteration of the loop."""
        handle = self._loop.call_free(self._run_or_hold, context=self._context)
        self._handle = self._handle or handle
        return handle

    def schedule_at(self, when: float) -> asyncio.TimerHandle:
        """Schedule the callback at a loop time."""
        handle = self._loop.time_free(
            when, self._run_or_hold, context=self._context
        )
        self._handle = handle
        return handle

    def _run_or_hold(self) -> None:
        if self._handle is not None and self._handle.cancelled():
            return
        if self._process.paused:
            self._process.hold(self)
            return
        callback, args = self._call
        callback(*args)


_current_process: contextvars.ContextVar[Process | None] = (
    contextvars.ContextVar('process', default=None)
)


async def unwind(processes: Iterable[Process]) -> None:
    """Cancel all tasks but the current one, and wait until they have ended.

    Parameters
    ----------
    processes
        Processes whose held callbacks have to run for that.
    """
    own = asyncio.current_task()
    for process in processes:
        process.unwind()
    remaining = asyncio.all_tasks() - {own}
    while remaining:
        for task in remaining:
            task.cancel()
        await asyncio.wait(remaining)
        remaining = asyncio.all_tasks() - {own}


def run_pausing(work: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine in virtual time, and return its result."""
    loop = PausingLoop()
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(work)  # type: ignore[no-any-return]
    finally:
        loop.close()
        asyncio.set_event_loop(None)
