"""Loopback networks, each reserved for one run on this machine."""

from __future__ import annotations

import socket
from typing import Final

_NETWORK_COUNT: Final = 200
_LOCK_PORT: Final = 8266


class Network:
    """A loopback network that no other run uses until it is released.

    Failure: two runs of one seed at the same time, such as by two people on
    one machine. Symptom: the second run ends because its addresses are in
    use. The first address of a network stays bound while a run lasts; the
    operating system lets only one process bind it.

    Parameters
    ----------
    wanted
        The number of the preferred network. If another run has it, the next
        free one is used.
    """

    def __init__(self, wanted: int) -> None:
        for number in range(wanted, wanted + _NETWORK_COUNT):
            self.number = 1 + number % _NETWORK_COUNT
            self._lock_socket = socket.socket()
            try:
                self._lock_socket.bind((f'127.{self.number}.0.1', _LOCK_PORT))
            except OSError:
                self._lock_socket.close()
            else:
                return
        raise RuntimeError('every loopback network is in use')

    def give_back(self) -> None:
        """Release the network for other runs."""
        self._lock_socket.close()
