"""A whole deployment in virtual time: store, engines, entries, agents."""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
import warnings
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final

from bergamotdoor.agent.daemon import AgentDaemon
from bergamotdoor.gateway.daemon import GatewayDaemon
from bergamotdoor.settings.document import Address
from bergamotdoor.settings.node import NodeSettings
from bergamotdoor.types import NodeId, ZoneId
from lab.client import Call, Client, Reply
from lab.receiver import Receiver, duties_for
from lab.site_routes import JOB_PATH, usual_routes
from lab.store import Store
from lab.upstreams import Engine, Upstream
from lab.virtual import run_virtual, virtual_clock
from lab.wire import DESKS, ENGINES, HOST, JobItem, job_body, manifest

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

logging.getLogger('bergamotdoor').addHandler(logging.NullHandler())
warnings.filterwarnings('ignore', message='Ignoring socket option')

IP: Final = '127.0.0.1'
_STORE_PORT: Final = 8000
_RECEIVER_PORT: Final = 8050
_ENGINE_PORT: Final = 8100
_SERVICE_PORT: Final = 8200
#: The first port of the first entry; each entry has ten ports.
_ENTRY_PORT: Final = 9000
_PORTS_PER_ENTRY: Final = 10
_AGENT_PORT: Final = 9500
_MAX_OBJECT_BYTES: Final = 1_000_000
_RETENTION_S: Final = 120
_OK: Final = 200
#: The pause between two reads of a job's results.
_READ_INTERVAL_S: Final = 0.2


def at(port: int) -> Address:
    """Return the loopback address with a port."""
    return Address(ip=IP, port=port)


