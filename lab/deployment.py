"""A deployment on one machine: models here, the product as processes."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
from typing import TYPE_CHECKING, Any, Final

from bergamotdoor.clock import LoopClock
from bergamotdoor.settings.document import Address
from bergamotdoor.tasks import Tasks
from lab.client import Client
from lab.processes import ProductProcess
from lab.proxy import Proxy
from lab.store import Store
from lab.upstreams import Engine, Upstream, register, written
from lab.wire import DESKS, ENGINES, HOST, MODEL, manifest, route

if TYPE_CHECKING:
    import pathlib

STEP_PATH: Final = '/steps/'
SAFE_PATH: Final = '/safe/'
UNSAFE_PATH: Final = '/unsafe/'
SCORE_PATH: Final = '/score/'
_STORE_PORT: Final = 8266
#: Each run has the loopback addresses of a network of its own.
_NETWORKS: Final = 200
_UPSTREAM_PORT: Final = 8100
_PROXY_PORT: Final = 8101
_CALL_MS: Final = 2000
_JOB_MS: Final = 20_000
ATTEMPTS: Final = 3
#: How long a process may take to listen.
_START_S: Final = 60
_LOOK_S: Final = 0.1
#: How soon upstreams tell of a change, such as loaded weights.
_REGISTER_S: Final = 0.3


def free_network(first: int) -> int:
    """Return the first network from a number on that no other run has.

    Two checkouts that play the same seed at once would want the same
    addresses; the second one ended with "address already in use".
    """
    for offset in range(_NETWORKS):
        network = 1 + (first + offset) % _NETWORKS
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with contextlib.suppress(OSError):
                probe.bind((f'127.{network}.0.1', _STORE_PORT))
                return network
    raise OSError(f'all of {_NETWORKS} loopback networks are in use')


class Size:
    """How many of each there are."""

    def __init__(
        self, entries: int = 3, engines: int = 3, services: int = 2
    ) -> None:
        self.entries = entries
        self.engines = engines
        self.services = services


class Deployment:
    """Store, engines and services as models; entries and agents for real.

    Each process has its own way to the store, and each upstream its own way
    for all, so that a proxy can break any of them.

    Parameters
    ----------
    folder
        Takes settings and logs.
    network
        The second number of the loopback addresses, 1 to 254: several
        deployments can run beside each other.
    size
        How many of each there are.
    """

    def __init__(self, folder: pathlib.Path, network: int, size: Size) -> None:
        self._folder = folder
        self._network = network
        self._hosts = 0
        clock = LoopClock()
        store = Address(ip=self._next_ip(), port=_STORE_PORT)
        self.store = Store(store, clock)
        self.engines = [
            Engine(f'engine-{number}', ENGINES, self._upstream_address(), clock)
            for number in range(size.engines)
        ]
        self.services = [
            Upstream(f'desk-{number}', DESKS, self._upstream_address(), clock)
            for number in range(size.services)
        ]
        self.store_ways: dict[str, Proxy] = {}
        self.upstream_ways = {
            upstream.name: Proxy(
                Address(ip=upstream.address.ip, port=_PROXY_PORT),
                upstream.address,
            )
            for upstream in (*self.engines, *self.services)
        }
        self.entries = [
            self._process(f'entry-{number}', 'gateway')
            for number in range(size.entries)
        ]
        self.agents = [
            self._process(
                f'agent-{number}',
                'agent',
                self.upstream_ways[engine.name].listen,
            )
            for number, engine in enumerate(self.engines)
        ]
        self.storage = self._process('storage-0', 'agent')
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
        for way in (*self.store_ways.values(), *self.upstream_ways.values()):
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
        for way in (*self.store_ways.values(), *self.upstream_ways.values()):
            await way.stop()
        for upstream in (*self.engines, *self.services):
            await upstream.stop()
        await self.store.stop()

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

    def replace(self, upstream: Upstream) -> None:
        """Have another incarnation at an upstream's address."""
        self.store.remove('servers', upstream.name)
        way = self.upstream_ways.pop(upstream.name)
        way.reset()
        self._incarnations += 1
        upstream.name = f'{upstream.name}+{self._incarnations}'
        self.upstream_ways[upstream.name] = way
        self._register(upstream)

    async def _keep_registered(self) -> None:
        """Register upstreams, each at its proxy, and what changes of them."""
        while True:
            for upstream in (*self.engines, *self.services):
                self._register(upstream)
            await asyncio.sleep(_REGISTER_S)

    def _register(self, upstream: Upstream) -> None:
        way = self.upstream_ways[upstream.name]
        register(self.store, upstream, address=written(way.listen))

    def _process(
        self, name: str, command: str, engine: Address | None = None
    ) -> ProductProcess:
        ip = self._next_ip()
        way = Proxy(Address(ip=ip, port=_STORE_PORT), self.store.address)
        self.store_ways[name] = way
        return ProductProcess(
            name, command, ip, way.listen, self._folder, engine
        )

    def _upstream_address(self) -> Address:
        return Address(ip=self._next_ip(), port=_UPSTREAM_PORT)

    def _next_ip(self) -> str:
        self._hosts += 1
        return f'127.{self._network}.0.{self._hosts}'


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
