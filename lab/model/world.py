"""Entry processes of one history, and the models that surround them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from bergamotdoor.fleet.upstreams import Upstream
from bergamotdoor.settings.document import Address
from bergamotdoor.types import (
    ModelId,
    RegistrationId,
    ServiceId,
    UpstreamId,
    WeightVersion,
    ZoneId,
)
from lab.model.entry import ModelEntry
from lab.model.faults import STORE, Faults
from lab.model.network import Network
from lab.model.pausing import Process, unwind
from lab.model.settings import IP, entry_settings, fixed_manifest
from lab.model.trainer import JOB_PATH, SCORE_PATH, ModelTrainer
from lab.model.upstreams import ModelEngine, ModelScorer
from lab.model.witness import JOB, MOST_FAILURES, Witness
from lab.store import Store
from lab.virtual import virtual_clock
from lab.wire import DESKS, ENGINES, HOST, MODEL, route

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bergamotdoor.http.messages import HttpRequest, HttpResponse
    from lab.model.plans import Plan

_STORE_PORT: Final = 9000
_ENGINE_PORT: Final = 9100
_SCORER_PORT: Final = 9200
_ENGINE_COUNT: Final = 2
_SLOTS_PER_UPSTREAM: Final = 4
_SCORER_NAME: Final = 'scorer'
#: How old the answers of the store are to calls that allow for old ones.
_STALE_S: Final = 3
_JOB_DUE_MS: Final = 7500
_SCORE_TIMEOUT_MS: Final = 1500
_ROUTES: Final = (
    route(
        HOST, JOB_PATH, 'rollout', ENGINES, max_attempts=3, due_ms=_JOB_DUE_MS
    ),
    route(
        HOST,
        SCORE_PATH,
        'unsafe',
        DESKS,
        max_attempts=MOST_FAILURES,
        timeout_ms=_SCORE_TIMEOUT_MS,
    ),
)


class World:
    """Entries, store, engines, scorer and trainer of one history.

    Parameters
    ----------
    plan
        Plan of the history.
    """

    def __init__(self, plan: Plan) -> None:
        #: Lines that report what happened, with the virtual time.
        self.story: list[str] = []
        self.plan = plan
        self._clock = virtual_clock()
        self._store = Store(_address_at(_STORE_PORT), self._clock)
        self._store.stale_s = _STALE_S
        self.engines = {
            f'engine-{number}': ModelEngine(self._check_item_start)
            for number in range(_ENGINE_COUNT)
        }
        self.scorer = ModelScorer()
        self.faults = Faults(frozenset((*self.engines, _SCORER_NAME)))
        self._network = Network(
            self.faults, keeps_connections=plan.kept_connections
        )
        self.trainer = ModelTrainer(plan.lengths, plan.scored)
        self.witness = Witness(
            {item.item: item.length for item in self.trainer.items},
            plan.scored,
            self._store.table,
            self.scorer.failures.__getitem__,
            checks_known_refusals=plan.checks_known_refusals,
        )
        #: Current process of each entry, by name.
        self.entries: dict[str, ModelEntry] = {}
        #: All processes that were started, the ended ones too.
        self._processes: list[Process] = []

    async def start(self) -> None:
        """Start the servers and entries, and wait for the first step."""
        self._network.serve(_address_at(_STORE_PORT), STORE, self._answer_store)
        for number, (name, engine) in enumerate(self.engines.items()):
            address = _address_at(_ENGINE_PORT + number)
            self._network.serve(address, name, engine.handle)
        self._network.serve(
            _address_at(_SCORER_PORT), _SCORER_NAME, self.scorer.handle
        )
        for number in range(self.plan.entries):
            self.start_entry(f'entry-{number}')
        await asyncio.sleep(self.plan.startup_s)

    async def stop(self) -> None:
        """Kill all entries, and cancel what is left of their tasks."""
        for name in self.entries:
            self.kill(name)
        await unwind(self._processes)

    def start_entry(self, name: str) -> None:
        """Start an entry, or a new process of one that ran before."""
        number = int(name.rpartition('-')[2])
        plan = self.plan.name
        starts = len(self._processes)
        entry = ModelEntry(
            entry_settings(number, _address_at(_STORE_PORT)),
            self._network,
            self._clock,
            fixed_manifest(list(_ROUTES)),
            f'{plan} {starts}',
        )
        self.entries[name] = entry
        self._processes.append(entry.process)
        self.faults.disturb(name)
        entry.start(list(self._registered_upstreams()))

    def kill(self, name: str) -> None:
        """End an entry at once, and its streams from the engines."""
        self.entries[name].kill()
        for engine in self.engines.values():
            engine.drop(name)

    def tell(self, what: str) -> None:
        """Add a line with the current time to the reported lines."""
        now_s = asyncio.get_running_loop().time()
        formatted_s = format(now_s, '6.2f')
        self.story.append(f'{formatted_s} s  {what}')

    def order(self) -> list[str]:
        """Return the names of the entries, that of the job's owner first."""
        jobs = self._store.table.specs('jobs')
        owner = jobs[JOB]['owner'] if JOB in jobs else ''
        return sorted(self.entries, key=lambda name: (name != owner, name))

    async def _answer_store(self, _: str, request: HttpRequest) -> HttpResponse:
        response = await self._store.handle(request)
        self.witness.attempts.see_store_call(request, response)
        return response

    def _check_item_start(self, origin: str, item: str) -> None:
        now_s = asyncio.get_running_loop().time()
        if self.entries[origin].process.paused:
            self.faults.disturb(origin)
        self.witness.see_start(item, self.faults.calm_since(origin), now_s)

    def _registered_upstreams(self) -> Iterator[Upstream]:
        for number, (name, engine) in enumerate(self.engines.items()):
            yield _build_upstream(
                name, ENGINES, _ENGINE_PORT + number, engine.version
            )
        yield _build_upstream(_SCORER_NAME, DESKS, _SCORER_PORT)


def _build_upstream(
    name: str, service: str, port: int, version: int = 0
) -> Upstream:
    versions = {ModelId(MODEL): WeightVersion(version)} if version else {}
    return Upstream(
        upstream=UpstreamId(name),
        registration=RegistrationId(name),
        service=ServiceId(service),
        address=_address_at(port),
        zone=ZoneId('here'),
        slots=_SLOTS_PER_UPSTREAM,
        versions=versions,
    )


def _address_at(port: int) -> Address:
    return Address(ip=IP, port=port)
