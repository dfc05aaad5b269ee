"""Steps for entries that relay calls to the store and stop answering."""

from __future__ import annotations

import asyncio
import datetime as dt
import functools
import random
from typing import TYPE_CHECKING, Any, Final

from behave import given, then, when

from bergamotdoor.http.client import HttpClient
from bergamotdoor.http.messages import HttpRequest, HttpResponse
from bergamotdoor.http.server import HttpServer
from bergamotdoor.objects.client import Answer, WatchCall
from bergamotdoor.peers.client import PeerClient
from bergamotdoor.peers.directory import Directory, EntryRecord
from bergamotdoor.peers.relay import PeerRelay, RelayingCaller
from bergamotdoor.peers.sharing import SharingBounds
from bergamotdoor.stored import Outcome
from bergamotdoor.types import NodeId, Revision
from lab.site import Site, at, play
from lab.store import LIMITS
from lab.virtual import run_virtual, virtual_clock
from lab.ways import Freezer, StoreWay

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from typing import TypeAlias

    #: Tells what an entry did too late since the last call, if anything.
    _FindLate: TypeAlias = Callable[[], str]
    #: Changes an object of the store.
    _Change: TypeAlias = Callable[[Site], Awaitable[_FindLate]]

CUT_S: Final = 5.5
FROZEN_S: Final = 4
CONTACT_S: Final = 3
BOUND_S: Final = 2
#: How long after the start of the cut's phase the way is lost; the phases
#: cover a cycle of the watches.
PHASES_S: Final = tuple(0.375 * number for number in range(8))
ADDRESS: Final = at(9000)
LONGEST_WATCH: Final = dt.timedelta(milliseconds=1410)
LONGEST_READ: Final = dt.timedelta(milliseconds=400)


class LateRequests:
    """What an entry did later than the rules allow."""

    def __init__(self) -> None:
        self.found: list[str] = []
        self.asked = 0


@given('two entries, one of which loses its way to the store for 5.5 s')
def two_entries(context: Any) -> None:
    context.late = LateRequests()


@when('the other one {fault} 0.2 s before that way is back')
def use_fault(context: Any, fault: str) -> None:
    context.fault = fault


@when('the manifest changes 0.3 s after it is back')
def change_manifest(context: Any) -> None:
    async def change(site: Site) -> _FindLate:
        site.put_manifest()
        return lambda: _find_old_manifest(site)

    _play_phases(context, change)


def _find_old_manifest(site: Site) -> str:
    manifest = site.entries['entry-0']._manifests.manifest
    assert manifest is not None
    if manifest.generation == site.version:
        return ''
    return f'manifest {manifest.generation} instead of {site.version}'


@when('an upstream drains 0.3 s after it is back')
def drain_upstream(context: Any) -> None:
    async def change(site: Site) -> _FindLate:
        spec = site.services['desk-0'].registration(state='draining')
        site.store.put('servers', 'desk-0', spec)
        return _late_arrivals(site)

    _play_phases(context, change)


@when('an upstream is removed 0.3 s after it is back')
def remove_upstream(context: Any) -> None:
    async def change(site: Site) -> _FindLate:
        site.store.remove('servers', 'desk-0')
        return _late_arrivals(site)

    _play_phases(context, change)


def _late_arrivals(site: Site) -> _FindLate:
    """Return a function that tells what arrived since its last call."""
    seen = site.services['desk-0'].seen
    counted = [0]

    def find() -> str:
        found = len(seen) - counted[0]
        counted[0] = len(seen)
        return f'{found} requests' if found else ''

    return find


def _play_phases(context: Any, change: _Change) -> None:
    for phase_s in PHASES_S:
        play(functools.partial(_scene, context, change, phase_s))


async def _scene(
    context: Any,
    change: _Change,
    phase_s: float,
    site: Site,
) -> None:
    way = StoreWay(site, 'entry-0')
    await way.start()
    await site.start(engines=0)
    freezer = Freezer(site.entries['entry-1'])
    calls = asyncio.create_task(_call_store(site))
    await asyncio.sleep(phase_s)
    way.silence()
    await asyncio.sleep(CUT_S - 0.2)
    freezer.freeze()
    thaw = asyncio.create_task(_thaw(freezer, context.fault))
    await asyncio.sleep(0.2)
    way.heal()
    await asyncio.sleep(0.3)
    find_late = await change(site)
    asking = asyncio.create_task(_ask(context, site))
    await asyncio.sleep(CONTACT_S - 0.3)
    find_late()
    for _ in range(20):
        await asyncio.sleep(0.1)
        late = find_late()
        if late:
            context.late.found.append(f'phase {phase_s}: {late}')
    for task in (asking, calls, thaw):
        task.cancel()
    await way.stop()


