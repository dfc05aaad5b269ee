"""A deployment on one machine: models here, the product as processes."""

from __future__ import annotations

import asyncio
import itertools
import signal
from typing import TYPE_CHECKING, Any, Final

from bergamotdoor.clock import LoopClock
from bergamotdoor.settings.document import Address
from bergamotdoor.tasks import Tasks
from lab.client import Client
from lab.networks import Network
from lab.open_steps import OpenSteps
from lab.processes import ProductProcess
from lab.proxy import Proxy
from lab.store import Store
from lab.upstreams import Engine, Upstream, register, written
from lab.wire import DESKS, ENGINES, HOST, MODEL, manifest, route

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Collection

STEP_PATH: Final = '/steps/'
SAFE_PATH: Final = '/safe/'
UNSAFE_PATH: Final = '/unsafe/'
SCORE_PATH: Final = '/score/'
STORE: Final = 'store'
_STORE_PORT: Final = 8266
_UPSTREAM_PORT: Final = 8100
_PROXY_PORT: Final = 8101
#: Where entries listen for each other.
_ENTRY_PORT: Final = 7300
_HOSTS_EACH: Final = 250
_CALL_MS: Final = 2000
_JOB_MS: Final = 20_000
ATTEMPTS: Final = 3
#: How long a process may take to listen.
_START_S: Final = 60
_LOOK_S: Final = 0.1
#: How soon upstreams tell of a change, such as loaded weights.
_REGISTER_S: Final = 0.3


class Size:
    """How many of each there are."""

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
        #: Groups of a step; more make it longer.
        self.groups = groups


