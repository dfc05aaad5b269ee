"""Records on which paths a call was sent and what came of each."""

from __future__ import annotations

import asyncio
import contextlib
from contextvars import ContextVar
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator

_MS_PER_SECOND: Final = 1000


class PathTrace:
    """One path of a call.

    Parameters
    ----------
    name
        Names the path in logs.
    relayed
        Whether the path leads through another process.
    """

    def __init__(self, name: str, *, relayed: bool = False) -> None:
        self._name = name
        self.relayed = relayed
        self._began_s = _now_s()
        self._result = 'no answer yet'
        #: Whether the call failed on this path.
        self.failed = False

    def end(self, result: str, *, failed: bool) -> None:
        """Record what came of the call on this path."""
        took_ms = _ms_since(self._began_s)
        self._result = f'{result} after {took_ms} ms'
        self.failed = failed

    def __str__(self) -> str:
        """Return the path with its result and duration."""
        return f'{self._name}: {self._result}'


class CallTrace:
    """The paths of one call, in the order in which they were begun."""

    def __init__(self) -> None:
        self._began_s = _now_s()
        self.paths: list[PathTrace] = []

    @property
    def has_failed_path(self) -> bool:
        """Whether the call failed on any path that has ended."""
        return any(path.failed for path in self.paths)

    @property
    def is_relayed(self) -> bool:
        """Whether the call was sent through another process."""
        return any(path.relayed for path in self.paths)

    @property
    def took_ms(self) -> int:
        """Time since the start of the call."""
        return _ms_since(self._began_s)

    def __str__(self) -> str:
        """Return the duration so far and all paths."""
        paths = '; '.join(map(str, self.paths))
        return f'after {self.took_ms} ms ({paths})'


_current: ContextVar[CallTrace | None] = ContextVar('call_trace', default=None)


@contextlib.contextmanager
def traced_call() -> Iterator[CallTrace]:
    """Trace the paths that the block and the tasks it starts begin."""
    trace = CallTrace()
    token = _current.set(trace)
    try:
        yield trace
    finally:
        # An abandoned coroutine is closed in the context of other code.
        with contextlib.suppress(ValueError):
            _current.reset(token)


def begin_path(name: str, *, relayed: bool = False) -> PathTrace:
    """Return the record of a path on which the current call is sent."""
    path = PathTrace(name, relayed=relayed)
    trace = _current.get()
    if trace is not None:
        trace.paths.append(path)
    return path


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _ms_since(began_s: float) -> int:
    return int((_now_s() - began_s) * _MS_PER_SECOND)
