"""Steps for bergamotdoor.peers.codec."""

from __future__ import annotations

import random
import string
import zlib
from typing import Any

import hypothesis
import msgspec
from behave import then

from bergamotdoor.jobs.messages import ItemResult, ItemState
from bergamotdoor.peers import codec
from bergamotdoor.peers.messages import Done, ResultPage
from bergamotdoor.types import ItemId

draws = hypothesis.strategies


def result_page(count: int, size: int) -> ResultPage:
    """Return a page of `count` results with texts of `size` letters."""
    rng = random.Random(count)
    results = tuple(
        ItemResult(
            ItemId(f'i{number}'),
            ItemState.COMPLETED,
            ''.join(rng.choices(string.ascii_lowercase, k=size)),
        )
        for number in range(count)
    )
    return ResultPage(count, results)


@then('{count:d} pages of results of any size are decoded as they were encoded')
def round_trip(_: Any, count: int) -> None:
    @hypothesis.settings(
        derandomize=True, max_examples=count, deadline=None, database=None
    )
    @hypothesis.given(draws.integers(0, 20), draws.integers(0, 2000))
    def check(results: int, size: int) -> None:
        page = result_page(results, size)
        assert codec.decode_reply(codec.encode(page)) == page

    check()


@then('a page of results is compressed to two thirds of its size')
def check_compressed_size(_: Any) -> None:
    page = result_page(100, 2000)
    uncompressed = msgspec.msgpack.encode(page)
    assert len(codec.encode(page)) < len(uncompressed) * 0.67


def malformed_messages() -> dict[str, bytes]:
    """Return bytes that are not a message, by their description."""
    message = msgspec.msgpack.encode(Done())
    compressed = zlib.compress(message)
    return {
        'no bytes': b'',
        'bytes of an unknown first letter': joined(b'x', message),
        'compressed bytes that are cut off': joined(b'z', compressed[:-3]),
        'compressed bytes that are no message': joined(
            b'z', zlib.compress(b'x')
        ),
        'bytes that are not compressed at all': joined(b'z', message),
        'megabytes that are compressed well': joined(b'z', compressed_zeros()),
    }


def joined(*parts: bytes) -> bytes:
    return b''.join(parts)


def compressed_zeros() -> bytes:
    """Return 100 MiB of zeros, compressed; no message may be so large."""
    compressor = zlib.compressobj()
    megabyte = bytes(2**20)
    zeros = [compressor.compress(megabyte) for _ in range(100)]
    return joined(*zeros, compressor.flush())


@then('{what} are rejected as a request and as a reply')
def rejected(_: Any, what: str) -> None:
    check_rejected(what)


def check_rejected(what: str) -> None:
    for decode in (codec.decode_request, codec.decode_reply):
        try:
            decoded = decode(malformed_messages()[what])
        except msgspec.MsgspecError:
            continue
        raise AssertionError(decoded)
