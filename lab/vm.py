"""Runs the product as on a VM whose ways to the others can be broken.

``python -m lab.vm WORDS`` is ``python -m bergamotdoor WORDS``, but for this:
a connection to an address that `WAYS_VARIABLE` names goes to another one, as
a network would lead it. The product knows nothing of that.
"""

from __future__ import annotations

from bergamotdoor.cli.early import take_signals

if __name__ == '__main__':
    take_signals()

# Behind the signals, as in the product's own program.
import json  # noqa: E402
import os  # noqa: E402
import runpy  # noqa: E402
import socket  # noqa: E402
from types import MappingProxyType  # noqa: E402
from typing import TYPE_CHECKING, Any, ClassVar, Final  # noqa: E402

if TYPE_CHECKING:
    from collections.abc import Mapping

#: Names a JSON object: from an address to the one that is taken for it.
WAYS_VARIABLE: Final = 'LAB_WAYS'


class _Socket(socket.socket):
    """A socket that connects over the ways."""

    ways: ClassVar[Mapping[str, str]] = MappingProxyType({})

    def connect(self, address: Any) -> None:
        """Connect to what is named for an address, or to itself."""
        ip, port = address[:2]
        led = self.ways.get(f'{ip}:{port}')
        if led is None:
            super().connect(address)
            return
        there, _, led_port = led.partition(':')
        super().connect((there, int(led_port)))


def lead(ways: Mapping[str, str]) -> None:
    """Lead connections of this process over other addresses."""
    _Socket.ways = ways
    socket.socket = _Socket  # type: ignore[misc]


if __name__ == '__main__':
    lead(json.loads(os.environ.get(WAYS_VARIABLE, '{}')))
    runpy.run_module('bergamotdoor', run_name='__main__', alter_sys=True)
