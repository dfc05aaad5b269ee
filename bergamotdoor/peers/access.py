"""Wire up the clients through which a process reaches the object store."""

from __future__ import annotations

import logging
import random
from typing import TYPE_CHECKING

from bergamotdoor.objects.client import DirectCaller, ObjectClient
from bergamotdoor.peers.client import PeerClient
from bergamotdoor.peers.directory import Directory
from bergamotdoor.peers.relay import PeerRelay, RelayingCaller
from bergamotdoor.peers.shared_news import SharedNews
from bergamotdoor.peers.sharing import SharingBounds, SourceChoice

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.http.messages import Client
    from bergamotdoor.settings.node import NodeSettings


_log = logging.getLogger('bergamotdoor.peers')


class StoreAccess:
    """Clients of the object store and of the other entries.

    Parameters
    ----------
    settings
        Settings of this process; they name the store's address, this node
        and its availability zone.
    client
        HTTP client for requests to the store and to other entries.
    clock
        Clock of this process.
    """

    def __init__(
        self, settings: NodeSettings, client: Client, clock: Clock
    ) -> None:
        # Seeded differently at each start: its values distinguish the records
        # of processes, and a restarted process must not treat a record of its
        # predecessor as its own.
        self.rng = random.Random()
        self.peers = PeerClient(client)
        self.direct = DirectCaller(client, settings.store)
        self.sharing = SharingBounds(settings.drain)
        caller = RelayingCaller(
            self.direct,
            PeerRelay(self.peers),
            clock,
            self.rng,
            self.sharing,
            settings.node,
        )
        self.store = ObjectClient(caller)
        self.directory = Directory(self.store, settings.node, clock)
        caller.directory = self.directory
        self.news = SharedNews(
            self.store,
            self.peers,
            self.directory,
            SourceChoice(settings.node, settings.zone),
            self.sharing,
            clock,
        )

    def use_settings(self, settings: NodeSettings) -> None:
        """Use the store's address from `settings` if it has changed."""
        if settings.store != self.direct.address:
            _log.info(
                'peers: store address changed to %s:%d',
                settings.store.ip,
                settings.store.port,
            )
            self.direct.address = settings.store
