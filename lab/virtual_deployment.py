"""A deployment in virtual time, as judges and callers see it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final, NamedTuple

from bergamotdoor.platform.headers import REQUEST_ID
from lab.callers import SentCall
from lab.client import Call, Client
from lab.contact import Contact
from lab.manifests import Manifests
from lab.site import Site, at
from lab.wire import HOST

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bergamotdoor.settings.document import Address
    from lab.upstreams import Upstream

ENTRIES: Final = ('entry-0', 'entry-1', 'entry-2')
#: For the response times of the store and of calls; nothing else takes time.
_MARGIN_S: Final = 0.05
_CALL_PAUSE_S: Final = 0.1
_STORE_CALL_PAUSE_S: Final = 0.25


class VirtualEntry(NamedTuple):
    """An entry of a deployment in virtual time."""

    name: str
    front: Address
    running: bool = True


class VirtualDeployment:
    """A deployment in virtual time, as the judges see it."""

    def __init__(self, site: Site) -> None:
        self.store = site.store
        self.services = list(site.services.values())
        self.contact = Contact(_MARGIN_S)
        self.manifests = Manifests(site.store, site.routes, site.version)
        self._site = site
        self._replacement_count = 0

    @property
    def entries(self) -> list[VirtualEntry]:
        """The entries."""
        return [
            VirtualEntry(name, at(self._site.ports[name])) for name in ENTRIES
        ]

    def address_of(self, service: Upstream) -> Address:
        """Return the address at which a service is registered."""
        return service.address

    def replace(self, upstream: Upstream) -> None:
        """Replace an upstream by another incarnation at its address."""
        if upstream.name in self.store.table.of_kind('servers'):
            self.store.remove('servers', upstream.name)
        self._replacement_count += 1
        upstream.name = f'{upstream.name}+{self._replacement_count}'
        self.store.put('servers', upstream.name, upstream.registration())


class VirtualCallers:
    """Sends calls to all entries, and calls of the entries to the store."""

    def __init__(self, site: Site, entries: Iterable[VirtualEntry]) -> None:
        self._site = site
        self._entries = tuple(entries)
        self._client = Client(site.clock, HOST)
        self.sent: dict[str, SentCall] = {}

    async def run(self) -> None:
        """Send calls until cancelled."""
        async with asyncio.TaskGroup() as group:
            for entry in self._entries:
                group.create_task(self._call_repeatedly(entry))
                group.create_task(self._call_store(entry.name, group))

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    async def _call_repeatedly(self, entry: VirtualEntry) -> None:
        loop = asyncio.get_running_loop()
        while True:
            request = f'call-{len(self.sent)}'
            self.sent[request] = SentCall(entry.name, loop.time())
            call = Call('GET', f'/book/{request}', b'', _request_id(request))
            await self._client.send(entry.front, call)
            await asyncio.sleep(_CALL_PAUSE_S)

    async def _call_store(self, name: str, group: asyncio.TaskGroup) -> None:
        """Call the store often, as the owner of a job does."""
        access = self._site.entries[name]._access
        store = access.store
        while True:
            group.create_task(store.get('config', 'main'))
            await asyncio.sleep(_STORE_CALL_PAUSE_S)


def _request_id(request: str) -> tuple[tuple[str, str], ...]:
    return ((REQUEST_ID, request),)