class Deployment:
    """Store, engines and services as models; entries and agents for real.

    Each process has its own way to the store, each upstream its own way for
    all, and each entry its own way to each other one, so that a proxy can
    break any of them.

    Parameters
    ----------
    folder
        Takes settings and logs.
    network
        The loopback network, the next free one if another run has it:
        several deployments can run beside each other.
    size
        How many of each there are.
    """

    def __init__(self, folder: pathlib.Path, network: int, size: Size) -> None:
        self._folder = folder
        self._network = Network(network)
        self._hosts = 0
        clock = LoopClock()
        store = Address(ip=self._next_ip(), port=_STORE_PORT)
        self.store = Store(store, clock)
        self.steps = OpenSteps(self.store)
        #: By whose way it is, nobody's if it is everyone's, and to whom.
        self.ways: dict[tuple[str, str], Proxy] = {}
        self.engines = [
            Engine(f'engine-{number}', ENGINES, self._upstream_address(), clock)
            for number in range(size.engines)
        ]
        self.services = [
            Upstream(f'desk-{number}', DESKS, self._upstream_address(), clock)
            for number in range(size.services)
        ]
        for one in self.upstreams:
            listen = Address(ip=one.address.ip, port=_PROXY_PORT)
            self.ways['', one.name] = Proxy(listen, one.address)
        self.entries = [
            self._process(f'entry-{number}', 'gateway')
            for number in range(size.entries)
        ]
        self.agents = [
            self._process(
                f'agent-{number}',
                'agent',
                self.ways['', engine.name].listen,
            )
            for number, engine in enumerate(self.engines)
        ]
        self.storage = self._process('storage-0', 'agent')
        for entry, other in itertools.permutations(self.entries, 2):
            self._lead(entry, other)
        self._incarnations = 0
        self._tasks = Tasks()
        self.generation = 1
        self.version = 1

    @property
    def processes(self) -> list[ProductProcess]:
        """Return all processes of the product."""
        return [*self.entries, *self.agents, self.storage]

    async def start(self) -> None:
        """Start everything; return once entries take calls."""
        await self.store.start()
        self.put_manifest()
        for upstream in (*self.engines, *self.services):
            await upstream.start()
        for way in self.ways.values():
            await way.start()
        self._tasks.start(self._keep_registered())
        for process in self.processes:
            await process.start()
        async with asyncio.timeout(_START_S):
            await asyncio.gather(*(listens(one) for one in self.entries))

    async def stop(self) -> None:
        """End everything that was started here."""
        await self._tasks.stop()
        for process in self.processes:
            process.send(signal.SIGCONT)
            await process.kill()
        for way in self.ways.values():
            await way.stop()
        for upstream in (*self.engines, *self.services):
            await upstream.stop()
        await self.store.stop()
        self._network.give_back()

    def put_manifest(self) -> None:
        """Put the next manifest in force."""
        self.generation += 1
        routes = [
            _route(SAFE_PATH, 'safe', DESKS),
            _route(UNSAFE_PATH, 'unsafe', DESKS),
            _route(SCORE_PATH, 'unsafe', DESKS),
            _route(STEP_PATH, 'rollout', ENGINES, due_ms=_JOB_MS),
        ]
        self.store.put('config', 'main', manifest(self.generation, routes))

    def publish(self) -> None:
        """Name the next version of the weights, as a trainer does."""
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
        """Return the ways of some to some, in the order of their making."""
        return [
            way
            for (one, other), way in self.ways.items()
            if one in whose and other in to
        ]

    def replace(self, upstream: Upstream) -> None:
        """Have another incarnation at an upstream's address."""
        self.store.remove('servers', upstream.name)
        way = self.ways.pop(('', upstream.name))
        way.reset()
        self._incarnations += 1
        upstream.name = f'{upstream.name}+{self._incarnations}'
        self.ways['', upstream.name] = way
        self._register(upstream)

    async def _keep_registered(self) -> None:
        """Register upstreams, each at its proxy, and what changes of them."""
        while True:
            for upstream in (*self.engines, *self.services):
                self._register(upstream)
            await asyncio.sleep(_REGISTER_S)

    def _register(self, upstream: Upstream) -> None:
        way = self.ways['', upstream.name]
        register(self.store, upstream, address=written(way.listen))

    def _process(
        self, name: str, command: str, engine: Address | None = None
    ) -> ProductProcess:
        ip = self._next_ip()
        listen = Address(ip=ip, port=_STORE_PORT)
        self.ways[name, STORE] = Proxy(listen, self.store.address)
        return ProductProcess(name, command, ip, listen, self._folder, engine)

    def _lead(self, entry: ProductProcess, other: ProductProcess) -> None:
        """Lead an entry to another one, which listens where it says."""
        target = Address(ip=other.ip, port=_ENTRY_PORT)
        listen = Address(ip=self._next_ip(), port=_ENTRY_PORT)
        entry.ways[written(target)] = written(listen)
        self.ways[entry.name, other.name] = Proxy(listen, target)

    def _upstream_address(self) -> Address:
        return Address(ip=self._next_ip(), port=_UPSTREAM_PORT)

    def _next_ip(self) -> str:
        self._hosts += 1
        third, fourth = divmod(self._hosts, _HOSTS_EACH)
        # The first address marks the network as taken.
        return '.'.join(
            map(str, (127, self._network.number, third, fourth + 1))
        )


def new_client() -> Client:
    """Return a client with connections of its own."""
    return Client(LoopClock(), HOST)


async def listens(process: ProductProcess) -> None:
    """Return once a process takes connections."""
    while process.running:
        try:
            _, writer = await asyncio.open_connection(
                process.front.ip, process.front.port
            )
        except OSError:
            await asyncio.sleep(_LOOK_S)
        else:
            writer.close()
            return
    raise RuntimeError(f'{process.name} ended, see its log')


def _route(path: str, kind: str, service: str, **more: int) -> dict[str, Any]:
    return route(
        HOST,
        path,
        kind,
        service,
        timeout_ms=_CALL_MS,
        goal_ms=_CALL_MS,
        max_attempts=ATTEMPTS,
        **more,
    )
