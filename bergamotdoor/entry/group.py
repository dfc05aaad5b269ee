"""The entries that are alive, and messages between them.

Examples
--------
>>> group = EntryGroupTask(settings, store, endpoint, random.Random())
>>> group.inbound.handle(StepNotice, on_step_notice)
>>> await group.start()
>>> await group.send_to(owner, StepNotice(trainer, step))
True
"""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor.entry.group_finder import EntryFinder
from bergamotdoor.entry.group_inbound import Inbound
from bergamotdoor.entry.group_links import PeerLinks, format_address
from bergamotdoor.entry.group_registry import EntryRecord, own_record
from bergamotdoor.entry.group_state import GroupState
from bergamotdoor.entry.group_tasks import cancel_all, finish_within
from bergamotdoor.membership.members import MemberRecord
from bergamotdoor.membership.swim import Swim

if TYPE_CHECKING:
    from bergamotdoor.membership.chance import Chance
    from bergamotdoor.membership.sending import SwimMessage
    from bergamotdoor.settings.process import EntrySettings
    from bergamotdoor.store.protocols import ObjectStore
    from bergamotdoor.types import EntryId, Generation, ZoneId
    from bergamotdoor.wire.link import Endpoint
    from bergamotdoor.wire.messages import AnyMessage

_LOG: Final = logging.getLogger('bergamotdoor.group')
_TICK: Final = dt.timedelta(seconds=1) / 5
#: Members asked at a time; the links of one batch close before the next.
_REFRESH_BATCH: Final = 40
_SEND_TIMEOUT: Final = dt.timedelta(seconds=5)
_STOP_TIMEOUT: Final = dt.timedelta(seconds=1)


class EntryGroupTask:
    """Implements ``EntryGroup`` over links to other entries.

    Parameters
    ----------
    settings
        Names this entry, its address and the peers to begin with.
    store
        Holds the names of entries that the settings don't list.
    endpoint
        What this process says of itself on links.
    chance
        Draws whom to probe.

    Attributes
    ----------
    own
        The id of this entry.
    inbound
        Where other parts ask for messages; before :meth:`start`.
    """

    def __init__(
        self,
        settings: EntrySettings,
        store: ObjectStore,
        endpoint: Endpoint,
        chance: Chance,
    ) -> None:
        self.own = settings.id
        self.inbound = Inbound(self._take_probe)
        self._clock = endpoint.clock
        self._swim = Swim(own_record(settings, endpoint), chance)
        for peer in settings.peers:
            if peer.id != settings.id:
                address = format_address(peer.address)
                self._swim.contacts.learn(peer.id, address)
        self._links = PeerLinks(
            settings.peer_listen, endpoint, self.inbound.take
        )
        self._finder = EntryFinder(store, self._swim, self._clock, chance)
        self._incarnation = endpoint.identity.incarnation
        self._tasks: tuple[asyncio.Task[None], ...] = ()

    def live_entries(self) -> tuple[EntryId, ...]:
        """Return the live entries in order, this one among them."""
        return self._swim.live_entries()

    def members(self) -> tuple[MemberRecord, ...]:
        """Return what is believed of each entry, this one among them.

        The generation of a member reaches the others by gossip and lags,
        in large groups by a minute or two; :meth:`refresh` asks for it.
        """
        own = MemberRecord(self._swim.gossip.own, self._clock.elapsed())
        everyone = (own, *self._swim.members())
        return tuple(sorted(everyone, key=lambda item: item.belief.entry))

    def zones(self) -> dict[EntryId, ZoneId]:
        """Return the live entries, this one among them, with their zones."""
        return self._swim.zones()

    def expects_peers(self) -> bool:
        """Return whether other entries are known of, alive or not."""
        return bool(self._swim.members()) or self._finder.knows_others()

    def set_stamp(self, generation: Generation, digest: str) -> None:
        """Say which configuration is in force here, and tell a few peers."""
        self._swim.set_generation(generation, digest)
        self._links.post_all(self._swim.announce())

    def post(self, entry: EntryId, message: AnyMessage) -> None:
        """Send a message if the entry is known; never waits."""
        self._links.post(entry, self._swim.address_of(entry), message)

    def post_to_some(self, message: AnyMessage, count: int) -> None:
        """Send a message to up to `count` random live entries."""
        for entry in self._swim.some_live(count):
            self.post(entry, message)

    async def send_to(self, entry: EntryId, message: AnyMessage) -> bool:
        """Send a message; return whether it was written to a link.

        False means that it was not sent, or not whole. True does not
        mean that it was read: this carries hints, no more.
        """
        address = self._swim.address_of(entry)
        try:
            async with asyncio.timeout(_SEND_TIMEOUT.total_seconds()):
                return await self._links.send(entry, address, message)
        except TimeoutError:
            return False

    async def refresh(self) -> None:
        """Ask each live member what it has in force; about 1 kB for each.

        For an operator's question, as it costs as many links as there
        are entries. Takes some seconds in a large group.
        """
        live = self.live_entries()
        for start in range(0, len(live), _REFRESH_BATCH):
            batch = live[start : start + _REFRESH_BATCH]
            others = (entry for entry in batch if entry != self.own)
            self._links.post_all(self._swim.ask(others))
            await self._clock.sleep(_TICK * 2)

    async def start(self) -> None:
        """Listen, look for the others and begin to probe."""
        address = format_address(await self._links.start())
        self._swim.gossip.set_address(address)
        zone = self._swim.gossip.own.zone
        record = EntryRecord(address, zone, self._incarnation)
        self._tasks = (
            asyncio.create_task(self._probe(), name='group-probe'),
            asyncio.create_task(self._finder.run(record), name='group-find'),
        )

    async def stop(self) -> None:
        """Say that this entry leaves, then close every link."""
        await cancel_all(self._tasks)
        leaving = self._swim.leave()
        await finish_within(
            _STOP_TIMEOUT,
            self._finder.unregister(),
            *(
                self._links.send(each.entry, each.address, each.message)
                for each in leaving
            ),
        )
        await self._links.stop()

    async def abort(self) -> None:
        """Close every link with nothing said, as a crash would."""
        await cancel_all(self._tasks)
        await self._links.stop()

    def dump(self) -> GroupState:
        """Return the beliefs and the open links."""
        return GroupState(
            self._swim.gossip.own,
            self.members(),
            self._links.open_to(),
            self._swim.gossip.rivals,
            self._finder.registered,
        )

    async def _probe(self) -> None:
        while True:
            self._links.post_all(self._swim.tick(self._clock.elapsed()))
            self._links.close_idle()
            await self._clock.sleep(_TICK)

    def _take_probe(self, sender: EntryId, message: SwimMessage) -> None:
        gossip = self._swim.gossip
        rivals = gossip.rivals
        now = self._clock.elapsed()
        self._links.post_all(self._swim.receive(sender, message, now))
        if gossip.rivals > rivals:
            _LOG.error('group: another process is %s', gossip.own.entry)