class Site:
    """A deployment in virtual time, with clients that send requests to it."""

    #: The bandwidth of each entry's link in Mbit/s, 0 if the settings give
    #: none.
    link_mbps: float = 0
    #: The time after which a revoked key must be rejected everywhere,
    #: ``None`` if there is no such limit.
    revocation: dt.timedelta | None = None
    #: The receiver of usage reports, ``None`` if usage is not reported.
    receiver: Receiver | None = None
    #: Addresses at which single processes reach the store, by their names.
    store_addresses: Mapping[str, Address] = MappingProxyType({})
    #: The time after which a leaving upstream must receive no new work.
    drain: dt.timedelta = dt.timedelta(seconds=2)

    def __init__(self) -> None:
        self.clock = virtual_clock()
        self.store = Store(at(_STORE_PORT), self.clock)
        self.client = Client(self.clock, HOST)
        self.engines: dict[str, Engine] = {}
        self.services: dict[str, Upstream] = {}
        self.entries: dict[str, GatewayDaemon] = {}
        self.agents: dict[str, AgentDaemon] = {}
        self.ports: dict[str, int] = {}
        #: Zones of the processes that are not in the zone ``here``.
        self._zones: dict[str, str] = {}
        self.version = 3
        self.routes = usual_routes()

    def put_manifest(self, **changes: Any) -> None:
        """Write the next manifest to the store."""
        self.version += 2
        written = manifest(self.version, self.routes)
        self.store.put('config', 'main', {**written, **changes})

    async def start(
        self, engines: int = 2, services: int = 2, entries: int = 2
    ) -> None:
        """Start everything; return once entries know each other."""
        await self.store.start()
        self.put_manifest()
        for number in range(engines):
            await self.add_engine(f'engine-{number}')
        for number in range(services):
            await self.add_service(f'desk-{number}')
        for number in range(entries):
            await self.add_entry(f'entry-{number}')
        # Entries know each other one second after their start.
        await asyncio.sleep(4)

    def place(self, name: str, zone: str) -> None:
        """Set the zone in which a process will be started."""
        self._zones[name] = zone

    async def add_engine(self, name: str) -> Engine:
        """Start and register an engine."""
        engine = Engine(
            name, ENGINES, at(_ENGINE_PORT + len(self.engines)), self.clock
        )
        await engine.start()
        self.engines[name] = engine
        self.store.put('servers', name, engine.registration())
        return engine

    async def add_service(self, name: str) -> Upstream:
        """Start and register a plain service."""
        address = at(_SERVICE_PORT + len(self.services))
        service = Upstream(name, DESKS, address, self.clock)
        await service.start()
        self.services[name] = service
        self.store.put('servers', name, service.registration())
        return service

    async def add_entry(self, name: str) -> GatewayDaemon:
        """Start an entry; if it ran before, on the same ports."""
        port = self.ports.setdefault(
            name, _ENTRY_PORT + _PORTS_PER_ENTRY * len(self.ports)
        )
        entry = GatewayDaemon(self.settings(name, port), self.clock)
        await entry.start()
        self.entries[name] = entry
        return entry

    async def add_agent(
        self, name: str, engine: Engine | None = None
    ) -> AgentDaemon:
        """Start the agent of an engine, or of a VM with a disk."""
        address = None if engine is None else engine.address
        settings = self.settings(name, _AGENT_PORT, address)
        agent = AgentDaemon(settings, self.clock)
        await agent.start()
        self.agents[name] = agent
        return agent

    def settings(
        self, name: str, port: int, engine: Address | None = None
    ) -> NodeSettings:
        """Return the settings that the platform would give to a process."""
        return NodeSettings(
            node=NodeId(name),
            zone=ZoneId(self._zones.get(name, 'here')),
            ip=IP,
            store=self.store_addresses.get(name, self.store.address),
            object_bytes=_MAX_OBJECT_BYTES,
            callers=at(port),
            readiness=at(port + 1),
            first_port=port + 2,
            inspection=at(port + 3),
            engine=engine,
            contact=dt.timedelta(seconds=3),
            drain=self.drain,
            grace=dt.timedelta(seconds=8),
            retention=dt.timedelta(seconds=_RETENTION_S),
            link_mbps=self.link_mbps,
            announces_loads=True,
            revocation=self.revocation,
            duties=duties_for(self.receiver),
        )

    async def kill(self, name: str) -> None:
        """End an entry; other processes see what a SIGKILL would show."""
        entry = self.entries.pop(name)
        await entry.kill()

    async def stop(self) -> None:
        """Stop everything."""
        for entry in self.entries.values():
            await entry.kill()
        for agent in self.agents.values():
            await agent.stop()
        await self.client.close()
        await self.store.stop()
        if self.receiver is not None:
            await self.receiver.stop()
        for upstream in (*self.engines.values(), *self.services.values()):
            await upstream.stop()

    # Requests of clients.

    async def ask(
        self,
        entry: str,
        method: str,
        target: str,
        body: bytes = b'',
        timeout_s: float = 5,
        **headers: str,
    ) -> Reply | None:
        """Send one request; return ``None`` if no complete response arrived.

        Parameters
        ----------
        entry
            The name of the entry that gets the request.
        method, target, body
            The request.
        timeout_s
            The timeout of the request in seconds.
        **headers
            Header fields of the platform, by their names without the prefix
            and with underscores for hyphens.
        """
        fields = tuple(
            (f'X-Bergamotdoor-{name.replace("_", "-")}', text)
            for name, text in headers.items()
        )
        timeout = dt.timedelta(seconds=timeout_s)
        call = Call(method, target, body, fields, timeout)
        return await self.client.send(at(self.ports[entry]), call)

    async def submit(
        self,
        entry: str,
        job: str,
        lengths: list[list[int]],
        least: int = 1,
        score_path: str = '',
    ) -> Reply | None:
        """Submit a job.

        Parameters
        ----------
        entry
            The name of the entry that gets the job.
        job
            The job's id.
        lengths
            The items' lengths in events, in one list for each group.
        least
            The least version of the weights that may generate the texts.
        score_path
            The path at which texts are scored, empty if they are not.
        """
        items = (
            JobItem(f'{job}.{group}.{number}', length, f'g{group}', score_path)
            for group, members in enumerate(lengths)
            for number, length in enumerate(members)
        )
        body = job_body(JOB_PATH, items, least, len(lengths))
        return await self.ask(
            entry,
            'POST',
            f'{JOB_PATH}{job}',
            body,
            Request_Id=job,
        )

    async def results(self, entry: str, job: str, after: int = 0) -> Any:
        """Read one page of results.

        Returns
        -------
        Any
            The decoded page, the status if it is not 200, or ``None`` if no
            complete response arrived.
        """
        reply = await self.ask(
            entry,
            'GET',
            f'/-/lots/{job}?after={after}',
            Wait_Ms='1000',
        )
        if reply is None:
            return None
        return reply.json if reply.status == _OK else reply.status

    async def all_results(
        self, entry: str, job: str, within_s: float = 12
    ) -> list[dict[str, Any]]:
        """Read results until every item is listed or the time is over."""
        found: list[dict[str, Any]] = []
        until = asyncio.get_running_loop().time() + within_s
        while asyncio.get_running_loop().time() < until:
            page = await self.results(entry, job, len(found))
            if isinstance(page, dict):
                found.extend(page['results'])
                if len(found) >= page['total']:
                    break
            await asyncio.sleep(_READ_INTERVAL_S)
        return found


async def add_receiver(site: Site) -> Receiver:
    """Add a receiver of usage reports; call it before entries start."""
    receiver = Receiver(at(_RECEIVER_PORT), site.clock)
    await receiver.start()
    site.receiver = receiver
    return receiver


def play(scene: Callable[[Site], Awaitable[Any]]) -> Any:
    """Run a scene on a new deployment in virtual time.

    Parameters
    ----------
    scene
        A coroutine function that gets the deployment.

    Returns
    -------
    Any
        The result of the scene.

    Raises
    ------
    AssertionError
        Something has failed in the background.
    """
    failures: list[Any] = []
    outcome = run_virtual(_run_scene(scene, failures))
    assert not failures, failures
    return outcome


async def _run_scene(
    scene: Callable[[Site], Awaitable[Any]], failures: list[Any]
) -> Any:
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, what: failures.append(what))
    site = Site()
    try:
        return await scene(site)
    finally:
        await site.stop()
