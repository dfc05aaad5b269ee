"""Parts of settings that several packages share."""

from __future__ import annotations

import msgspec


class Strict(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Base of every settings object: an unknown field is an error."""


class Address(Strict, frozen=True):
    """An IP number and a TCP port."""

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Read ``IP:PORT``.

        Raises
        ------
        ValueError
            If `text` is something else.
        """
        ip, separator, port = text.rpartition(':')
        if not (separator and ip and port.isdecimal()):
            raise ValueError(f'address {text!r}, expected IP:PORT')
        return cls(ip=ip, port=int(port))
