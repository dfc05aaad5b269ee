"""Assignment of models to engines, and the order in which weights are loaded.

Load pattern: several trainers share the engines, and each publishes a version
every few seconds. If each engine loaded the versions of four models, every
engine would be loading all the time, for one second per version. The engines
of a service are therefore divided among the models, by the plan of the
service (``capacity_plan``) or else evenly by count, and an engine loads only
the versions of models that are assigned to it. It keeps the weights that
it has of the other models and gets none of their later items.

The engines of a model load two at a time, or more of many engines: an engine
serves no requests for a model while it loads that model's weights, and more
engines that load together load more slowly. Each agent computes the order on
its own, from the list of registrations.
"""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

from bergamotdoor.fleet.capacity_plan import address_key

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from bergamotdoor.fleet.capacity_plan import CapacityPlan
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.settings.document import Address
    from bergamotdoor.types import ModelId, ServiceId

#: Minimum number of a model's engines that load together. So few do not slow
#: each other down.
MIN_CONCURRENT_LOADS: Final = 2
#: Duration of one load.
_LOAD_TIME_MS: Final = 950
LOAD_TIME: Final = dt.timedelta(milliseconds=_LOAD_TIME_MS)
#: Delay of the first loads after a version is published. A trainer submits
#: its next step at the same time, and that step uses the previous version. The
#: step's burst is over after a second, since most items have some twenty
#: events of 40 ms.
_BURST_S: Final = 1
BURST_DURATION: Final = dt.timedelta(seconds=_BURST_S)
#: Time within which all engines of a model load a version, however many they
#: are. All of them must have it within 26 s, and a lost order is sent again.
_TOTAL_LOAD_TIME_S: Final = 20
TOTAL_LOAD_TIME: Final = dt.timedelta(seconds=_TOTAL_LOAD_TIME_S)


class ModelAssignment:
    """Assignment of models to the engines of one service.

    Parameters
    ----------
    upstreams
        All registered upstreams. Those of other services are ignored.
    own_address
        Address of this agent's own engine. It selects the service.
    plans
        Plans by service. The even assignment holds for engines that the plan
        of their service does not name, or names with a model that is no
        longer registered, and for all engines without a plan.
    """

    def __init__(
        self,
        upstreams: Iterable[Upstream],
        own_address: Address,
        plans: Mapping[ServiceId, CapacityPlan] | None = None,
    ) -> None:
        registered = tuple(upstreams)
        service = next(
            (one.service for one in registered if one.address == own_address),
            None,
        )
        members = [one for one in registered if one.service == service]
        self._models = sorted(
            {model for one in members for model in one.versions}
        )
        self._addresses = sorted(
            {(one.address.ip, one.address.port) for one in members}
        )
        self._own_address = own_address
        self._engines = self._engines_by_model(
            plans.get(service) if plans and service else None
        )

    @property
    def is_shared(self) -> bool:
        """Whether several models share the engines of the service."""
        return len(self._models) > 1

    def models(self) -> frozenset[ModelId]:
        """Return the models whose versions the own engine loads.

        Each model has at least one engine. If there are more models than
        engines, an engine loads several models. An engine that is not
        registered loads none.
        """
        if not self._is_registered:
            return frozenset()
        return frozenset(
            model
            for model, engines in self._engines.items()
            if self._own_index in engines
        )

    def by_address(self) -> dict[str, ModelId]:
        """Return the model of each engine, by the engine's ``IP:PORT``.

        Of an engine with several models it is the last one.
        """
        return {
            address_key(*self._addresses[index]): model
            for model, engines in self._engines.items()
            for index in engines
        }

    def turn_delay(self, model: ModelId) -> dt.timedelta:
        """Return how long the own engine waits for its turn to load.

        Failure: engines load weights while a step arrives. Symptom: they
        refuse its items for a second; on a site of four trainers, up to the
        whole step started a second late. Loads therefore begin after the
        step's burst, and each engine has the new version by the time the next
        step needs it.

        Parameters
        ----------
        model
            The model of which a version is to be loaded.

        Returns
        -------
        datetime.timedelta
            Zero if the own engine does not load this model's versions.
        """
        indexes = self._engines.get(model, ())
        if not self._is_registered or self._own_index not in indexes:
            return dt.timedelta()
        # 4 of 78 engines load at a time, so that all have the version in time.
        concurrent = max(
            MIN_CONCURRENT_LOADS,
            -(-len(indexes) * LOAD_TIME // TOTAL_LOAD_TIME),
        )
        turn = indexes.index(self._own_index) // concurrent
        return BURST_DURATION + turn * LOAD_TIME

    @property
    def _is_registered(self) -> bool:
        return (self._own_address.ip, self._own_address.port) in self._addresses

    @property
    def _own_index(self) -> int:
        return self._addresses.index(
            (self._own_address.ip, self._own_address.port)
        )

    def _engines_by_model(
        self, plan: CapacityPlan | None
    ) -> dict[ModelId, Sequence[int]]:
        """Return the indexes of each model's engines, in ascending order."""
        even = {model: self._engine_range(model) for model in self._models}
        # A plan names one model for each engine. With fewer engines than
        # models some models would get no new weights.
        if plan is None or len(self._addresses) < len(self._models):
            return dict(even)
        planned = [
            plan.engines.get(address_key(*address))
            for address in self._addresses
        ]
        return {
            model: [
                index
                for index, chosen in enumerate(planned)
                if chosen == model
                or (chosen not in even and index in even[model])
            ]
            for model in self._models
        }

    def _engine_range(self, model: ModelId) -> range:
        # Each model has a contiguous range of the engines, sorted by address.
        # The loss of an engine shifts a few boundaries by one, so few engines
        # have to change their model.
        count = len(self._addresses)
        number = self._models.index(model)
        first = number * count // len(self._models)
        end = (number + 1) * count // len(self._models)
        return range(first, max(end, first + 1))
