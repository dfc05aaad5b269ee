"""Which engines take which model's new weights, and when.

Load pattern: several trainers share the engines, and each names a version
every few seconds. Loaded everywhere, the versions of four models would keep
every engine loading all the time, one second each. So the engines of a
service are dealt out, as many for each model, and only a model's own
engines take its versions; the others keep what they have and get none of
its later items. A model's engines load two at a time, in an order that each
works out alone from the list of registrations, since an engine serves
nothing of a model while it loads it, and more together load more slowly.
"""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.settings.document import Address
    from bergamotdoor.types import ModelId

#: Engines of a model that load together without slowing each other down.
AT_ONCE: Final = 2
#: How long a load takes.
_LOAD_TIME_MS: Final = 950
LOAD_TIME: Final = dt.timedelta(milliseconds=_LOAD_TIME_MS)
#: How long the first loads wait. A trainer asks its next step with the news
#: of a version, and that step takes the version before; its burst is over
#: after a second, since most items have some twenty events of 40 ms.
_BURST_S: Final = 1
BURST: Final = dt.timedelta(seconds=_BURST_S)
#: In which a model's engines take a version, however many they are. It must
#: be everywhere within 26 s, and an order that is lost is given again.
_ROLLOUT_TIME_S: Final = 20
ROLLOUT_TIME: Final = dt.timedelta(seconds=_ROLLOUT_TIME_S)


class Roster:
    """Which engine of a service takes the versions of which model.

    Parameters
    ----------
    engines
        All registered upstreams; others than engines are left out.
    own
        Where the engine listens whose service is meant.
    """

    def __init__(self, engines: Iterable[Upstream], own: Address) -> None:
        known = tuple(engines)
        service = next(
            (one.service for one in known if one.address == own), None
        )
        members = [one for one in known if one.service == service]
        self._models = sorted(
            {model for one in members for model in one.versions}
        )
        self._places = sorted(
            {(one.address.ip, one.address.port) for one in members}
        )
        self._own = own

    def models(self) -> frozenset[ModelId]:
        """Return the models whose versions the own engine takes.

        Each model has at least one engine; where there are more models
        than engines, an engine takes several.
        """
        if not self._known:
            return frozenset()
        return frozenset(
            model
            for model in self._models
            if self._own_place in self._engines_of(model)
        )

    def turn_delay(self, model: ModelId) -> dt.timedelta:
        """Return how long the own engine waits for its turn to load.

        Failure: engines load in the moment in which a step arrives.
        Symptom: they refuse its items for a second; on a site of four
        trainers up to the whole step began that late. Loads wait for the
        burst to be over; each engine has the version before the next step
        needs it.
        """
        takers = self._engines_of(model)
        if not self._known or self._own_place not in takers:
            return dt.timedelta()
        # So many that the whole model has new weights in time: 4 of 78.
        at_once = max(AT_ONCE, -(-len(takers) * LOAD_TIME // ROLLOUT_TIME))
        turn = takers.index(self._own_place) // at_once
        return BURST + turn * LOAD_TIME

    @property
    def _known(self) -> bool:
        return (self._own.ip, self._own.port) in self._places

    @property
    def _own_place(self) -> int:
        return self._places.index((self._own.ip, self._own.port))

    def _engines_of(self, model: ModelId) -> range:
        # Neighbours by address: the loss of an engine moves a few borders
        # by one, and few engines have to change their model.
        count = len(self._places)
        number = self._models.index(model)
        first = number * count // len(self._models)
        behind = (number + 1) * count // len(self._models)
        return range(first, max(behind, first + 1))
