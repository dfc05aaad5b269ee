"""Encoding of the messages between entry processes."""

from __future__ import annotations

import zlib
from typing import Final

import msgspec

from bergamotdoor.peers.messages import PeerReply, PeerRequest

#: The first byte of a message says whether the rest is compressed.
_PLAIN: Final = b'p'
_COMPRESSED: Final = b'z'
#: Smaller messages are not compressed, since it saves too little. Only pages
#: of results and jobs are larger.
_MIN_COMPRESSED_BYTES: Final = 4096
#: The fastest zlib level (1) makes texts a third smaller and takes 20 ms per
#: megabyte. Higher levels save another two hundredths and take twice as long.
_COMPRESSION_LEVEL: Final = 1
#: Size of a job with the largest body that callers may send. A compressed
#: message is not decompressed beyond it.
_MAX_MESSAGE_BYTES: Final = 67_108_864
_REQUEST_DECODER: Final = msgspec.msgpack.Decoder(PeerRequest)
_REPLY_DECODER: Final = msgspec.msgpack.Decoder(PeerReply)


def encode(message: PeerRequest | PeerReply) -> bytes:
    """Return a message as bytes, compressed if it is large.

    Pages of results and jobs make up nearly all traffic between availability
    zones, which is billed by the byte, and saturate the links of small VMs.
    """
    body = msgspec.msgpack.encode(message)
    if len(body) < _MIN_COMPRESSED_BYTES:
        return _PLAIN + body
    return _COMPRESSED + zlib.compress(body, _COMPRESSION_LEVEL)


def decode_request(body: bytes) -> PeerRequest:
    """Decode a request of another process.

    Raises
    ------
    msgspec.MsgspecError
        If `body` is not a request, or is larger than any request that
        processes send.
    """
    request: PeerRequest = _REQUEST_DECODER.decode(_message_bytes(body))
    return request


def decode_reply(body: bytes) -> PeerReply:
    """Decode the reply of another process.

    Raises
    ------
    msgspec.MsgspecError
        If `body` is not a reply, or is larger than any reply that processes
        send.
    """
    reply: PeerReply = _REPLY_DECODER.decode(_message_bytes(body))
    return reply


def _message_bytes(body: bytes) -> bytes:
    encoding, payload = body[:1], body[1:]
    if encoding == _COMPRESSED:
        return _decompress(payload)
    if encoding != _PLAIN:
        raise msgspec.DecodeError(f'first byte {encoding!r}, expected p or z')
    return payload


def _decompress(compressed: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(compressed, _MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(f'compressed message: {error}') from error
    if not decompressor.eof:
        raise msgspec.DecodeError('compressed message: truncated or too large')
    return body
