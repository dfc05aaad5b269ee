"""Applies the forecast of all open jobs of this process to their items."""

from __future__ import annotations

import datetime as dt
import heapq
import itertools
from typing import TYPE_CHECKING, Final, TypeAlias

from bergamotdoor.calls.manifest import Route, pick_service
from bergamotdoor.fleet.upstreams import Upstream, serve_several_models
from bergamotdoor.jobs.forecast import StepPlan, plan_steps
from bergamotdoor.jobs.item_queue import LONG_RATIO
from bergamotdoor.jobs.open_work import (
    OpenItem,
    OpenJob,
    estimate_remaining,
    events_of,
    mean_hint,
    usual_interval_s,
)
from bergamotdoor.steps.forecast_report import ForecastReport
from bergamotdoor.steps.target import (
    count_missing_others,
    find_resubmitted_groups,
)
from bergamotdoor.types import GroupId, JobId, UpstreamId

if TYPE_CHECKING:
    from collections.abc import Container, Iterable, Iterator, Sequence

    from bergamotdoor.entry.context import Context
    from bergamotdoor.entry.views import ManifestView
    from bergamotdoor.jobs import JobSpec, QueuedItem
    from bergamotdoor.jobs.forecast import JobForecast
    from bergamotdoor.steps.job_run import JobRun

#: Changes of items and engines within this time lead to one new plan, since a
#: plan for a thousand items takes some ten milliseconds of a processor. The
#: owner asks for a plan at least every 0.1 s, so no plan becomes older than
#: 0.25 s.
_PLAN_INTERVAL_MS: Final = 150
_PLAN_INTERVAL: Final = dt.timedelta(milliseconds=_PLAN_INTERVAL_MS)
_NO_GROUPS: Final[frozenset[GroupId]] = frozenset()
#: An item that takes this share of its step's time on a fast engine is long.
_LONG_SHARE: Final = 0.5
#: A job, and an iterator that starts its items one at a time.
JobStarts: TypeAlias = 'tuple[JobRun, Iterator[None]]'


