"""Steps for refusals of jobs that are in the store, or that get there."""

from __future__ import annotations

import asyncio
import datetime as dt
from typing import Any, Final

from behave import given, then

from features.job_scenes import (
    JOB,
    end_job_at,
    end_outages,
    submit_job,
)
from features.steps.gateway_accounts_steps import KEYS, put_keys
from lab.client import Call
from lab.outages import Loss, Outage, StoredWrite
from lab.site import Site, at, play
from lab.site_routes import JOB_PATH
from lab.store import StoreMode
from lab.wire import JobItem, job_body

_GROUPS: Final = [[2, 2], [200, 200]]
_ACCEPTED: Final = 202
_UNAVAILABLE: Final = 503


def _begin_outage(
    site: Site, write: StoredWrite, loss: Loss, mode: StoreMode
) -> None:
    site.store.write_faults.outages.append(Outage(write, loss, mode))


def _is_stored(site: Site) -> bool:
    return JOB in site.store.table.specs('jobs')


async def _status(site: Site, entry: str, timeout_s: float = 5) -> int | None:
    """Submit the job with a key and return the status of the response."""
    items = (JobItem(f'{JOB}.{number}', 200, 'g') for number in range(4))
    call = Call(
        'POST',
        f'{JOB_PATH}{JOB}',
        job_body(JOB_PATH, items, 1, 1),
        (
            ('X-Bergamotdoor-Request-Id', JOB),
            ('Authorization', f'Bearer {KEYS["ant"][0]}'),
        ),
        dt.timedelta(seconds=timeout_s),
    )
    reply = await site.client.send(at(site.ports[entry]), call)
    return None if reply is None else reply.status


@given('a site whose job is submitted twice at one entry, the store silent')
def submit_during_creation(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        _begin_outage(site, StoredWrite.RECORD, Loss.SILENCE, StoreMode.BUSY)
        first = asyncio.create_task(_status(site, 'entry-0'))
        await asyncio.sleep(0.2)
        context.stored = _is_stored(site)
        context.statuses = [await _status(site, 'entry-0'), await first]

    play(scene)


@given('a site whose entry stops while the store creates a job')
def stop_during_creation(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start(entries=3)
        _begin_outage(site, StoredWrite.RECORD, Loss.SILENCE, StoreMode.SILENT)
        stopping = asyncio.create_task(site.entries.pop('entry-0').stop())
        await asyncio.sleep(2)
        await _status(site, 'entry-0', timeout_s=20)
        await stopping
        end_outages(site)
        site.store.mode = StoreMode.BUSY
        context.stored = _is_stored(site)
        context.statuses = [
            await _status(site, entry) for entry in sorted(site.entries)
        ]

    play(scene)


@given('a site with accounts whose running job is submitted again')
def submit_with_old_manifest(context: Any) -> None:
    async def scene(site: Site) -> None:
        site.revocation = dt.timedelta(seconds=5)
        await site.start()
        await put_keys(site, KEYS)
        assert await _status(site, 'entry-0') == _ACCEPTED
        site.store.mode = StoreMode.BUSY
        await asyncio.sleep(6)
        assert any(engine.running for engine in site.engines.values())
        context.stored = _is_stored(site)
        context.statuses = [
            await _status(site, entry) for entry in sorted(site.entries)
        ]

    play(scene)


@then('the job is stored, and no submission of it is refused')
def is_stored_and_not_refused(context: Any) -> None:
    assert context.stored
    assert _UNAVAILABLE not in context.statuses, context.statuses


@given('a site whose removed job is submitted again during an outage')
def submit_removed_job(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await submit_job(site, _GROUPS)
        await end_job_at(site, 'entry-0')
        await site.add_agent('agent-0')
        await asyncio.sleep(260)
        assert not _is_stored(site)
        site.store.mode = StoreMode.BUSY
        context.status = await _status(site, 'entry-1')

    play(scene)


@then('it is not accepted')
def is_not_accepted(context: Any) -> None:
    assert context.status != _ACCEPTED, context.status
