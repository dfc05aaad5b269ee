"""Decodes submitted batch jobs; encodes pages of their results."""

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
    #: Base64-encoded.
    body: str = ''


class _Item(msgspec.Struct, frozen=True):
    id: ItemId
    path: str
    headers: dict[str, str] = {}
    #: Base64-encoded.
    body: str = ''
    group: GroupId = GroupId('')
    #: A complete request, although the name says URL.
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
    #: The upstream's stamp of the response to the score call.
    score: str = ''


class _Page(msgspec.Struct, frozen=True):
    total: int
    #: The position at which the next page starts, not a token.
    next_token: int
    results: tuple[_Result, ...]


def parse_job(job: JobId, host: str, path: str, body: bytes) -> JobSpec:
    """Decode a submitted batch job.

    Raises
    ------
    ValueError
        If the body is not a batch job.
    """
    try:
        decoded = msgspec.json.decode(body, type=_Job)
        items = tuple(_build_item_spec(item) for item in decoded.items)
    except (msgspec.MsgspecError, binascii.Error) as error:
        raise ValueError(f'batch job {job}: {error}') from error
    return JobSpec(
        job,
        host,
        path,
        decoded.model,
        decoded.min_version,
        items,
        decoded.target_groups,
    )


def results_body(
    total: int, after: int, results: tuple[ItemResult, ...]
) -> bytes:
    """Encode a page of results."""
    page = _Page(
        total,
        after + len(results),
        tuple(_build_result(result) for result in results),
    )
    return msgspec.json.encode(page)


def _build_result(result: ItemResult) -> _Result:
    return _Result(
        result.item,
        result.state.value,
        result.text,
        result.versions,
        result.score,
    )


def _build_item_spec(decoded: _Item) -> ItemSpec:
    return ItemSpec(
        decoded.id,
        decoded.path,
        tuple(decoded.headers.items()),
        _decode_base64(decoded.body),
        decoded.group or GroupId(decoded.id),
        _int_or_zero(_header(decoded.headers, LENGTH_HINT)),
        # The tokens of the prompt, then the maximum to be generated.
        _int_or_zero(_header(decoded.headers, TOKEN_COUNT).partition(',')[-1]),
        _build_score_call(decoded.scorer_url),
    )


def _build_score_call(decoded: _ScoreCall | None) -> ScoreCall | None:
    if decoded is None:
        return None
    return ScoreCall(
        decoded.id, decoded.host, decoded.path, _decode_base64(decoded.body)
    )


def _decode_base64(text: str) -> bytes:
    return base64.b64decode(text, validate=True)


def _header(headers: dict[str, str], wanted: str) -> str:
    return next(
        (text for name, text in headers.items() if name.lower() == wanted),
        '',
    )


def _int_or_zero(text: str) -> int:
    return int(text) if text.isdecimal() else 0
