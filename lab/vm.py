"""The product's command line, with connections redirected to proxies.

``python -m lab.vm WORDS`` runs ``python -m bergamotdoor WORDS``, but
connections to the addresses that an environment variable names are made to
other addresses. The product's code does not notice the difference, so links
between its processes can be broken.
"""

from __future__ import annotations

from bergamotdoor.cli.early import take_signals

if __name__ == '__main__':
    take_signals()

# Imported after the signal handlers are set, as in the product's own program.
import json  # noqa: E402
import os  # noqa: E402
import runpy  # noqa: E402
import socket  # noqa: E402
from types import MappingProxyType  # noqa: E402
from typing import TYPE_CHECKING, Any, ClassVar, Final  # noqa: E402

if TYPE_CHECKING:
    from collections.abc import Mapping

#: The environment variable with a JSON object that maps addresses to those to
#: connect to instead.
WAYS_VARIABLE: Final = 'LAB_WAYS'


class _RedirectingSocket(socket.socket):
    """A socket that redirects connections as an address map says."""

    address_map: ClassVar[Mapping[str, str]] = MappingProxyType({})

    def connect(self, address: Any) -> None:
        """Connect to the mapped address, or to `address` if it has none."""
        ip, port = address[:2]
        target = self.address_map.get(f'{ip}:{port}')
        if target is None:
            super().connect(address)
            return
        target_ip, _, target_port = target.partition(':')
        super().connect((target_ip, int(target_port)))


def lead(ways: Mapping[str, str]) -> None:
    """Redirect the connections of this process to other addresses."""
    _RedirectingSocket.address_map = ways
    socket.socket = _RedirectingSocket  # type: ignore[misc]


if __name__ == '__main__':
    lead(json.loads(os.environ.get(WAYS_VARIABLE, '{}')))
    runpy.run_module('bergamotdoor', run_name='__main__', alter_sys=True)
