"""Sends score calls for completed texts to the service the trainer names."""

from __future__ import annotations

import datetime as dt
import functools
import logging
from collections import Counter
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from bergamotdoor.calls.attempts import CallRules
from bergamotdoor.calls.manifest import Route, pick_service
from bergamotdoor.forwarding import Attempt, Call, Forwarder
from bergamotdoor.http.messages import Headers, HttpResponse
from bergamotdoor.jobs import free_score_slots
from bergamotdoor.platform import headers as names

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from bergamotdoor.entry.context import Context
    from bergamotdoor.entry.views import ManifestView
    from bergamotdoor.jobs.scoring import UnscoredText
    from bergamotdoor.steps.job_run import JobRun
    from bergamotdoor.types import AccountId, ServiceId

#: The longest duration of a score call with all its attempts, unless its
#: route allows less: thirty times a usual response. A retry is more useful than
#: a longer wait for upstreams that send nothing.
_CALL_TIMEOUT_S: Final = 1.5
_CALL_TIMEOUT: Final = dt.timedelta(seconds=_CALL_TIMEOUT_S)

_log = logging.getLogger('bergamotdoor.gateway')


class Scorer:
    """Client that sends the score calls of all jobs of this process.

    Parameters
    ----------
    context
        Services of the process.
    manifests
        The current manifest, with the routes of the calls.
    on_call_end
        Callback without arguments. It is called after a call has ended, when
        there is room for the next one.
    """

    def __init__(
        self,
        context: Context,
        manifests: ManifestView,
        on_call_end: Callable[[], None],
    ) -> None:
        self._context = context
        self._manifests = manifests
        self._on_call_end = on_call_end
        self._forwarder = Forwarder(context)
        #: Calls in flight of this process, by service.
        self._in_flight: Counter[ServiceId] = Counter()

    def start_calls(self, runs: Iterable[JobRun]) -> None:
        """Send calls while services have room.

        Parameters
        ----------
        runs
            The jobs, the most urgent first.
        """
        for run in runs:
            if len(run.items.score_queue):
                self._start_job_calls(run)

    def _start_job_calls(self, run: JobRun) -> None:
        now = self._context.clock.elapsed()
        for text in run.items.score_queue.ready_texts(
            run.items.item_queue.open_in_group, now
        ):
            route = self._find_route(text)
            if route is not None:
                self._start_call(run, text, route)

    def _start_call(
        self, run: JobRun, text: UnscoredText, route: Route
    ) -> None:
        service = pick_service(route, self._context.rng.random())
        if not self._has_room(service):
            return
        text.is_running = True
        self._in_flight[service] += 1
        task = run.start_score_task(self._send_call(run, text, route))
        task.add_done_callback(lambda _: self._end_call(service))

    def _find_route(self, text: UnscoredText) -> Route | None:
        """Return the route of a call; ``None`` if the manifest has none.

        The next manifest may have it: a trainer can name a route that is in
        force at other entries already.
        """
        manifest = self._manifests.manifest
        if manifest is None:
            return None
        return manifest.match(text.call.host, text.call.path)

    def _has_room(self, service: ServiceId) -> bool:
        upstreams = self._context.fleet.of_service(service)
        now = self._context.clock.elapsed()
        in_flight = self._in_flight[service]
        return (
            free_score_slots(upstreams, self._context.loads, in_flight, now) > 0
        )

    async def _send_call(
        self, run: JobRun, text: UnscoredText, route: Route
    ) -> None:
        """Send the score call of a text and record its outcome."""
        call = self._build_call(text, route, run.spec.account)
        outcome = await self._forwarder.forward(call)
        score = _score_of(outcome)
        if score:
            run.items.record_score(text, score)
            return
        run.items.record_failed_score_call(
            text,
            outcome.failures,
            route.max_attempts,
            self._context.clock.elapsed(),
        )
        _log.info(
            'gateway: item %s of job %s has no score: %s, %d of %d failures',
            text.spec.item,
            run.spec.job,
            outcome.detail,
            text.failures,
            route.max_attempts,
        )

    def _build_call(
        self, text: UnscoredText, route: Route, account: AccountId
    ) -> Call:
        now = self._context.clock.elapsed()
        fields = [
            ('host', text.call.host),
            (names.REQUEST_ID, text.call.request_id),
        ]
        if account:
            fields.append((names.ACCOUNT, account))
        return Call(
            request_id=text.call.request_id,
            method='POST',
            target=text.call.path,
            headers=Headers.of(fields),
            body=text.call.body,
            route=route,
            rules=CallRules.of_score(
                route, now + min(route.timeout, _CALL_TIMEOUT)
            ),
            began=now,
            account=account,
            priority=self._priority_of(route, account),
            readmit=functools.partial(self._readmit, text),
        )

    def _priority_of(self, route: Route, account: AccountId) -> int:
        manifest = self._manifests.manifest
        if manifest is None:
            return route.priority
        return manifest.priority_of(route, account)

    def _readmit(
        self, text: UnscoredText, service: ServiceId
    ) -> HttpResponse | None:
        """Refuse a call that waited if its route leads elsewhere now."""
        route = self._find_route(text)
        if route is not None and route.leads_to(service, route.kind):
            return None
        return HttpResponse(status=int(HTTPStatus.SERVICE_UNAVAILABLE))

    def _end_call(self, service: ServiceId) -> None:
        self._in_flight[service] -= 1
        self._on_call_end()


def _score_of(outcome: Attempt) -> str:
    """Return the proof that an answer carries; empty if it is no success."""
    answer = outcome.answer
    if answer is None or answer.status >= HTTPStatus.MULTIPLE_CHOICES:
        return ''
    return answer.headers.first(names.STAMP)
