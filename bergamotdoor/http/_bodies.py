"""Helpers that close and split message bodies."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

#: The largest piece that is written to a socket at once. The write timeout
#: applies to each piece, so a slow reader that makes progress stays connected.
PIECE_BYTES: Final = 65536

_CLOSE_TIMEOUT_S: Final = 5

_logger = logging.getLogger('bergamotdoor.http')


async def close_body(body: bytes | AsyncIterator[bytes]) -> None:
    """Close `body` if it is a stream.

    Errors, and a timeout after 5 s, are logged and not raised.

    Parameters
    ----------
    body
        Body of a request or a response. Bytes need no close.
    """
    close = getattr(body, 'aclose', None)
    if close is None:
        return
    try:
        async with asyncio.timeout(_CLOSE_TIMEOUT_S):
            await close()
    except Exception:
        _logger.exception('http: closing a streamed body failed')


def pieces_of(body: bytes) -> Iterator[bytes]:
    """Yield `body` in pieces of at most ``PIECE_BYTES``."""
    for start in range(0, len(body), PIECE_BYTES):
        yield body[start : start + PIECE_BYTES]
