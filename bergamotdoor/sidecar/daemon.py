"""The sidecar daemon: its sockets, and how it starts and stops."""

from __future__ import annotations

import datetime as dt
import logging
import uuid
from typing import TYPE_CHECKING, Final

from bergamotdoor.http.client import HttpClient
from bergamotdoor.sidecar.entries import EntryPort
from bergamotdoor.sidecar.operators import operators_port
from bergamotdoor.sidecar.service import SidecarService
from bergamotdoor.sidecar.timers import Timers
from bergamotdoor.sidecar.views import SidecarViews
from bergamotdoor.store.object_api import HttpObjectStore
from bergamotdoor.types import Incarnation

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.http.messages import Client
    from bergamotdoor.settings.document import Address
    from bergamotdoor.settings.process import SidecarSettings
    from bergamotdoor.sidecar.status import SidecarStatus
    from bergamotdoor.store.protocols import ObjectStore

_LOG: Final = logging.getLogger('bergamotdoor.sidecar')
_NO_DRAIN: Final = dt.timedelta()


class SidecarDaemon:
    """One sidecar process.

    Parameters
    ----------
    settings
        Of this process.
    clock
        Paces timers and gives decisions their time.
    client
        Reaches the upstream; closed when the daemon ends.
    store
        The platform's objects.

    Raises
    ------
    SecurityError
        If the security settings leave links open to anyone.
    """

    def __init__(
        self,
        settings: SidecarSettings,
        clock: Clock,
        client: Client,
        store: ObjectStore,
    ) -> None:
        self._client = client
        self._service = SidecarService(settings, clock, client, store)
        incarnation = Incarnation(uuid.uuid4().hex)
        self._entries = EntryPort(self._service, incarnation, clock)
        links = self._entries.links
        self._timers = Timers(self._service, clock, store, links)
        self._views = SidecarViews(self._service, incarnation, links)
        self._operators = operators_port(settings, self._views, clock)

    @classmethod
    def from_config(
        cls, settings: SidecarSettings, clock: Clock
    ) -> SidecarDaemon:
        """Build from settings, with HTTP towards upstream and platform."""
        client = HttpClient(clock)
        store = HttpObjectStore.from_config(settings.platform, client, clock)
        return cls(settings, clock, client, store)

    async def start(self) -> Address:
        """Learn the upstream's state, then listen for entries."""
        await self._timers.start()
        address = await self._entries.start()
        if self._operators is not None:
            await self._operators.start()
        _LOG.info('sidecar: listens on %s:%d', address.ip, address.port)
        return address

    async def stop(self) -> None:
        """Stop gracefully, within ``drain_ms``.

        New and queued work is refused at once, requests in progress are
        finished and their outcomes sent.
        """
        self._service.policy.stopping = True
        self._service.refresh()
        await self._entries.say_goodbye()
        await self._service.drain()
        await self._entries.stop()
        await self._end()

    async def abort(self) -> None:
        """Die as in a crash: every socket is cut and nothing is said."""
        await self._entries.abort()
        await self._end()

    def dump(self) -> SidecarStatus:
        """Return the state of this process now."""
        return self._views.dump()

    async def _end(self) -> None:
        await self._timers.stop()
        await self._service.stop()
        if self._operators is not None:
            await self._operators.stop(_NO_DRAIN)
        await self._client.close()
