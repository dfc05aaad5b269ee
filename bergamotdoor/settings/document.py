"""Base types of settings that several packages share."""

from __future__ import annotations

import msgspec


class Strict(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Base class of settings objects, which rejects unknown fields."""


class Address(Strict, frozen=True):
    """IP address and TCP port."""

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse text of the form ``IP:PORT``.

        Raises
        ------
        ValueError
            If `text` has another form.
        """
        ip, separator, port = text.rpartition(':')
        if not (separator and ip and port.isdecimal()):
            raise ValueError(f'address {text!r}, expected IP:PORT')
        return cls(ip=ip, port=int(port))
