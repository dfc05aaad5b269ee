"""Log lines and counters of deferred groups and of steps that will be late."""

from __future__ import annotations

import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor import utils
from bergamotdoor.observe.events import Counted
from bergamotdoor.types import GroupId

if TYPE_CHECKING:
    from collections.abc import Mapping

    from bergamotdoor.jobs.forecast import JobForecast
    from bergamotdoor.observe.metrics import Metrics
    from bergamotdoor.types import JobId

#: Minimum time between two log lines about one job.
_LOG_INTERVAL: Final = dt.timedelta(seconds=1)

_log = logging.getLogger('bergamotdoor.gateway')


class _Reported(msgspec.Struct):
    """What was reported of one job."""

    #: Groups that were counted as deferred.
    groups: frozenset[GroupId] = frozenset()
    is_late: bool = False
    logged_at: dt.timedelta | None = None


class ForecastReport:
    """Reports the forecasts of open jobs.

    Each group, and each step that is expected to be late, is counted once,
    however often the forecast changes.

    Parameters
    ----------
    metrics
        Counters of the process.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._reported: dict[JobId, _Reported] = {}

    def record(
        self, forecasts: Mapping[JobId, JobForecast], now: dt.timedelta
    ) -> None:
        """Count and log what is new in the forecasts of all open jobs.

        Parameters
        ----------
        forecasts
            The forecasts.
        now
            The monotonic time.
        """
        self._reported = {
            job: self._reported.get(job, _Reported()) for job in forecasts
        }
        for job, forecast in forecasts.items():
            reported = self._reported[job]
            self._count(forecast, reported)
            last = reported.logged_at
            is_silent = last is None or now - last >= _LOG_INTERVAL
            if forecast.deferred and is_silent:
                reported.logged_at = now
                _log_forecast(job, forecast)

    def _count(self, forecast: JobForecast, reported: _Reported) -> None:
        added = forecast.deferred - reported.groups
        if added:
            reported.groups |= added
            self._metrics.count(Counted.GROUP_DEFERRED, amount=len(added))
        if forecast.is_late and not reported.is_late:
            reported.is_late = True
            self._metrics.count(Counted.STEP_FORECAST_LATE)


def _log_forecast(job: JobId, forecast: JobForecast) -> None:
    target_in = forecast.target_in
    _log.info(
        'gateway: job %s: %d of %d groups kept, forecast %s ms, due in %d ms',
        job,
        len(forecast.kept),
        len(forecast.kept) + len(forecast.deferred),
        'unknown' if target_in is None else utils.to_ms(target_in),
        utils.to_ms(forecast.due_in),
    )
