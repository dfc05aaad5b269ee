"""A deployment on one machine: models, and the product as processes."""

from __future__ import annotations

import asyncio
import functools
import itertools
from typing import TYPE_CHECKING, Any, Final

from bergamotdoor.clock import LoopClock
from bergamotdoor.settings.document import Address
from bergamotdoor.tasks import Tasks
from lab.client import Client
from lab.contact import STORE, Contact
from lab.manifests import Manifests
from lab.networks import Network
from lab.open_steps import OpenSteps
from lab.processes import ProductProcess
from lab.proxy import Proxy
from lab.store import Store
from lab.upstreams import Engine, Upstream, register, written
from lab.wire import DESKS, ENGINES, HOST, MODEL, route

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Collection

STEP_PATH: Final = '/steps/'
SAFE_PATH: Final = '/safe/'
UNSAFE_PATH: Final = '/unsafe/'
SCORE_PATH: Final = '/score/'
_STORE_PORT: Final = 8266
_UPSTREAM_PORT: Final = 8100
_PROXY_PORT: Final = 8101
#: The port on which entries listen for other entries.
_ENTRY_PORT: Final = 7300
_HOSTS_PER_SUBNET: Final = 250
_CALL_TIMEOUT_MS: Final = 2000
_JOB_DUE_MS: Final = 20_000
ATTEMPTS: Final = 3
#: How long a process may take until it listens.
_START_TIMEOUT_S: Final = 60
_POLL_INTERVAL_S: Final = 0.1
#: How long the machine may hold a process back.
_SCHEDULING_S: Final = 0.25
#: Interval at which upstreams register changes, such as loaded weights.
_REGISTER_INTERVAL_S: Final = 0.3


class Size:
    """The numbers of entries, engines, services and groups."""

    def __init__(
        self,
        entries: int = 3,
        engines: int = 3,
        services: int = 2,
        groups: int = 3,
    ) -> None:
        self.entries = entries
        self.engines = engines
        self.services = services
        #: Groups of items in each step; more groups make it take longer.
        self.groups = groups


