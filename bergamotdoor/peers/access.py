"""How a process reaches the store."""

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
    """The ways to the store, and the other entries on them.

    Parameters
    ----------
    settings
        Where the store is, and which process this is.
    client
        Sends requests.
    clock
        The time.
    """

    def __init__(
        self, settings: NodeSettings, client: Client, clock: Clock
    ) -> None:
        # Drawn anew at each start: records are told apart by it, and a
        # restarted process must not take its predecessor's for its own.
        self.rng = random.Random()
        self.peers = PeerClient(client)
        self.direct = DirectCaller(client, settings.store)
        caller = RelayingCaller(
            self.direct, PeerRelay(self.peers), clock, self.rng
        )
        self.store = ObjectClient(caller)
        self.directory = Directory(self.store, settings.node, clock)
        caller.directory = self.directory
        self.sharing = SharingBounds(settings.drain)
        self.news = SharedNews(
            self.store,
            self.peers,
            self.directory,
            SourceChoice(settings.node, settings.zone),
            self.sharing,
            clock,
        )

    def use_settings(self, settings: NodeSettings) -> None:
        """Take another address of the store, if the settings have one."""
        if settings.store != self.direct.address:
            _log.info(
                'peers: the store is at %s:%d now',
                settings.store.ip,
                settings.store.port,
            )
            self.direct.address = settings.store
