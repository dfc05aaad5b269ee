"""Messages between entry processes as bytes."""

from __future__ import annotations

import zlib
from typing import Final

import msgspec

from bergamotdoor.peers.messages import PeerReply, PeerRequest

#: The first byte tells how the rest is written.
_PLAIN: Final = b'p'
_PACKED: Final = b'z'
#: Less is not worth the work; all but pages of results and jobs is less.
_LEAST_BYTES: Final = 4096
#: Texts lose a third of their size at the cheapest level, 20 ms for each
#: megabyte; dearer levels win two hundredths more for twice the time.
_LEVEL: Final = 1
#: A job of the largest body that callers may send.
_MOST_BYTES: Final = 67_108_864
_REQUESTS: Final = msgspec.msgpack.Decoder(PeerRequest)
_REPLIES: Final = msgspec.msgpack.Decoder(PeerReply)


def encode(message: PeerRequest | PeerReply) -> bytes:
    """Write a message; large ones are compressed.

    Pages of results and jobs are nearly all that crosses the borders of
    zones, where bytes cost money, and what fills the links of small VMs.
    """
    body = msgspec.msgpack.encode(message)
    if len(body) < _LEAST_BYTES:
        return _PLAIN + body
    return _PACKED + zlib.compress(body, _LEVEL)


def decode_request(body: bytes) -> PeerRequest:
    """Read what another process asks.

    Raises
    ------
    msgspec.MsgspecError
        If it is no request, or larger than any that is sent.
    """
    request: PeerRequest = _REQUESTS.decode(_plain(body))
    return request


def decode_reply(body: bytes) -> PeerReply:
    """Read another process's reply.

    Raises
    ------
    msgspec.MsgspecError
        If it is no reply, or larger than any that is sent.
    """
    reply: PeerReply = _REPLIES.decode(_plain(body))
    return reply


def _plain(body: bytes) -> bytes:
    how, rest = body[:1], body[1:]
    if how == _PACKED:
        return _unpacked(rest)
    if how != _PLAIN:
        raise msgspec.DecodeError(f'first byte {how!r}, expected p or z')
    return rest


def _unpacked(packed: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    try:
        body = unpacker.decompress(packed, _MOST_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(f'compressed message: {error}') from error
    if not unpacker.eof:
        raise msgspec.DecodeError('compressed message: cut off, or too large')
    return body
