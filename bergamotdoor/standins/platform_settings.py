"""The settings of the platform's stand-ins."""

from __future__ import annotations

from bergamotdoor.settings.document import Address, Strict
from bergamotdoor.standins._platform_table import Outage
from bergamotdoor.store.protocols import VmState
from bergamotdoor.types import ServiceId, VmId, WeightVersion


class ObjectApiSettings(Strict, frozen=True):
    """The object API; a rate of 0 sets no bound."""

    listen: Address
    #: The bearer token asked for; empty asks for none.
    token: str = ''
    reads_per_second: int = 2_000
    writes_per_second: int = 500
    delay_ms: int = 2
    outage: Outage = Outage.NONE
    #: So many of the first writes take effect without an answer.
    lose_answers: int = 0
    #: So many of the first writes get lost.
    drop_writes: int = 0


class VmSettings(Strict, frozen=True):
    """One VM of the list."""

    vm: VmId
    state: VmState = VmState.LIVE


class VmListSettings(Strict, frozen=True):
    """The VM list."""

    listen: Address
    token: str = ''
    #: How long the list takes to show a change.
    lag_ms: int = 2_000
    vms: tuple[VmSettings, ...] = ()


class WeightSettings(Strict, frozen=True):
    """A version that is published from the start."""

    service: ServiceId
    version: WeightVersion
    size_bytes: int = 1_000_000


class WeightStoreSettings(Strict, frozen=True):
    """The weight store."""

    listen: Address
    token: str = ''
    #: The rate of each load.
    bytes_per_second: int = 10_000_000
    #: More loads at once are refused.
    max_loads: int = 4
    weights: tuple[WeightSettings, ...] = ()
