"""The ways between the parts of a deployment, each over a proxy."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Final

from bergamotdoor.settings.document import Address
from lab.proxy import Proxy
from lab.upstreams import Upstream, written

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from lab.processes import ProductProcess

STORE_PORT: Final = 8266
_UPSTREAM_PORT: Final = 8101
#: Where entries listen for each other.
_ENTRY_PORT: Final = 7300


class Ways:
    """Every way that can be broken.

    Parameters
    ----------
    store
        Where the store listens.
    next_ip
        Gives a proxy an address of its own.
    """

    def __init__(self, store: Address, next_ip: Callable[[], str]) -> None:
        self._store = store
        self._next_ip = next_ip
        #: Each process's way to the store.
        self.to_store: dict[str, Proxy] = {}
        #: Everyone's way to an upstream.
        self.to_upstream: dict[str, Proxy] = {}
        #: From the first of two entries to the second.
        self.between: dict[tuple[str, str], Proxy] = {}

    def add_store(self, name: str, ip: str) -> Address:
        """Return where a process reaches the store."""
        way = Proxy(Address(ip=ip, port=STORE_PORT), self._store)
        self.to_store[name] = way
        return way.listen

    def add_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        """Have a way to each of these."""
        for one in upstreams:
            listen = Address(ip=one.address.ip, port=_UPSTREAM_PORT)
            self.to_upstream[one.name] = Proxy(listen, one.address)

    def join(self, entries: Sequence[ProductProcess]) -> None:
        """Have a way from each entry to each other one.

        An entry listens at the address that it tells the others, so each of
        them is led elsewhere when it connects there.
        """
        for entry, other in itertools.permutations(entries, 2):
            target = Address(ip=other.ip, port=_ENTRY_PORT)
            listen = Address(ip=self._next_ip(), port=_ENTRY_PORT)
            entry.ways[written(target)] = written(listen)
            self.between[entry.name, other.name] = Proxy(listen, target)

    async def start(self) -> None:
        """Open all of them."""
        for way in self._all():
            await way.start()

    async def stop(self) -> None:
        """Close all of them."""
        for way in self._all():
            await way.stop()

    def _all(self) -> tuple[Proxy, ...]:
        return (
            *self.to_store.values(),
            *self.to_upstream.values(),
            *self.between.values(),
        )