class Deployment:
    """A deployment whose entries and agents run as real processes.

    The store, the engines and the services are models. Each process has its
    own proxy to the store, each upstream has one proxy for all its clients,
    and each entry has its own proxy to each other entry, so that each of
    these links can be broken separately.

    Parameters
    ----------
    folder
        The folder for settings and logs.
    network
        The number of the loopback network. The next free one is used if
        another run has it, so that several deployments can run at a time.
    size
        The numbers of processes and models.
    """

    def __init__(self, folder: pathlib.Path, network: int, size: Size) -> None:
        self._folder = folder
        self._network = Network(network)
        self._host_count = 0
        clock = LoopClock()
        store = Address(ip=self._next_ip(), port=_STORE_PORT)
        self.store = Store(store, clock)
        self.manifests = Manifests(self.store, _usual_routes())
        self.steps = OpenSteps(self.store)
        #: Proxies by the names of client and server. The client's name is
        #: empty if all clients use the proxy.
        self.ways: dict[tuple[str, str], Proxy] = {}
        self.engines = [
            Engine(
                f'engine-{number}',
                ENGINES,
                Address(ip=self._next_ip(), port=_UPSTREAM_PORT),
                clock,
            )
            for number in range(size.engines)
        ]
        self.services = [
            Upstream(
                f'desk-{number}',
                DESKS,
                Address(ip=self._next_ip(), port=_UPSTREAM_PORT),
                clock,
            )
            for number in range(size.services)
        ]
        for upstream in self.upstreams:
            listen = Address(ip=upstream.address.ip, port=_PROXY_PORT)
            self.ways['', upstream.name] = Proxy(listen, upstream.address)
        self.entries = [
            self._add_process(f'entry-{number}', 'gateway')
            for number in range(size.entries)
        ]
        self.agents = [
            self._add_process(
                f'agent-{number}',
                'agent',
                self.ways['', engine.name].listen,
            )
            for number, engine in enumerate(self.engines)
        ]
        self.storage = self._add_process('storage-0', 'agent')
        for entry, other in itertools.permutations(self.entries, 2):
            self._add_entry_proxy(entry, other)
        self._replacement_count = 0
        self._tasks = Tasks()
        self._record_impairments()
        self.version = 1

    @property
    def processes(self) -> list[ProductProcess]:
        """Return all processes of the product."""
        return [*self.entries, *self.agents, self.storage]

    async def start(self) -> None:
        """Start everything; return once all entries accept connections."""
        await self.store.start()
        self.manifests.put()
        for upstream in (*self.engines, *self.services):
            await upstream.start()
        for proxy in self.ways.values():
            await proxy.start()
        self._tasks.start(self._keep_registered())
        self._tasks.start(self.contact.watch(self.store))
        for process in self.processes:
            await process.start()
        async with asyncio.timeout(_START_TIMEOUT_S):
            await asyncio.gather(*(listens(entry) for entry in self.entries))

    async def stop(self) -> None:
        """Stop everything that `start` has started."""
        await self._tasks.stop()
        for process in self.processes:
            await process.kill()
        for proxy in self.ways.values():
            await proxy.stop()
        for upstream in (*self.engines, *self.services):
            await upstream.stop()
        await self.store.stop()
        self._network.give_back()

    @functools.cached_property
    def contact(self) -> Contact:
        """The impairments of the run."""
        return Contact(_SCHEDULING_S)

    def address_of(self, service: Upstream) -> Address:
        """Return the address at which a service is registered."""
        return self.ways['', service.name].listen

    def publish(self) -> None:
        """Write the next version of the weights, as a trainer does."""
        self.version += 1
        spec = {'model': MODEL, 'version': self.version}
        self.store.put('versions', MODEL, spec)

    @property
    def upstreams(self) -> list[Upstream]:
        """Return all engines and services."""
        return [*self.engines, *self.services]

    def ways_between(
        self, whose: Collection[str], to: Collection[str]
    ) -> list[Proxy]:
        """Return the proxies between some clients and some servers.

        Parameters
        ----------
        whose
            Names of the clients; an empty name selects the proxies that all
            clients use.
        to
            Names of the servers.

        Returns
        -------
        list of Proxy
            The proxies in the order in which they were created.
        """
        return [
            proxy
            for (client, server), proxy in self.ways.items()
            if client in whose and server in to
        ]

    def replace(self, upstream: Upstream) -> None:
        """Replace an upstream by another incarnation at its address."""
        if upstream.name in self.store.table.of_kind('servers'):
            self.store.remove('servers', upstream.name)
        proxy = self.ways.pop(('', upstream.name))
        proxy.reset()
        self._replacement_count += 1
        upstream.name = f'{upstream.name}+{self._replacement_count}'
        self.ways['', upstream.name] = proxy
        self._register_upstream(upstream)

    def _record_impairments(self) -> None:
        """Have signals and broken ways recorded in ``contact``."""
        for process in self.processes:
            process.on_signal = functools.partial(
                self.contact.begin, process.name
            )
        for (client, server), proxy in self.ways.items():
            harmed = {client or proxy.listen.ip, server} - {STORE}
            if not client:
                harmed = {proxy.listen.ip}
            proxy.on_harm = functools.partial(self.contact.begin, *harmed)

    async def _keep_registered(self) -> None:
        """Register the upstreams and their changes until cancelled.

        Each upstream is registered with the address of its proxy.
        """
        while True:
            for upstream in (*self.engines, *self.services):
                if not upstream.is_leaving:
                    self._register_upstream(upstream)
            await asyncio.sleep(_REGISTER_INTERVAL_S)

    def _register_upstream(self, upstream: Upstream) -> None:
        address = written(self.address_of(upstream))
        register(self.store, upstream, address=address)

    def _add_process(
        self, name: str, command: str, engine: Address | None = None
    ) -> ProductProcess:
        ip = self._next_ip()
        listen = Address(ip=ip, port=_STORE_PORT)
        self.ways[name, STORE] = Proxy(listen, self.store.address)
        return ProductProcess(name, command, ip, listen, self._folder, engine)

    def _add_entry_proxy(
        self, entry: ProductProcess, other: ProductProcess
    ) -> None:
        """Add a proxy over which an entry connects to another entry."""
        target = Address(ip=other.ip, port=_ENTRY_PORT)
        listen = Address(ip=self._next_ip(), port=_ENTRY_PORT)
        entry.ways[written(target)] = written(listen)
        self.ways[entry.name, other.name] = Proxy(listen, target)

    def _next_ip(self) -> str:
        self._host_count += 1
        third, fourth = divmod(self._host_count, _HOSTS_PER_SUBNET)
        # The first address of a network is bound to reserve the network.
        return '.'.join(
            map(str, (127, self._network.number, third, fourth + 1))
        )


def new_client() -> Client:
    """Return a client that shares no connections with other clients."""
    return Client(LoopClock(), HOST)


async def listens(process: ProductProcess) -> None:
    """Wait until a process accepts connections.

    Raises
    ------
    RuntimeError
        The process has ended.
    """
    while process.running:
        try:
            _, writer = await asyncio.open_connection(
                process.front.ip, process.front.port
            )
        except OSError:
            await asyncio.sleep(_POLL_INTERVAL_S)
        else:
            writer.close()
            return
    raise RuntimeError(f'{process.name} ended, see its log')


def _usual_routes() -> list[dict[str, Any]]:
    return [
        _bounded_route(SAFE_PATH, 'safe', DESKS),
        _bounded_route(UNSAFE_PATH, 'unsafe', DESKS),
        _bounded_route(SCORE_PATH, 'unsafe', DESKS),
        _bounded_route(STEP_PATH, 'rollout', ENGINES, due_ms=_JOB_DUE_MS),
    ]


def _bounded_route(
    path: str, kind: str, service: str, **bounds: int
) -> dict[str, Any]:
    return route(
        HOST,
        path,
        kind,
        service,
        timeout_ms=_CALL_TIMEOUT_MS,
        goal_ms=_CALL_TIMEOUT_MS,
        max_attempts=ATTEMPTS,
        **bounds,
    )
