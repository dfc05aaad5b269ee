"""Attempts at one call on several paths, started one after the other."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

import msgspec

from bergamotdoor.objects.client import Answer
from bergamotdoor.stored import Outcome

if TYPE_CHECKING:
    import datetime as dt
    from collections.abc import Iterable


class Path(msgspec.Struct, frozen=True):
    """A path on which a call can be sent."""

    #: Whether it leads through another entry.
    relayed: bool
    send: Callable[[], Coroutine[Any, Any, Answer | Outcome]]


class PathsResult(msgspec.Struct, frozen=True):
    """What came of a call on all of its paths."""

    found: Answer | Outcome
    #: The path whose answer is `found`; ``None`` if no answer was usable.
    path: Path | None = None


async def try_paths(paths: Iterable[Path], delay: dt.timedelta) -> PathsResult:
    """Return the first usable answer to a call.

    No path is waited for alone: the next one is started when one fails, and
    when the started ones have not answered for a while.

    Parameters
    ----------
    paths
        The paths in the order in which they are tried.
    delay
        How long the first path may take before the second one is started.
        Each further one is started after as much more time.

    Returns
    -------
    PathsResult
        Without a usable answer it is UNCLEAR if the call may have taken
        effect on any path, otherwise the result of the direct path.
    """
    attempts = _Attempts()
    remaining = deque(paths)
    try:
        while remaining:
            attempts.start(remaining.popleft())
            longest = delay * len(attempts.tasks) if remaining else None
            await attempts.wait(longest)
            if attempts.answered is not None:
                return attempts.answered
        while attempts.pending:
            await attempts.wait()
            if attempts.answered is not None:
                return attempts.answered
    finally:
        attempts.cancel()
    return PathsResult(attempts.merged())


class _Attempts:
    """The attempts at a call that were started."""

    def __init__(self) -> None:
        #: In the order in which they were started.
        self.tasks: dict[asyncio.Task[Answer | Outcome], Path] = {}

    @property
    def pending(self) -> set[asyncio.Task[Answer | Outcome]]:
        """The attempts in progress."""
        return {task for task in self.tasks if not task.done()}

    @property
    def answered(self) -> PathsResult | None:
        """The first attempt with a usable answer, if there is one."""
        done = (entry for entry in self.tasks.items() if entry[0].done())
        return next(
            (
                PathsResult(task.result(), path)
                for task, path in done
                if usable(task.result())
            ),
            None,
        )

    def start(self, path: Path) -> None:
        """Send the call on a path."""
        self.tasks[asyncio.create_task(path.send())] = path

    async def wait(self, longest: dt.timedelta | None = None) -> None:
        """Wait until an attempt in progress ends, or for some time."""
        await asyncio.wait(
            self.pending,
            timeout=None if longest is None else longest.total_seconds(),
            return_when=asyncio.FIRST_COMPLETED,
        )

    def cancel(self) -> None:
        """Cancel the attempts in progress."""
        for task in self.tasks:
            task.cancel()

    def merged(self) -> Answer | Outcome:
        """Return the result of attempts of which none was answered."""
        results = [task.result() for task in self.tasks]
        if Outcome.UNCLEAR in results:
            return Outcome.UNCLEAR
        return next(
            (
                task.result()
                for task, path in self.tasks.items()
                if not path.relayed
            ),
            Outcome.NOT_DONE,
        )


def usable(found: Answer | Outcome) -> bool:
    """Return whether the store answered and did not reject the call."""
    return isinstance(found, Answer) and not found.is_rejection
