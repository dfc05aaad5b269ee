"""Loopback networks of which each belongs to one run on this machine."""

from __future__ import annotations

import socket
from typing import Final

_MOST: Final = 200
_PORT: Final = 8266


class Network:
    """A network that no other run has, until it is given back.

    Failure: two runs of one seed beside each other, as by two people on one
    machine. Symptom: the second one ends as addresses are taken. The first
    address of a network is bound as long as a run lasts; the system lets
    one process have it.

    Parameters
    ----------
    wanted
        Which one; the next free one is taken if another run has it.
    """

    def __init__(self, wanted: int) -> None:
        for number in range(wanted, wanted + _MOST):
            self.number = 1 + number % _MOST
            self._held = socket.socket()
            try:
                self._held.bind((f'127.{self.number}.0.1', _PORT))
            except OSError:
                self._held.close()
            else:
                return
        raise RuntimeError('every loopback network is taken')

    def give_back(self) -> None:
        """Leave the network to other runs."""
        self._held.close()
