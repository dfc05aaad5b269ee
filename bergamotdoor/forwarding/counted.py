"""Counting of the requests that are in flight at an upstream."""

from __future__ import annotations

import asyncio
import weakref
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Coroutine

    from bergamotdoor.entry.context import Context
    from bergamotdoor.fleet.loads import UpstreamLoad
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.forwarding.call import Attempt

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


class CountedCall:
    """A call that counts as in flight at an upstream from its creation on.

    Parameters
    ----------
    context
        Services of the process.
    upstream
        The upstream.
    """

    def __init__(self, context: Context, upstream: Upstream) -> None:
        self._clock = context.clock
        self._began_at = context.clock.elapsed()
        self._service_calls = context.queueing.of(
            upstream.service, context.fleet
        )
        self._calls = context.queueing.limits.of(upstream.upstream)
        self._calls.begin()

    def end(self, is_served: bool) -> None:
        """Stop counting; send the waiting calls for which there is room now.

        Parameters
        ----------
        is_served
            Whether the call used a slot of the upstream to its end.
        """
        self._calls.end()
        now = self._clock.elapsed()
        if is_served:
            self._service_calls.record_service_time(now - self._began_at)
        self._service_calls.serve(now)

    def end_with_task(self, task: asyncio.Task[Attempt]) -> None:
        """Stop counting when the task of an attempt has ended."""
        has_result = not task.cancelled() and task.exception() is None
        self.end(is_served=has_result and task.result().served)


def start_counted_call(
    context: Context,
    upstream: Upstream,
    work: Coroutine[None, None, Attempt],
) -> asyncio.Task[Attempt]:
    """Start an attempt that counts as a call in flight until it ends.

    Parameters
    ----------
    context
        Services of the process.
    upstream
        The upstream.
    work
        The coroutine that sends the call.
    """
    counted = CountedCall(context, upstream)
    task = start_counted(context.loads.of(upstream.upstream), work)
    task.add_done_callback(counted.end_with_task)
    return task


class CountedStream:
    """A stream that counts as a call in flight until it is closed.

    Failure: a stream uses a slot of its upstream for seconds after its
    response began. Symptom: calls are sent to an upstream that is full. The
    count begins before the one of the attempt ends, since waiting calls are
    sent at that moment.

    Parameters
    ----------
    context
        Services of the process.
    upstream
        The upstream.
    """

    def __init__(self, context: Context, upstream: Upstream) -> None:
        self._load = context.loads.of(upstream.upstream)
        self._load.begin_request()
        self._counted: CountedCall | None = CountedCall(context, upstream)

    def close(self) -> None:
        """Stop counting, if that has not happened yet."""
        counted = self._counted
        self._counted = None
        if counted is not None:
            self._load.end_request()
            counted.end(is_served=True)

    def close_with(self, body: AsyncIterator[bytes]) -> None:
        """Stop counting at the latest when a body is no longer referenced.

        Failure: a caller leaves before the first piece of its response is
        read, so the code of the generator never runs. Symptom: the stream
        counts as in flight for ever.
        """
        weakref.finalize(body, self.close).atexit = False
