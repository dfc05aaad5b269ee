"""Tells a request that comes again from any other."""

from __future__ import annotations

import xxhash

from bergamotdoor.types import Fingerprint


def fingerprint(
    action: str, host: str, target: str, body: bytes
) -> Fingerprint:
    """Return what stays the same when a request comes again.

    Each attempt of a caller bears a new id, and may come to any entry. What
    an upstream makes of a request depends on what it asks for.

    Parameters
    ----------
    action
        The method, or what else tells it from requests that look alike.
    host, target
        Of the request's head.
    body
        The whole body.

    Examples
    --------
    >>> fingerprint('GET', 'a', '/b', b'') == fingerprint('GET', 'a', '/c', b'')
    False
    """
    digest = xxhash.xxh3_128()
    for part in (action.encode(), host.encode(), target.encode(), body):
        # The length in front keeps parts from running into each other.
        digest.update(b'%d:' % len(part))
        digest.update(part)
    return Fingerprint(digest.hexdigest())
