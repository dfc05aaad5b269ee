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


def page(count: int, size: int) -> ResultPage:
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


@then('{count:d} pages of results of any size are read as they were written')
def round_trip(_: Any, count: int) -> None:
    @hypothesis.settings(
        derandomize=True, max_examples=count, deadline=None, database=None
    )
    @hypothesis.given(draws.integers(0, 20), draws.integers(0, 2000))
    def check(results: int, size: int) -> None:
        written = page(results, size)
        assert codec.decode_reply(codec.encode(written)) == written

    check()


@then('a page of a step takes two thirds of its bytes')
def smaller(_: Any) -> None:
    written = page(100, 2000)
    plain = msgspec.msgpack.encode(written)
    assert len(codec.encode(written)) < len(plain) * 0.67


def broken() -> dict[str, bytes]:
    message = msgspec.msgpack.encode(Done())
    packed = zlib.compress(message)
    return {
        'no bytes': b'',
        'bytes of an unknown first letter': joined(b'x', message),
        'compressed bytes that are cut off': joined(b'z', packed[:-3]),
        'compressed bytes that are no message': joined(
            b'z', zlib.compress(b'x')
        ),
        'bytes that are not compressed at all': joined(b'z', message),
        'megabytes that are compressed well': joined(b'z', zipped_zeros()),
    }


def joined(*parts: bytes) -> bytes:
    return b''.join(parts)


def zipped_zeros() -> bytes:
    packer = zlib.compressobj()
    megabyte = bytes(2**20)
    zeros = [packer.compress(megabyte) for _ in range(100)]
    return joined(*zeros, packer.flush())


@then('{what} are no request and no reply')
def refused(_: Any, what: str) -> None:
    check_refused(what)


def check_refused(what: str) -> None:
    for decode in (codec.decode_request, codec.decode_reply):
        try:
            found = decode(broken()[what])
        except msgspec.MsgspecError:
            continue
        raise AssertionError(found)
