"""Requests that are counted in an upstream's load as long as they run."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from bergamotdoor.fleet.loads import UpstreamLoad

Value = TypeVar('Value')


def start_counted(
    load: UpstreamLoad, work: Coroutine[None, None, Value]
) -> asyncio.Task[Value]:
    """Start a request's task, counted from now to its end.

    Failure: a task that is cancelled before its first step runs none of
    its code, and an upstream that left and came back has a new load.
    Symptom: an upstream seems to have requests that it has not, or fewer
    than none, and gets too few or too many. The task's end is seen from
    outside, and counted where its begin was.
    """
    load.enter()
    task = asyncio.create_task(work)
    task.add_done_callback(lambda _: load.leave())
    return task
