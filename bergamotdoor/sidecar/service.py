"""What the sessions of a sidecar share."""

from __future__ import annotations

import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor import utils
from bergamotdoor.observe.metrics import Metrics
from bergamotdoor.sidecar.assembly import apply_policy, build_core
from bergamotdoor.sidecar.delivery import Deliveries
from bergamotdoor.sidecar.engine import EngineControl
from bergamotdoor.sidecar.policy import Policy
from bergamotdoor.sidecar.upstream import Upstream
from bergamotdoor.sidecar.worker import Worker
from bergamotdoor.types import UpstreamKind

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.http.messages import Client
    from bergamotdoor.settings.document import Configuration
    from bergamotdoor.settings.process import SidecarSettings
    from bergamotdoor.store.protocols import ObjectStore
    from bergamotdoor.wire.messages import LeavingNotice

_LOG: Final = logging.getLogger('bergamotdoor.sidecar')
_PROBE_TIMEOUT: Final = dt.timedelta(seconds=2)
_DRAIN_POLL_MS: Final = 20
#: How long sending the last outcomes may take after the drain.
_LAST_WORDS: Final = dt.timedelta(seconds=1)


class SidecarService:
    """The state of one sidecar, and what its sessions may do with it.

    Parameters
    ----------
    settings
        Of this process.
    clock
        Gives the decisions their time.
    client
        Reaches the upstream.
    store
        The platform's objects, for the lease of orders.
    """

    def __init__(
        self,
        settings: SidecarSettings,
        clock: Clock,
        client: Client,
        store: ObjectStore,
    ) -> None:
        self.settings = settings
        self.policy = Policy(settings)
        self._clock = clock
        self.core = build_core(
            self.policy,
            settings.kind,
            utils.from_ms(settings.link.silent_ms),
        )
        self.upstream = Upstream(client, settings.target, settings.kind)
        self.engine = EngineControl(self.upstream, store, settings.service)
        self.metrics = Metrics()
        self.worker = Worker(
            self.core, self.upstream, self.engine, clock, self.metrics
        )
        self.deliveries = Deliveries(clock)

    def now(self) -> dt.timedelta:
        """Return the time that decisions are made at."""
        return self._clock.elapsed()

    def apply(self, configuration: Configuration) -> None:
        """Put a configuration in force if it is newer."""
        if not self.policy.apply(configuration):
            return
        _LOG.info(
            'sidecar: configuration %d is in force', configuration.generation
        )
        self.engine.order_timeout = self.policy.order_timeout
        self.refresh()

    def notice(self, notice: LeavingNotice) -> None:
        """Take what the VM list says of leaving upstreams."""
        if self.policy.notice(notice):
            self.refresh()

    def refresh(self) -> None:
        """Have the decisions follow the policy and the engine's weights."""
        admission = self.core.admission
        if self.policy.leaving != admission.leaving:
            _LOG.info('sidecar: leaving is %s', self.policy.leaving)
        apply_policy(self.policy, self.core)
        if self.upstream.kind is UpstreamKind.ENGINE:
            admission.usable = self.engine.book.whole
        self.worker.pump()

    async def probe(self) -> None:
        """Ask the upstream how it is."""
        if self.upstream.kind is UpstreamKind.ENGINE:
            await self.engine.observe()
        else:
            admission = self.core.admission
            admission.usable = await self.upstream.reachable(_PROBE_TIMEOUT)
        self.refresh()

    def tick(self, paused: dt.timedelta) -> None:
        """Let time pass; `paused` is how long this process stood still."""
        self.core.ledger.aging.paused(paused)
        self.core.tick(self.now())
        self.worker.pump()

    async def drain(self) -> None:
        """Wait until nothing runs and every outcome was sent.

        What is not done within ``drain_ms`` is cut off, and its entries
        are told.
        """
        patience = utils.from_ms(self.settings.drain_ms)
        end = self.now() + patience
        while self.core.ledger.open or self.deliveries:
            if self.now() >= end:
                break
            await self._clock.sleep(utils.from_ms(_DRAIN_POLL_MS))
        await self.worker.stop()
        await self.deliveries.finish(_LAST_WORDS)

    async def stop(self) -> None:
        """Stop every task; what runs fails as cancelled."""
        await self.worker.stop()
        await self.engine.stop()
        await self.deliveries.stop()