async def _call_store(site: Site) -> None:
    """Make a call each quarter of a second, as an owner of a job does."""
    store = site.entries['entry-0']._access.store
    async with asyncio.TaskGroup() as group:
        while True:
            group.create_task(store.get('config', 'main'))
            await asyncio.sleep(0.25)


async def _thaw(freezer: Freezer, fault: str) -> None:
    if fault == 'loses power':
        return
    await asyncio.sleep(FROZEN_S)
    freezer.thaw()


async def _ask(context: Any, site: Site) -> None:
    number = 0
    while True:
        number += 1
        reply = await site.ask(
            'entry-0', 'GET', f'/book/{number}', Request_Id=f'b{number}'
        )
        context.late.asked += reply is not None and reply.status == 200
        await asyncio.sleep(0.05)


@then('the first entry acts on it within the bounds')
def check_in_time(context: Any) -> None:
    assert context.late.asked, 'no request was answered'
    assert not context.late.found, context.late.found


class SilentEntry:
    """A server at the address of an entry, which answers no message."""

    def __init__(self) -> None:
        self.messages = 0
        self._is_silent = False
        self.server = HttpServer(
            ADDRESS, self._handle, LIMITS, virtual_clock(), 'silent'
        )

    def fall_silent(self) -> None:
        """Answer no message from now on."""
        self._is_silent = True
        self.messages = 0

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        await request.read_body(100_000)
        self.messages += 1
        if self._is_silent:
            await asyncio.Event().wait()
        return HttpResponse(status=200, body=b'')


class DirectPath:
    """The direct path to the store, which fails while it is cut."""

    def __init__(self) -> None:
        self.is_cut = True

    async def call(self, *_: Any) -> Answer | Outcome:
        if self.is_cut:
            return Outcome.NOT_DONE
        return Answer(200, b'{}')

    async def watch(self, watch: WatchCall) -> Answer | Outcome:
        return await self.call()


@given('an entry that answers no message')
def silent_entry(context: Any) -> None:
    context.direct = DirectPath()


@given('a direct path to the store that works again')
def direct_path(context: Any) -> None:
    context.works_again = True


async def _through_silent_entry(
    context: Any, work: Callable[[RelayingCaller], Awaitable[Any]]
) -> Any:
    """Send something while relays are tried first; time it."""
    entry = SilentEntry()
    await entry.server.start()
    client = HttpClient(virtual_clock())
    relay = PeerRelay(PeerClient(client))
    caller = RelayingCaller(
        context.direct,
        relay,
        virtual_clock(),
        random.Random(1),
        SharingBounds(dt.timedelta(seconds=BOUND_S)),
    )
    directory = Directory.__new__(Directory)
    directory.entries = {NodeId('other'): EntryRecord(ADDRESS)}
    caller.directory = directory
    # The first message leaves a kept connection to the entry behind.
    await caller.call('GET', '/x', b'', dt.timedelta(seconds=1))
    caller._relay_paused_until = dt.timedelta()
    loop = asyncio.get_running_loop()
    caller._relay_first_until = dt.timedelta(seconds=loop.time() + 1)
    entry.fall_silent()
    context.direct.is_cut = not getattr(context, 'works_again', False)
    started_s = loop.time()
    found = await work(caller)
    context.took = dt.timedelta(seconds=loop.time() - started_s)
    context.sent = entry.messages
    await client.close()
    await entry.server.stop(dt.timedelta())
    return found


@when('a watch of 2.5 s is sent through it')
def send_watch(context: Any) -> None:
    watch = WatchCall('config', Revision(1), dt.timedelta(seconds=2.5))
    context.found = run_virtual(
        _through_silent_entry(context, lambda caller: caller.watch(watch))
    )


@then('the watch ends as cut short within 1.4 s and was sent once')
def check_watch(context: Any) -> None:
    assert context.found is Outcome.CUT_SHORT, context.found
    assert context.took <= LONGEST_WATCH, context.took
    assert context.sent == 1, context.sent


@when('a page is read through it first')
def read_page(context: Any) -> None:
    timeout = dt.timedelta(seconds=3)
    context.found = run_virtual(
        _through_silent_entry(
            context, lambda caller: caller.call('GET', '/x', b'', timeout)
        )
    )


@then('the page is there within 0.4 s')
def check_page(context: Any) -> None:
    assert isinstance(context.found, Answer), context.found
    assert context.took <= LONGEST_READ, context.took
    assert context.sent == 1, context.sent
