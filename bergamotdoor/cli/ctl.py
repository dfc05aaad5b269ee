"""The command ``ctl``: shows the state of running entries."""

from __future__ import annotations

import asyncio
import datetime as dt
from typing import TYPE_CHECKING, Final

import msgspec
from absl import flags

from bergamotdoor.cli.codes import ExitCode
from bergamotdoor.cli.command import Command, Invocation, Option, UsageError
from bergamotdoor.cli.plan_status import plan_lines
from bergamotdoor.cli.queue_status import queue_lines
from bergamotdoor.cli.upstream_status import upstream_lines
from bergamotdoor.clock import LoopClock
from bergamotdoor.gateway.inspection import (
    STATE_PATH,
    GatewayState,
    JobState,
)
from bergamotdoor.http.client import HttpClient
from bergamotdoor.http.messages import (
    BodyBrokenError,
    BodyTooLargeError,
    ClientRequest,
    ClientResponse,
)
from bergamotdoor.platform.settings import INSPECTION_PORT
from bergamotdoor.settings.document import Address

if TYPE_CHECKING:
    from collections.abc import Iterator

_REQUEST_TIMEOUT: Final = dt.timedelta(seconds=2)
#: The state contains every upstream and job that an entry knows.
_MAX_STATE_BYTES: Final = 16_777_216
_STATUS: Final = 'status'
_DUMP: Final = 'dump'
_ENTRIES: Final = 'entries'


class _Dump(msgspec.Struct, frozen=True):
    gateway: GatewayState


class Seen(msgspec.Struct, frozen=True):
    """State read from an address; the body is ``None`` without a response."""

    address: Address
    body: bytes | None


def _run(invocation: Invocation) -> int:
    if len(invocation.words) != 1:
        raise UsageError('one SUBCOMMAND is expected: status or dump')
    action = invocation.words[0]
    if action not in {_STATUS, _DUMP}:
        raise UsageError(f'no subcommand {action!r}')
    addresses = tuple(_parse_addresses(str(invocation.given[_ENTRIES] or '')))
    seen = asyncio.run(_fetch_states(addresses))
    if action == _DUMP:
        print('\n'.join(_format_dump(one) for one in seen))
    else:
        print('\n'.join(status_lines(seen)))
    silent = any(one.body is None for one in seen)
    return ExitCode.REFUSED if silent else ExitCode.OK


def _parse_addresses(text: str) -> Iterator[Address]:
    if not text:
        raise UsageError(f'--{_ENTRIES}=IP[:PORT],... is required')
    for part in text.split(','):
        written = part if ':' in part else f'{part}:{INSPECTION_PORT}'
        try:
            yield Address.parse(written)
        except ValueError as error:
            raise UsageError(str(error)) from error


async def _fetch_states(addresses: tuple[Address, ...]) -> tuple[Seen, ...]:
    client = HttpClient(LoopClock())
    try:
        return tuple(
            await asyncio.gather(
                *(_fetch_state(client, one) for one in addresses)
            )
        )
    finally:
        await client.close()


async def _fetch_state(client: HttpClient, address: Address) -> Seen:
    response = await client.send(
        ClientRequest(
            address=address,
            method='GET',
            target=STATE_PATH,
            timeout=_REQUEST_TIMEOUT,
            total_timeout=_REQUEST_TIMEOUT * 2,
        )
    )
    if not isinstance(response, ClientResponse):
        return Seen(address, None)
    try:
        return Seen(address, await response.read_body(_MAX_STATE_BYTES))
    except (BodyBrokenError, BodyTooLargeError):
        # An incomplete response is shown as no answer.
        return Seen(address, None)


def status_lines(seen: tuple[Seen, ...]) -> Iterator[str]:
    """Return readable lines about the state of all entries."""
    entries = [
        msgspec.json.decode(one.body, type=_Dump).gateway
        for one in seen
        if one.body is not None
    ]
    generations = [entry.generation or 0 for entry in entries]
    lowest = min(generations, default=0)
    yield f'entries: {len(entries)} of {len(seen)} answer'
    for one in seen:
        if one.body is None:
            yield f'  {_format_address(one.address)}: no answer'
    yield f'manifest: {lowest} and newer in force everywhere'
    for lines in (
        _proof_lines,
        _duty_lines,
        upstream_lines,
        queue_lines,
        plan_lines,
        _job_lines,
        _quarantine_lines,
    ):
        yield from lines(entries)


def _proof_lines(entries: list[GatewayState]) -> Iterator[str]:
    ages = [entry.manifest_proof_s for entry in entries]
    known = [age for age in ages if age is not None]
    if known:
        oldest = max(known)
        yield f'manifest: known to be current {oldest:.1f} s ago everywhere'
    if len(known) < len(ages):
        missing = len(ages) - len(known)
        yield f'manifest: {missing} entries never knew a current one'


def _duty_lines(entries: list[GatewayState]) -> Iterator[str]:
    """List who reports usage; entries may disagree for a moment."""
    held = {
        (duty.token, duty.holder): duty
        for entry in entries
        if (duty := entry.duty) is not None
    }
    for _, duty in sorted(held.items(), reverse=True):
        yield (
            f'usage: reported by {duty.holder}, token {duty.token}, decided '
            f'below window {duty.decided_below}, {duty.open_reports} open'
        )


def _job_lines(entries: list[GatewayState]) -> Iterator[str]:
    jobs = [job for entry in entries for job in entry.jobs if not job.ended]
    yield f'jobs in progress: {len(jobs)}'
    for job in jobs:
        yield (
            f'  {job.job}: {job.listed} of {job.items} results listed'
            f'{_describe_forecast(job)}'
        )


def _describe_forecast(job: JobState) -> str:
    """Return the forecast of a job; empty if its entry has none."""
    if job.forecast_s is None:
        return ''
    return (
        f', {job.kept_groups} groups kept, {job.deferred_groups} deferred, '
        f'forecast {job.forecast_s:.1f} s'
    )


def _quarantine_lines(entries: list[GatewayState]) -> Iterator[str]:
    known = {
        one.fingerprint: one for entry in entries for one in entry.quarantine
    }
    if known:
        yield f'requests that end upstreams: {len(known)}'
    for one in known.values():
        yield (
            f'  {one.fingerprint}: {one.strikes} upstreams ended, '
            f'calls are held back for {one.rest_s:.0f} s'
        )


def _format_dump(seen: Seen) -> str:
    body = 'null' if seen.body is None else seen.body.decode()
    return f'{{"{_format_address(seen.address)}": {body}}}'


def _format_address(address: Address) -> str:
    return f'{address.ip}:{address.port}'


CTL: Final = Command(
    name='ctl',
    summary='Ask running entries what they know and do',
    usage='status|dump --entries=IP[:PORT],...',
    options=(
        Option(
            _ENTRIES,
            'IP[:PORT],...',
            'Where the entries show their state; '
            f'the port is {INSPECTION_PORT} if it is left out.',
            '',
            flags.DEFINE_string,
        ),
    ),
    run=_run,
    details='The exit code is 1 if an entry does not answer.',
)
