"""Fingerprints, by which a repeated request is recognized."""

from __future__ import annotations

import xxhash

from bergamotdoor.types import Fingerprint


def request_fingerprint(
    action: str, host: str, target: str, body: bytes
) -> Fingerprint:
    """Return a hash that is the same for every repetition of a request.

    Each attempt of a caller has a new request id and may arrive at any entry
    process, so the hash covers only what an upstream is requested to do.

    Parameters
    ----------
    action
        The method, or another word that distinguishes the request from
        requests with the same host, target and body.
    host, target
        The request's host, and its path with the query.
    body
        The whole request body.

    Examples
    --------
    >>> first = request_fingerprint('GET', 'a', '/b', b'')
    >>> first == request_fingerprint('GET', 'a', '/c', b'')
    False
    """
    digest = xxhash.xxh3_128()
    for part in (action.encode(), host.encode(), target.encode(), body):
        # Each part is prefixed with its length, so that different parts never
        # form the same input.
        digest.update(b'%d:' % len(part))
        digest.update(part)
    return Fingerprint(digest.hexdigest())
