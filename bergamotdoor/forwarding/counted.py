"""Tasks that count as requests in flight at an upstream while they run."""

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
    """Start a task that counts as a request in flight until it ends.

    Failure: a task that is cancelled before its first step runs none of its
    code, so it can't count its own end; and an upstream that left and came
    back has a new load object. Symptom: the number of requests in flight is
    too high, or negative, and the upstream gets too few or too many requests.
    Therefore a callback of the task counts its end, in the same load object
    as its beginning.

    Parameters
    ----------
    load
        The load of the upstream.
    work
        The coroutine that sends the request.
    """
    load.begin_request()
    task = asyncio.create_task(work)
    task.add_done_callback(lambda _: load.end_request())
    return task
