"""The planned stop of an entry, which completes the work in progress."""

from __future__ import annotations

import asyncio
import contextlib
import datetime as dt
from typing import TYPE_CHECKING, Final

from bergamotdoor.objects.client import CALL_TIMEOUT

if TYPE_CHECKING:
    from bergamotdoor.entry.context import Context
    from bergamotdoor.gateway.wiring import EntryComponents
    from bergamotdoor.http import HttpServer
    from bergamotdoor.tasks import Tasks

#: How long a stopping entry still serves new callers. The balancer probes its
#: readiness once a second and stops sending callers after two failed probes.
_ROTATION_EXIT_S: Final = 2.2
_ROTATION_EXIT: Final = dt.timedelta(seconds=_ROTATION_EXIT_S)
#: How long the last messages to other entries may take.
_LAST_MESSAGES_TIMEOUT_S: Final = 0.4
#: The part of the grace period that is reserved for the last messages and for
#: the end of all tasks.
_STOP_MARGIN_MS: Final = 600
_STOP_MARGIN: Final = dt.timedelta(milliseconds=_STOP_MARGIN_MS)
#: Calls that were not sent by so long before the last calls are cut off are
#: refused, so that their callers receive the refusal in time.
_REFUSAL_TIME_MS: Final = 100
_REFUSAL_TIME: Final = dt.timedelta(milliseconds=_REFUSAL_TIME_MS)
_NO_TIME: Final = dt.timedelta()


class PlannedStop:
    """Planned stop of an entry, within the grace period.

    The entry first leaves the balancer's rotation, then completes the calls
    that are in progress. It hands off its jobs meanwhile.

    Failure: calls in progress are cut off well before the platform ends the
    process. Symptom: a call that may run only once, and whose upstream would
    have answered in time, gets no answer. So the calls have the grace period
    but for a short margin.

    Failure: no other entry answers when the jobs are handed off. Symptom:
    callers are accepted for seconds after the rotation was left, and their
    calls are cut off at the end. So the handoff delays nothing.

    Failure: the entry confirms the end of a job, and stops while the job's
    owner does not answer. Symptom: the owner runs the job on for seconds.
    Messages about jobs are sent to their end, as time allows.

    Failure: the entry stops while it makes a call to the store for another
    entry. Symptom: that one can't tell whether its write took effect. A call
    that was begun is answered, as time allows.

    Parameters
    ----------
    context
        Services of the process.
    components
        Components of the process.
    callers
        Server for callers and trainers.
    final_tasks
        The tasks that a planned stop completes, as time allows.
    """

    def __init__(
        self,
        context: Context,
        components: EntryComponents,
        callers: HttpServer,
        final_tasks: Tasks,
    ) -> None:
        self._context = context
        self._clock = context.clock
        self._components = components
        self._callers = callers
        self._final_tasks = final_tasks

    async def run(self, grace: dt.timedelta) -> dt.timedelta:
        """Complete the work in progress; the process may end afterwards.

        Parameters
        ----------
        grace
            Time until the platform ends the process.

        Returns
        -------
        datetime.timedelta
            How long requests of other entries may still take.
        """
        stop_by = self._clock.elapsed() + grace - _STOP_MARGIN
        self._context.queueing.closes_at = stop_by - _REFUSAL_TIME
        self._components.news_source.closed = True
        self._final_tasks.start(self._components.handoff.hand_off_jobs())
        self._callers.end_connections()
        await self._clock.sleep(_ROTATION_EXIT)
        await self._callers.stop(self._time_until(stop_by))
        await self._final_tasks.finish(self._time_until(stop_by))
        await self._send_last_messages()
        return min(self._time_until(stop_by), CALL_TIMEOUT)

    async def _send_last_messages(self) -> None:
        """Send what other entries need to know of the last calls."""
        usage = self._components.usage
        messages = [
            self._context.strikes.flush(),
            self._components.notifier.announce_last_unclear(),
        ]
        if usage is not None:
            messages.append(usage.close())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_LAST_MESSAGES_TIMEOUT_S):
                await asyncio.gather(*messages)

    def _time_until(self, time: dt.timedelta) -> dt.timedelta:
        return max(time - self._clock.elapsed(), _NO_TIME)
