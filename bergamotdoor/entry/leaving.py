"""Finds out which upstreams are leaving and tells peers and sidecars.

Examples
--------
>>> task = LeavingTask(vm_list, configuration, group, clock)
>>> await task.start()
>>> task.leaving()
frozenset({'engine-3'})
"""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.entry.group_tasks import cancel_all
from bergamotdoor.membership.leaving import (
    LeavingSet,
    LeavingSource,
    ListedVms,
)
from bergamotdoor.membership.watchers import is_watcher
from bergamotdoor.store.protocols import VmSnapshot, VmState
from bergamotdoor.types import UpstreamId
from bergamotdoor.wire.messages import LeavingNotice

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.entry.configuration import ConfigurationTask
    from bergamotdoor.entry.group import EntryGroupTask
    from bergamotdoor.settings.document import Configuration
    from bergamotdoor.store.protocols import VmList
    from bergamotdoor.types import EntryId, VmId

_LOG: Final = logging.getLogger('bergamotdoor.leaving')
_KEY: Final = 'vm-list'
#: Between two looks at the list by those who look.
_POLL: Final = dt.timedelta(seconds=2)
#: Between two notices to a random peer, in case earlier ones were lost.
_REPEAT: Final = dt.timedelta(seconds=5)
#: Peers told at once of a change.
_FANOUT: Final = 3

#: Told of each change; returns at once.
LeavingSubscriber = Callable[[LeavingNotice], None]


class LeavingUpstream(msgspec.Struct, frozen=True):
    """One leaving upstream, and who says so."""

    upstream: UpstreamId
    sources: tuple[LeavingSource, ...]


class LeavingState(msgspec.Struct, frozen=True):
    """The leaving upstreams as a state dump shows them."""

    list_version: int
    polling: bool
    upstreams: tuple[LeavingUpstream, ...]


class LeavingTask:
    """Keeps the leaving set; polls the VM list if chosen.

    Parameters
    ----------
    vm_list
        None where the platform has none.
    configuration
        Gives the rules and the VM of each upstream.
    group
        Carries notices between entries.
    """

    def __init__(
        self,
        vm_list: VmList | None,
        configuration: ConfigurationTask,
        group: EntryGroupTask,
        clock: Clock,
    ) -> None:
        self.known = LeavingSet()
        self._vm_list = vm_list
        self._group = group
        self._clock = clock
        self._listed: ListedVms | None = None
        self._places: dict[UpstreamId, VmId] = {}
        self._subscribers: list[LeavingSubscriber] = []
        self._tasks: tuple[asyncio.Task[None], ...] = ()
        configuration.subscribe(self._take_configuration)
        group.inbound.handle(LeavingNotice, self._take_notice)

    def leaving(self) -> frozenset[UpstreamId]:
        """Return every upstream that must get no new work."""
        return self.known.leaving()

    def notice(self) -> LeavingNotice | None:
        """Return what is known of the VM list; None before it was seen."""
        view = self.known.view
        if not view.version:
            return None
        return LeavingNotice(view.version, tuple(sorted(view.upstreams)))

    def subscribe(self, subscriber: LeavingSubscriber) -> None:
        """Have `subscriber` told of each change of the list's part."""
        self._subscribers.append(subscriber)

    async def start(self) -> None:
        """Begin to poll, if chosen, and to repeat notices."""
        self._tasks = (
            asyncio.create_task(self._poll(), name='leaving-poll'),
            asyncio.create_task(self._repeat(), name='leaving-repeat'),
        )

    async def stop(self) -> None:
        """End the tasks; the set stays readable."""
        await cancel_all(self._tasks)

    def dump(self) -> LeavingState:
        """Return the leaving upstreams and who says so."""
        return LeavingState(
            self.known.view.version,
            self._polls(),
            tuple(
                LeavingUpstream(upstream, self.known.sources(upstream))
                for upstream in sorted(self.known.leaving())
            ),
        )

    def _polls(self) -> bool:
        zones = self._group.zones()
        return is_watcher(self._group.own, zones, _KEY)

    async def _poll(self) -> None:
        while self._vm_list is not None:
            if self._polls():
                snapshot = await self._vm_list.fetch()
                if isinstance(snapshot, VmSnapshot):
                    self._take_list(_listed(snapshot))
            await self._clock.sleep(_POLL)

    async def _repeat(self) -> None:
        while True:
            await self._clock.sleep(_REPEAT)
            notice = self.notice()
            if notice is not None:
                self._group.post_to_some(notice, 1)

    def _take_configuration(self, found: Configuration) -> None:
        rules = found.document.rules
        services = found.document.inventory.services
        self._places = {
            upstream.id: upstream.vm
            for service in services
            for upstream in service.upstreams
        }
        self.known.take_rules(rules.leaving)
        self.known.keep_only(self._places)
        # The list may show VMs that only the new inventory names.
        if self._listed is not None:
            self._take_list(self._listed)

    def _take_list(self, listed: ListedVms) -> None:
        self._listed = listed
        if self.known.hear_list(listed, self._places):
            self._tell()

    def _take_notice(self, peer: EntryId, notice: LeavingNotice) -> None:
        newer = self.notice()
        if newer is not None and newer.list_version > notice.list_version:
            self._group.post(peer, newer)
        elif self.known.hear_notice(notice):
            self._tell()

    def _tell(self) -> None:
        notice = self.notice()
        if notice is None:
            return
        _LOG.info('leaving: %s', ', '.join(notice.upstreams) or 'none')
        self._group.post_to_some(notice, _FANOUT)
        for subscriber in self._subscribers:
            subscriber(notice)


def _listed(snapshot: VmSnapshot) -> ListedVms:
    return ListedVms(
        snapshot.version,
        live=_in_state(snapshot, VmState.LIVE),
        leaving=_in_state(snapshot, VmState.LEAVING),
    )


def _in_state(snapshot: VmSnapshot, state: VmState) -> frozenset[VmId]:
    return frozenset(
        record.vm for record in snapshot.records if record.state is state
    )
