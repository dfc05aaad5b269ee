"""What the judges of processes in touch need to know of a deployment."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bergamotdoor.settings.document import Address
    from lab.contact import Contact
    from lab.manifests import Manifests
    from lab.store import Store
    from lab.upstreams import Upstream


class JudgedEntry(Protocol):
    """An entry process, seen by callers."""

    @property
    def name(self) -> str:
        """The name of its VM."""

    @property
    def front(self) -> Address:
        """The address for callers."""

    @property
    def running(self) -> bool:
        """Whether it has been started and has not ended."""


class Judged(Protocol):
    """A deployment of real processes, or one in virtual time."""

    store: Store
    manifests: Manifests
    services: list[Upstream]

    @property
    def contact(self) -> Contact:
        """The impairments of the run."""

    @property
    def entries(self) -> Sequence[JudgedEntry]:
        """The entries."""

    def address_of(self, service: Upstream) -> Address:
        """Return the address at which a service is registered."""

    def replace(self, upstream: Upstream) -> None:
        """Replace an upstream by another incarnation at its address."""
