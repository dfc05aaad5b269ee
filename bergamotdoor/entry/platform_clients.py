"""The entry's clients of the platform, with one guard for all of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from bergamotdoor.http.client import HttpClient
from bergamotdoor.store.guard import CallGuard
from bergamotdoor.store.object_api import HttpObjectStore
from bergamotdoor.store.vm_list import HttpVmList
from bergamotdoor.store.weight_store import HttpWeightStore

if TYPE_CHECKING:
    import random

    from bergamotdoor.clock import Clock
    from bergamotdoor.settings.process import PlatformSettings


class PlatformClients(msgspec.Struct, frozen=True, kw_only=True):
    """What an entry asks of the platform.

    ``vm_list`` and ``weight_store`` are None where the settings name no
    address for them.
    """

    http: HttpClient
    store: HttpObjectStore
    vm_list: HttpVmList | None
    weight_store: HttpWeightStore | None

    @classmethod
    def from_config(
        cls, settings: PlatformSettings, clock: Clock, chance: random.Random
    ) -> PlatformClients:
        """Build from settings; `chance` spreads repeats."""
        http = HttpClient(clock)
        guard = CallGuard(chance)
        built = cls(
            http=http,
            store=HttpObjectStore.from_config(
                settings, http, clock, chance, guard
            ),
            vm_list=None,
            weight_store=None,
        )
        if settings.vm_list is not None:
            vm_list = HttpVmList.from_config(
                settings, http, clock, chance, guard
            )
            built = msgspec.structs.replace(built, vm_list=vm_list)
        if settings.weight_store is not None:
            weight_store = HttpWeightStore.from_config(
                settings, http, clock, chance, guard
            )
            built = msgspec.structs.replace(built, weight_store=weight_store)
        return built
