"""Share with other entries of the zone what is in flight at busy upstreams."""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor import utils
from bergamotdoor.fleet.load_telling import TELL_INTERVAL, LoadTelling
from bergamotdoor.observe.events import Counted
from bergamotdoor.peers.load_messages import LoadTold, ToldLoad
from bergamotdoor.peers.load_receivers import LoadReceivers
from bergamotdoor.peers.messages import Done

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.fleet.fleet import Fleet
    from bergamotdoor.fleet.loads import Loads
    from bergamotdoor.observe.metrics import Metrics
    from bergamotdoor.peers.access import StoreAccess
    from bergamotdoor.peers.directory import EntryRecord
    from bergamotdoor.settings.node import NodeSettings
    from bergamotdoor.tasks import Tasks
    from bergamotdoor.types import NodeId, UpstreamId

#: Changes are collected for so long. The requests of a burst start within a
#: few milliseconds; without the delay, the first message would have only the
#: first of them, and the next one would be sent when they have ended.
_BATCH_DELAY_MS: Final = 10
_BATCH_DELAY: Final = dt.timedelta(milliseconds=_BATCH_DELAY_MS)

_log = logging.getLogger('bergamotdoor.peers')


class LoadSharing:
    """Tells other entries the requests at busy upstreams, and takes theirs.

    Failure: a burst at one entry fills an upstream, and the others do not
    know. Symptom: their calls are refused there, and again at the next
    upstream. Messages are not repeated: each one has all figures of its
    sender, and figures that are too old are ignored.

    Parameters
    ----------
    fleet
        The registered upstreams.
    loads
        Load of the upstreams.
    metrics
        Counters of messages.
    access
        The client for the other entries, and their directory.
    settings
        The settings of this process, with its node and availability zone.
    clock
        Clock of the process.
    """

    def __init__(
        self,
        fleet: Fleet,
        loads: Loads,
        metrics: Metrics,
        access: StoreAccess,
        settings: NodeSettings,
        clock: Clock,
    ) -> None:
        self._fleet = fleet
        self._loads = loads
        self._metrics = metrics
        self._access = access
        self._settings = settings
        self._clock = clock
        self._telling = LoadTelling()
        self._receivers = LoadReceivers(settings.node, settings.zone)
        self._changed = asyncio.Event()
        loads.on_change = self._changed.set

    @property
    def message_type(self) -> type[LoadTold]:
        """The class of the messages that `take` handles."""
        return LoadTold

    async def run(self, tasks: Tasks) -> None:
        """Tell the other entries of changes until cancelled.

        Parameters
        ----------
        tasks
            The background tasks of the process, which send the messages.
        """
        while True:
            await self._changed.wait()
            await self._clock.sleep(_BATCH_DELAY)
            self._changed.clear()
            figures = self._telling.figures_to_tell(
                tuple(self._fleet), self._loads, self._clock.elapsed()
            )
            if figures is not None:
                self._tell(figures, tasks)
                await self._clock.sleep(TELL_INTERVAL)

    def take(self, message: LoadTold) -> None:
        """Record the figures that another entry has told.

        Figures of an incarnation that is not registered here are dropped:
        they are of an earlier start, and nothing would remove them.
        """
        self._metrics.count(Counted.LOAD_HEARD)
        # An entry that tells figures accepts them too.
        self._receivers.record_accepted(message.sender)
        self._loads.forget_sender(message.sender)
        now = self._clock.elapsed()
        registered = {one.upstream for one in self._fleet}
        for told in message.loads:
            if told.upstream not in registered:
                continue
            load = self._loads.of(told.upstream)
            load.known.record_told(message.sender, told.in_flight, now)
            if told.report is not None:
                load.known.record_told_report(
                    told.report, utils.from_ms(told.age_ms), load.in_flight, now
                )

    def _tell(self, figures: dict[UpstreamId, int], tasks: Tasks) -> None:
        now = self._clock.elapsed()
        message = LoadTold(
            self._settings.node,
            tuple(
                self._told_load(upstream, in_flight, now)
                for upstream, in_flight in figures.items()
            ),
        )
        receivers = self._receivers.choose(self._access.directory.entries, now)
        if not receivers:
            return
        for node, entry in receivers.items():
            tasks.start(self._send(node, entry, message))
        self._metrics.count(Counted.LOAD_TOLD, amount=len(receivers))
        _log.info(
            'peers: %d requests at %d busy upstreams told to %d entries',
            sum(figures.values()),
            len(figures),
            len(receivers),
        )

    def _told_load(
        self, upstream: UpstreamId, in_flight: int, now: dt.timedelta
    ) -> ToldLoad:
        known = self._loads.of(upstream).known
        age = now - known.reported_at
        report = known.report if known.is_direct else None
        return ToldLoad(upstream, in_flight, report, utils.to_ms(age))

    async def _send(
        self, receiver: NodeId, entry: EntryRecord, message: LoadTold
    ) -> None:
        """Send a message once."""
        reply = await self._access.peers.ask(entry.address, message)
        if isinstance(reply, Done):
            self._receivers.record_accepted(receiver)
        else:
            self._receivers.record_not_accepted(receiver, self._clock.elapsed())
