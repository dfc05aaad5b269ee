# flake8: noqa
"""An entry goes on sending work to an engine that is leaving.

The list of engines has two pages. While an entry that has just started reads
them, an engine of the first page reports that it is draining.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import time
from typing import Any

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standin2'))

import world as stand  # noqa: E402

#: Objects in a page of a list; the pages allow 500 at most.
PAGE = 50
SERVERS = 60
LEAVING = 'i-000'
#: How long the engine serves after its report; "at times many seconds".
SERVES_ON_S = 10.0
CONTACT_S = stand.BOUNDS['contact_ms'] / 1000
DRAIN_S = stand.BOUNDS['drain_ms'] / 1000
#: For the scheduling of the machine on which the script runs.
MARGIN_S = 0.1


class PagedStore(stand.Store):
    """A store that carries out a write between two pages of a list."""

    page = PAGE
    #: Set to have the engine report at the next list.
    armed = False
    drained_at = 0.0

    def _read(
        self, parts: list[str], options: dict[str, str]
    ) -> tuple[int, Any]:
        found = super()._read(parts, options)
        is_first = parts == ['servers'] and 'after' not in options
        if self.armed and is_first:
            self.armed = False
            self.drain()
        return found

    def drain(self) -> None:
        """Write what the engine reports."""
        spec = {**self.objects['servers'][LEAVING]['spec'], 'state': 'draining'}
        self.put('servers', LEAVING, spec)
        self.drained_at = time.monotonic()


async def play(world: stand.World, trouble: bool) -> bool:
    """Return whether the rule was broken."""
    record = world.record
    store = PagedStore(world.store.ip)
    world.store = store
    entry = world.add_entry('frontend-lekki-1', 'lekki')
    for number in range(SERVERS):
        # All but a few belong to a service that gets no requests here.
        service = 'wuno96b' if number < 4 else 'huvo11a'
        world.add(
            stand.Upstream(
                world.network.address(),
                8080,
                f'i-{number:03}',
                service,
                'lekki',
                record,
            )
        )
    await world.start([stand.route('/lohu930/', 'safe', 'wuno96b')])
    await asyncio.sleep(2)
    record.add(f'{entry.name}: SIGTERM')
    entry.send(signal.SIGTERM)
    assert entry.process is not None
    await entry.process.wait()
    store.armed = trouble
    await entry.start()
    started_at = time.monotonic()
    record.add(f'{entry.name}: started again')
    if not trouble:
        await asyncio.sleep(2)
        store.drain()
    until = time.monotonic() + 10
    while not (store.drained_at and await stand.is_ready(entry)):
        if time.monotonic() > until:
            raise stand.CannotRunError(f'{entry.name} is not ready')
        await asyncio.sleep(0.05)
    record.add(
        f'{LEAVING}: draining, confirmed '
        f'{store.drained_at - started_at:.3f} s after the start'
    )
    return await _ask(world, entry, started_at, store.drained_at)


async def _ask(
    world: stand.World,
    entry: stand.Process,
    started_at: float,
    drained_at: float,
) -> bool:
    counted_from = max(started_at + CONTACT_S, drained_at + DRAIN_S) + MARGIN_S
    answers = 0
    while time.monotonic() < drained_at + SERVES_ON_S:
        headers = {
            'X-Bergamotdoor-Request-Id': stand.new_id(),
            'X-Bergamotdoor-Deadline-Ms': '1500',
        }
        answer = await stand.call(
            entry.ip, 'POST', '/lohu930/2f', headers, b'?'
        )
        answers += answer.status == 200
        await asyncio.sleep(0.05)
    leaving = next(one for one in world.upstreams if one.name == LEAVING)
    late = [at - drained_at for _, at, _ in leaving.runs if at > counted_from]
    world.record.add(
        f'{answers} requests answered; {len(late)} reached {LEAVING} later than '
        f'{DRAIN_S} s after the confirmation'
        + (f', the last one {late[-1]:.1f} s after it' if late else '')
    )
    if not answers:
        raise stand.CannotRunError('no request was answered')
    return bool(late)


if __name__ == '__main__':
    stand.main(play, FOLDER)
