# flake8: noqa
"""An entry that is back at the store goes on with an old manifest.

The way of one entry to the store is cut for a while, and its watch of the
manifest goes through another entry. That one freezes as the way heals.
"""

from __future__ import annotations

import asyncio
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standin2'))

import world as stand  # noqa: E402

#: As in the site file: `core_cut` of one machine, `node_freeze` of one.
CUT_S = 5.5
FREEZE_S = 4.0
#: The other entry freezes so long before the way heals.
EARLIER_S = 0.2
ROUNDS = 5
CONTACT_S = stand.BOUNDS['contact_ms'] / 1000
APPLY_S = stand.BOUNDS['config_apply_ms'] / 1000
#: For the scheduling of the machine on which the script runs.
MARGIN_S = 0.05
SERVICES = ('wuno96b', 'wuno97c')
ROLLOUTS = stand.route(
    '/pufi791/',
    'rollout',
    'huvo11a',
    timeout_ms=10000,
    max_attempts=3,
    max_wait_s=40.0,
    due_ms=30000,
    can_resume=True,
)


async def play(world: stand.World, trouble: bool) -> bool:
    """Return whether the rule was broken."""
    record = world.record
    cut = world.add_entry('frontend-lekki-1', 'lekki')
    other = world.add_entry('frontend-ikoyi-1', 'ikoyi')
    address = world.network.address
    for service in SERVICES:
        world.add(
            stand.Upstream(
                address(), 8080, f'i-{service}', service, 'lekki', record
            )
        )
    for number in range(6):
        engine = stand.Engine(
            address(), f'i-e{number}', 'huvo11a', 'lekki', record
        )
        engine.event_s = 0.05
        world.add(engine)
    await world.start([ROLLOUTS, stand.route('/lohu930/', 'safe', SERVICES[0])])
    # By then the entries have listed each other.
    await asyncio.sleep(4)
    old = 0
    for number in range(ROUNDS):
        old += await _round(world, cut, other, number, trouble)
    record.add(f'{old} requests were run by the old service')
    return old > 0


async def _round(
    world: stand.World,
    cut: stand.Process,
    other: stand.Process,
    number: int,
    trouble: bool,
) -> int:
    """Cut, freeze, change the manifest; return how many requests ran wrongly."""
    record = world.record
    # An item ends each quarter of a second, so that the owner of the job
    # stores results all the time.
    job, status = await stand.submit(
        cut, '/pufi791/', [5 * count for count in range(1, 60)]
    )
    record.add(f'{cut.name}: job {job} submitted: {status}')
    if status != 202:
        raise stand.CannotRunError(f'the job was answered {status}')
    await asyncio.sleep(1 + random.uniform(0, 2))
    if trouble:
        record.add(f'{cut.name}: cut off from the store')
        world.ways[cut.name].silence()
    await asyncio.sleep(CUT_S - EARLIER_S)
    frozen_at = time.monotonic()
    if trouble:
        record.add(f'{other.name}: frozen')
        other.send(signal.SIGSTOP)
    await asyncio.sleep(EARLIER_S)
    healed_at = time.monotonic()
    if trouble:
        record.add(f'{cut.name}: reaches the store again')
        world.ways[cut.name].heal()
    await asyncio.sleep(0.3)
    service = SERVICES[(number + 1) % 2]
    world.manifest([ROLLOUTS, stand.route('/lohu930/', 'safe', service)])
    confirmed_at = time.monotonic()
    counted_from = max(healed_at + CONTACT_S, confirmed_at + APPLY_S) + MARGIN_S
    counted, old = 0, 0
    thawed = not trouble
    while time.monotonic() < frozen_at + FREEZE_S + 1:
        if not thawed and time.monotonic() >= frozen_at + FREEZE_S:
            record.add(f'{other.name}: thawed')
            other.send(signal.SIGCONT)
            thawed = True
        sent_at = time.monotonic()
        ran_by = await _ask(world, cut)
        if sent_at < counted_from or ran_by is None:
            continue
        counted += 1
        if ran_by != f'i-{service}':
            old += 1
            record.add(
                f'broken: sent {sent_at - confirmed_at:.2f} s after the confirmation, '
                f'by a machine that has reached the store for '
                f'{sent_at - healed_at:.2f} s, and run by the old service'
            )
        await asyncio.sleep(0.05)
    record.add(
        f'round {number + 1}: {counted} requests counted, {old} of them wrong'
    )
    if not counted:
        raise stand.CannotRunError('no request was answered')
    await stand.call(cut.ip, 'DELETE', f'/-/lots/{job}', {})
    await asyncio.sleep(3)
    return old


async def _ask(world: stand.World, entry: stand.Process) -> str | None:
    """Send one request; return who ran it."""
    request_id = stand.new_id()
    headers = {
        'X-Bergamotdoor-Request-Id': request_id,
        'X-Bergamotdoor-Deadline-Ms': '1500',
    }
    try:
        answer = await asyncio.wait_for(
            stand.call(entry.ip, 'POST', '/lohu930/2f', headers, b'?'), 2
        )
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        world.record.add(f'{entry.name}: {request_id}: {error!r}')
        return None
    stamp = answer.headers.get('x-bergamotdoor-server-stamp', '')
    world.record.add(f'{entry.name}: {request_id}: {answer.status} {stamp}')
    return stamp.partition('.')[0] or None


if __name__ == '__main__':
    stand.main(play, FOLDER)
