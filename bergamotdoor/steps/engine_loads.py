"""Weight loads of engines, as their agents announce and report them.

Load pattern: engines load weights while steps run. An engine that loads
refuses new items and generates no events of those that it runs. Each refusal
costs a connection and a backoff, and each item that stays loses the time of
the load. The state is kept in memory only: it expires after a second and a
half, and without it a load is noticed by its stalls and refusals.
"""

from __future__ import annotations

import datetime as dt
import logging
from typing import TYPE_CHECKING, Any, Final

import msgspec

from bergamotdoor.observe.events import Counted
from bergamotdoor.peers.weight_messages import EngineLoaded, LoadAnnounced

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from bergamotdoor.entry.context import Context
    from bergamotdoor.settings.document import Address
    from bergamotdoor.steps.peer_notifier import PeerNotifier
    from bergamotdoor.types import UpstreamId

#: Failure: the agent ends after its announcement, or the engine never gets
#: the order. Symptom: the engine runs no items although it could. It is
#: therefore used again after this time, which is longer than most loads.
_CLOSED_TIME_MS: Final = 1500
_CLOSED_TIME: Final = dt.timedelta(milliseconds=_CLOSED_TIME_MS)

_log = logging.getLogger('bergamotdoor.gateway')


class _Announcement(msgspec.Struct, frozen=True):
    message: LoadAnnounced
    until: dt.timedelta


class EngineLoads:
    """Closes engines to new items while they load weights, and opens them.

    Parameters
    ----------
    context
        Services of the process.
    notifier
        Client that forwards messages to the owners of jobs.
    on_change
        Callback without arguments. It is called after an engine was closed,
        when its items may move, or opened, when items may start there.
    """

    def __init__(
        self,
        context: Context,
        notifier: PeerNotifier,
        on_change: Callable[[], None],
    ) -> None:
        self._context = context
        self._notifier = notifier
        self._on_change = on_change
        self._announced: dict[UpstreamId, _Announcement] = {}
        #: The messages of agents, and what is called with them.
        self.handlers: dict[type[Any], Callable[[Any], None]] = {
            LoadAnnounced: self.close_engine,
            EngineLoaded: self.record_load,
        }

    def close_engine(self, message: LoadAnnounced) -> None:
        """Send no items to an engine until it has loaded its weights.

        Failure: an announcement is delayed and arrives after the engine has
        loaded the version. Symptom: an engine that could run items gets none
        for 1.5 s. It is therefore ignored if the engine is known to have the
        version.
        """
        now = self._context.clock.elapsed()
        self._remove_expired(now)
        for upstream in self._incarnations_at(message.engine):
            known = self._context.fleet.version(upstream, message.model)
            if known < message.version:
                self._close(upstream, message, now)
            else:
                _log.info(
                    'gateway: announcement of %s ignored, since it has '
                    'version %d of %s',
                    upstream,
                    known,
                    message.model,
                )
        self._notify(message)

    def record_load(self, message: EngineLoaded) -> None:
        """Record the version that an engine has loaded, and open the engine.

        It stays closed if a later version or another model was announced
        after this load.
        """
        now = self._context.clock.elapsed()
        self._context.fleet.record_version_at(
            message.engine, message.model, message.version
        )
        for upstream in self._incarnations_at(message.engine):
            announced = self._announced.get(upstream)
            if (
                announced is not None
                and announced.message.model == message.model
                and announced.message.version <= message.version
            ):
                self._announced.pop(upstream)
                self._context.loads.of(upstream).close_until(now, now)
        self._notify(message)

    def _close(
        self, upstream: UpstreamId, message: LoadAnnounced, now: dt.timedelta
    ) -> None:
        """Close an engine, or close it for longer if its order is repeated.

        An entry that forwards an announcement to itself has it twice.
        """
        until = now + _CLOSED_TIME
        announced = self._context.fleet.announced_versions
        newest = announced.get(message.model, message.version)
        announced[message.model] = max(newest, message.version)
        is_known = upstream in self._announced
        self._announced[upstream] = _Announcement(message, until)
        load = self._context.loads.of(upstream)
        load.close_until(until, now)
        if is_known:
            return
        self._context.metrics.count(Counted.LOAD_ANNOUNCED)
        _log.info(
            'gateway: %s is about to load version %d of %s, %d in flight',
            upstream,
            message.version,
            message.model,
            load.in_flight,
        )

    def _notify(self, message: EngineLoaded | LoadAnnounced) -> None:
        self._on_change()
        self._notifier.forward_engine_loaded(message)

    def _incarnations_at(self, address: Address) -> Iterator[UpstreamId]:
        return (
            one.upstream
            for one in self._context.fleet
            if one.address == address
        )

    def _remove_expired(self, now: dt.timedelta) -> None:
        self._announced = {
            upstream: one
            for upstream, one in self._announced.items()
            if now < one.until
        }
