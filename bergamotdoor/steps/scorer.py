"""Has whole texts scored by the service that their trainer names."""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from collections import Counter
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from bergamotdoor.calls.manifest import Route, pick_service
from bergamotdoor.calls.tries import CallRules
from bergamotdoor.forwarding import Attempt, Call, Forwarder
from bergamotdoor.http.messages import Headers
from bergamotdoor.jobs import score_room
from bergamotdoor.platform import headers as names

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from bergamotdoor.entry.context import Context
    from bergamotdoor.entry.views import ManifestView
    from bergamotdoor.jobs.scoring import Unscored
    from bergamotdoor.steps.job_run import JobRun
    from bergamotdoor.types import AccountId, ServiceId

#: How long a score call may take with all its attempts, if its route allows
#: as much: thirty times a usual answer. Another try is worth more than
#: waiting for one whose upstreams stay silent.
_CALL_TIME_S: Final = 1.5
_CALL_TIME: Final = dt.timedelta(seconds=_CALL_TIME_S)

_log = logging.getLogger('bergamotdoor.gateway')


class Scorer:
    """Sends the score calls of all jobs of this process.

    Parameters
    ----------
    context
        Services of the process.
    manifests
        The routes.
    poke
        Called when a call ended: there is room for the next.
    """

    def __init__(
        self,
        context: Context,
        manifests: ManifestView,
        poke: Callable[[], None],
    ) -> None:
        self._context = context
        self._manifests = manifests
        self._poke = poke
        self._forwarder = Forwarder(context)
        #: Calls under way.
        self._own: Counter[ServiceId] = Counter()

    def start_calls(self, runs: Iterable[JobRun]) -> None:
        """Send as many calls as there is room for; urgent jobs first."""
        for run in runs:
            if len(run.items.scores):
                self._start_run(run)

    def _start_run(self, run: JobRun) -> None:
        now = self._context.clock.elapsed()
        for text in run.items.scores.ready(run.items.board.open_in_group, now):
            route = self._route(text)
            if route is not None:
                self._start(run, text, route)

    def _start(self, run: JobRun, text: Unscored, route: Route) -> None:
        service = pick_service(route, self._context.rng.random())
        if not self._room(service):
            return
        text.running = True
        self._own[service] += 1
        task = asyncio.create_task(self._score(run, text, route))
        run.take_scoring(task)
        task.add_done_callback(lambda _: self._ended(service))

    def _route(self, text: Unscored) -> Route | None:
        """Return the route of a call; None while the manifest has none.

        It may come with the next manifest: a trainer can name a route that
        is in force at other entries already.
        """
        manifest = self._manifests.manifest
        if manifest is None:
            return None
        return manifest.match(text.call.host, text.call.path)

    def _room(self, service: ServiceId) -> bool:
        upstreams = self._context.fleet.of_service(service)
        now = self._context.clock.elapsed()
        own = self._own[service]
        return score_room(upstreams, self._context.loads, own, now) > 0

    async def _score(self, run: JobRun, text: Unscored, route: Route) -> None:
        call = self._call(text, route, run.spec.account)
        outcome = await self._forwarder.forward(call)
        score = _score_of(outcome)
        if score:
            run.items.take_score(text, score)
            return
        run.items.give_back_score(
            text,
            outcome.failures,
            route.max_attempts,
            self._context.clock.elapsed(),
        )
        _log.info(
            'gateway: item %s of job %s has no score: %s, failed %d of %d',
            text.spec.item,
            run.spec.job,
            outcome.detail,
            text.failures,
            route.max_attempts,
        )

    def _call(self, text: Unscored, route: Route, account: AccountId) -> Call:
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
                route, now + min(route.timeout, _CALL_TIME)
            ),
            began=now,
        )

    def _ended(self, service: ServiceId) -> None:
        self._own[service] -= 1
        self._poke()


def _score_of(outcome: Attempt) -> str:
    """Return the proof of a good answer; empty if there is none."""
    answer = outcome.answer
    if answer is None or answer.status >= HTTPStatus.MULTIPLE_CHOICES:
        return ''
    return answer.headers.first(names.STAMP)
