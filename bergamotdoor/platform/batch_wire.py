"""Reads batch jobs that trainers hand in; writes pages of their results."""

from __future__ import annotations

import base64
import binascii
from typing import TYPE_CHECKING

import msgspec

from bergamotdoor.jobs.messages import ItemSpec, JobSpec, ScoreCall
from bergamotdoor.platform.headers import LENGTH_HINT, TOKEN_COUNT
from bergamotdoor.types import (
    GroupId,
    ItemId,
    JobId,
    ModelId,
    WeightVersion,
)

if TYPE_CHECKING:
    from bergamotdoor.jobs.messages import ItemResult


class _ScoreCall(msgspec.Struct, frozen=True):
    id: str
    host: str
    path: str
    #: In base64.
    body: str = ''


class _Item(msgspec.Struct, frozen=True):
    id: ItemId
    path: str
    headers: dict[str, str] = {}
    #: In base64.
    body: str = ''
    group: GroupId = GroupId('')
    #: Despite its name a whole request, not an address.
    scorer_url: _ScoreCall | None = None


class _Job(msgspec.Struct, frozen=True):
    items: tuple[_Item, ...]
    model: ModelId = ModelId('')
    min_version: WeightVersion = WeightVersion(0)
    target_groups: int = 0


class _Result(msgspec.Struct, frozen=True, omit_defaults=True):
    id: ItemId
    state: str
    text: str
    versions: tuple[WeightVersion, ...]
    #: The stamp of the answer to the score call.
    score: str = ''


class _Page(msgspec.Struct, frozen=True):
    total: int
    #: Despite its name the position to go on from, not a token.
    next_token: int
    results: tuple[_Result, ...]


def parse_job(job: JobId, host: str, path: str, body: bytes) -> JobSpec:
    """Read a job as it was handed in.

    Raises
    ------
    ValueError
        If it is no batch job.
    """
    try:
        written = msgspec.json.decode(body, type=_Job)
        items = tuple(_item(item) for item in written.items)
    except (msgspec.MsgspecError, binascii.Error) as error:
        raise ValueError(f'batch job {job}: {error}') from error
    return JobSpec(
        job,
        host,
        path,
        written.model,
        written.min_version,
        items,
        written.target_groups,
    )


def results_body(
    total: int, after: int, results: tuple[ItemResult, ...]
) -> bytes:
    """Write a page of results."""
    page = _Page(
        total,
        after + len(results),
        tuple(_result(result) for result in results),
    )
    return msgspec.json.encode(page)


def _result(result: ItemResult) -> _Result:
    return _Result(
        result.item,
        result.state.value,
        result.text,
        result.versions,
        result.score,
    )


def _item(written: _Item) -> ItemSpec:
    return ItemSpec(
        written.id,
        written.path,
        tuple(written.headers.items()),
        _bytes(written.body),
        written.group or GroupId(written.id),
        _number(_field(written.headers, LENGTH_HINT)),
        # The prompt's tokens, then the most that may be generated.
        _number(_field(written.headers, TOKEN_COUNT).partition(',')[-1]),
        _score_call(written.scorer_url),
    )


def _score_call(written: _ScoreCall | None) -> ScoreCall | None:
    if written is None:
        return None
    return ScoreCall(
        written.id, written.host, written.path, _bytes(written.body)
    )


def _bytes(text: str) -> bytes:
    return base64.b64decode(text, validate=True)


def _field(headers: dict[str, str], wanted: str) -> str:
    return next(
        (text for name, text in headers.items() if name.lower() == wanted),
        '',
    )


def _number(text: str) -> int:
    return int(text) if text.isdecimal() else 0