class StepPlanner:
    """Forecasts of the open jobs that this process owns.

    The forecasts exist in memory only. The next owner of a job computes them
    from what it loads.

    Parameters
    ----------
    context
        Services of the process.
    manifests
        The current manifest, with the rules of the engines' services.
    """

    def __init__(self, context: Context, manifests: ManifestView) -> None:
        self._context = context
        self._manifests = manifests
        self._resubmitted_groups: dict[JobId, frozenset[GroupId]] = {}
        self._report = ForecastReport(context.metrics)
        self._plan = StepPlan()
        self._planned_at = context.clock.elapsed()

    def add_job(
        self, spec: JobSpec, earlier: Iterable[JobSpec]
    ) -> frozenset[GroupId]:
        """Add a job; return those of its groups that an earlier job had too.

        Parameters
        ----------
        spec
            The job.
        earlier
            Jobs that were submitted before it.
        """
        groups = find_resubmitted_groups(spec, earlier)
        self._resubmitted_groups[spec.job] = groups
        return groups

    def retain_jobs(self, jobs: Container[JobId]) -> None:
        """Forget all jobs but the given ones."""
        self._resubmitted_groups = {
            job: groups
            for job, groups in self._resubmitted_groups.items()
            if job in jobs
        }

    def forecast_of(self, job: JobId) -> JobForecast | None:
        """Return the last forecast of a job; ``None`` if there is none."""
        return self._plan.forecasts.get(job)

    @property
    def is_capacity_short(self) -> bool:
        """Whether some groups of the open jobs cannot be complete on time."""
        return any(one.deferred for one in self._plan.forecasts.values())

    def target_in(self, job: JobId) -> dt.timedelta | None:
        """Return the time until a job's target is expected to be complete.

        It is ``None`` if there is no forecast.
        """
        forecast = self.forecast_of(job)
        if forecast is None or forecast.target_in is None:
            return None
        age = self._context.clock.elapsed() - self._planned_at
        return forecast.target_in - age

    def update(self, routed: Sequence[tuple[JobRun, Route]]) -> None:
        """Plan anew if a job is new or gone, or the plan is old.

        Parameters
        ----------
        routed
            The active jobs and their routes. Jobs whose route states no due
            time keep their order, and so do those of a service with a single
            model: its trainer has all engines, and no other gains.
        """
        now = self._context.clock.elapsed()
        routed = [
            (run, route)
            for run, route in routed
            if route.due_after and self._serves_several_models(route)
        ]
        same_jobs = self._plan.forecasts.keys() == {
            run.spec.job for run, _ in routed
        }
        if same_jobs and now - self._planned_at < _PLAN_INTERVAL:
            return
        engines = {
            run.spec.job: self._engines(run, route) for run, route in routed
        }
        self._plan = plan_steps(
            [
                self._open_job(run, route, engines[run.spec.job])
                for run, route in routed
            ],
            {
                one.upstream: self._usable_slots(one)
                for known in engines.values()
                for one in known
            },
        )
        self._planned_at = now
        self._report.record(self._plan.forecasts, now)
        for run, _ in routed:
            run.items.item_queue.set_order(self._plan.ranks[run.spec.job])

    def start_items(self, starts: Sequence[JobStarts]) -> None:
        """Start items of all jobs, those with the least slack first.

        Failure: all waiting items of the job that is due first start before
        any item of another job. Symptom: a long item of a new job waits for
        slots although the items that have them could wait.

        Parameters
        ----------
        starts
            The jobs by due time, each with an iterator that starts one of
            its items at a time until no more can start.
        """
        heads = [
            (place, number)
            for number, (run, _) in enumerate(starts)
            if (place := self._first_place(run)) is not None
        ]
        heapq.heapify(heads)
        while heads:
            _, number = heapq.heappop(heads)
            run, iterator = starts[number]
            for _ in itertools.islice(iterator, 1):
                place = self._first_place(run)
                if place is not None:
                    heapq.heappush(heads, (place, number))

    def _serves_several_models(self, route: Route) -> bool:
        service = pick_service(route, 0)
        return serve_several_models(self._context.fleet.of_service(service))

    def _first_place(self, run: JobRun) -> int | None:
        """Return the place of a job's next item in the start order.

        Jobs without a due time start first, as their due time has passed.
        """
        now = self._context.clock.elapsed()
        queued = run.items.item_queue.next_item(now)
        if queued is None:
            return None
        return queued.order if run.spec.job in self._plan.ranks else -1

    def _engines(self, run: JobRun, route: Route) -> tuple[Upstream, ...]:
        """Return the engines that run the items of a job now or soon.

        An engine that has the version before the oldest accepted one is about
        to load the next one.
        """
        fleet = self._context.fleet
        oldest = max(run.spec.min_version - 1, 1)
        return tuple(
            one
            for one in fleet.of_service(pick_service(route, 0))
            if fleet.version(one.upstream, run.spec.model) >= oldest
        )

    def _usable_slots(self, engine: Upstream) -> int:
        """Return how many slots other processes do not use."""
        load = self._context.loads.of(engine.upstream)
        others = load.estimated_other_requests(self._context.clock.elapsed())
        return max(engine.slots - others, 0)

    def _open_job(
        self, run: JobRun, route: Route, engines: tuple[Upstream, ...]
    ) -> OpenJob:
        rules = self._manifests.service_rules(pick_service(route, 0))
        speeds = self._context.speeds
        intervals_s = {
            one.upstream: speeds.interval_s(one.upstream) for one in engines
        }
        fast_interval_s = min(intervals_s.values(), default=0)
        resubmitted = self._resubmitted_groups.get(run.spec.job, _NO_GROUPS)
        # A job without a target waits for all of its groups.
        missing_others = (
            count_missing_others(run, resubmitted)
            if run.spec.target_groups
            else len(run.spec.items)
        )
        return OpenJob(
            run.spec.job,
            run.due_at - self._context.clock.elapsed(),
            frozenset(intervals_s),
            tuple(_open_items(run, rules.tokens_per_event, intervals_s)),
            usual_interval_s(
                (one.slots, intervals_s[one.upstream]) for one in engines
            ),
            fast_interval_s,
            resubmitted,
            missing_others,
            _long_events(
                _mean_events(run, rules.tokens_per_event),
                route.due_after.total_seconds(),
                fast_interval_s,
            ),
        )


def _long_events(
    mean_events: float, time_allowed_s: float, fast_interval_s: float
) -> float:
    """Return the number of events from which an item is long.

    Such an item takes most of the time that its step has, or is longer than
    the other items of its job by ``LONG_RATIO``.
    """
    if not fast_interval_s:
        return LONG_RATIO * mean_events
    most_events = _LONG_SHARE * time_allowed_s / fast_interval_s
    return min(LONG_RATIO * mean_events, most_events)


def _mean_events(run: JobRun, tokens_per_event: float) -> float:
    return mean_hint(
        events_of(one.expected_tokens, tokens_per_event)
        for one in run.spec.items
    )


def _open_items(
    run: JobRun, tokens_per_event: float, intervals_s: dict[UpstreamId, float]
) -> Iterator[OpenItem]:
    mean_events = _mean_events(run, tokens_per_event)
    fast_interval_s = min(intervals_s.values(), default=0)
    for queued in run.items.item_queue.unfinished():
        running = run.running.get(queued.spec.item)
        upstream = None if running is None else running.progress.upstream
        yield OpenItem(
            queued.spec.item,
            queued.spec.group,
            _remaining_events(run, queued, mean_events, tokens_per_event),
            intervals_s.get(upstream or UpstreamId(''), fast_interval_s),
        )


def _remaining_events(
    run: JobRun,
    queued: QueuedItem,
    mean_events: float,
    tokens_per_event: float,
) -> float:
    """Return the expected number of events that an item still lacks."""
    if queued.is_generated:
        return 0
    return estimate_remaining(
        events_of(queued.spec.expected_tokens, tokens_per_event) or mean_events,
        run.items.event_count(queued.spec.item),
        events_of(queued.spec.most_tokens, tokens_per_event),
    )
