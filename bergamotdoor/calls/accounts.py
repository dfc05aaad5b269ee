"""Authentication of requests: client accounts and their API keys.

This module does no I/O; the age of the manifest is passed in.
"""

from __future__ import annotations

import datetime as dt
import enum
import hashlib
from typing import TYPE_CHECKING, Final, NewType

import msgspec

from bergamotdoor.types import AccountId

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Hash of an API key. The keys themselves are not stored.
KeyDigest = NewType('KeyDigest', bytes)
#: Stands for no account: on a public route, or if the manifest has none.
NO_ACCOUNT: Final = AccountId('')
#: Covers the difference between the clock rates of two VMs, and a watch that
#: the store ends somewhat early.
_PROOF_MARGIN_MS: Final = 250
_PROOF_MARGIN: Final = dt.timedelta(milliseconds=_PROOF_MARGIN_MS)


class AccountKeys(msgspec.Struct, frozen=True):
    """A client account and the digests of its API keys."""

    account: AccountId
    keys: tuple[KeyDigest, ...]
    #: Priority of its calls, 0 is the highest; ``None`` for their routes'.
    priority: int | None = None


class Denial(enum.Enum):
    """Reason for which a request is not admitted."""

    NO_KEY = 'no key'
    UNKNOWN_KEY = 'a key that no account holds'
    SEVERAL_KEYS = 'more than one key'


class Credentials(msgspec.Struct, frozen=True):
    """Credentials of a request, with digests in place of the keys."""

    keys: tuple[KeyDigest, ...] = ()
    #: Whether the request has credentials that are not valid as API keys.
    unreadable: bool = False


class Accounts:
    """Client accounts of one manifest; immutable.

    Parameters
    ----------
    accounts
        All client accounts with their keys.
    """

    def __init__(self, accounts: Iterable[AccountKeys] = ()) -> None:
        known = tuple(accounts)
        #: Whether requests need a key. This is so even if no account has a
        #: key left.
        self._in_force = bool(known)
        self._accounts = {
            digest: one.account for one in known for digest in one.keys
        }
        self._priorities = {one.account: one.priority for one in known}

    def __bool__(self) -> bool:
        """Return whether requests need a key."""
        return self._in_force

    def identify(
        self, credentials: Credentials, public: bool
    ) -> AccountId | Denial:
        """Return the client account that a request belongs to.

        Parameters
        ----------
        credentials
            Credentials of the request.
        public
            Whether the request's route admits requests without a key. A
            request with a valid key belongs to the key's account there, too.

        Returns
        -------
        AccountId or Denial
            ``NO_ACCOUNT`` if the request needs no key and has no valid one.
        """
        if not self._in_force:
            return NO_ACCOUNT
        found = self._find_account(credentials)
        if isinstance(found, Denial) and public:
            return NO_ACCOUNT
        return found

    def priority_of(self, account: AccountId) -> int | None:
        """Return the priority of an account, ``None`` if it has none."""
        return self._priorities.get(account)

    def may_see(self, account: AccountId, owner: AccountId) -> bool:
        """Return whether an account may read what belongs to `owner`."""
        return not self._in_force or owner in {account, NO_ACCOUNT}

    def _find_account(self, credentials: Credentials) -> AccountId | Denial:
        if len(credentials.keys) > 1:
            return Denial.SEVERAL_KEYS
        if credentials.unreadable:
            return Denial.UNKNOWN_KEY
        if not credentials.keys:
            return Denial.NO_KEY
        return self._accounts.get(credentials.keys[0], Denial.UNKNOWN_KEY)


class ManifestAgeLimit(msgspec.Struct, frozen=True):
    """Maximum age of a manifest by which requests are admitted.

    API keys are revoked while some entry processes are partitioned, paused or
    get no changes from the store. A request that a client sends later than
    `revocation` after its key was revoked must not run. At admission, the time
    at which the manifest was last known to be current (its proof) is compared
    with the present. The client sent the request before the present, so a
    proof that is younger than the limit covers the request, however long it
    waits or is retried afterwards.
    """

    #: Time within which a revoked key must stop working; ``None`` if it may
    #: be used until the new manifest is known.
    revocation: dt.timedelta | None = None

    def is_recent(self, proven_at: dt.timedelta, now: dt.timedelta) -> bool:
        """Return whether the proof of a manifest is recent enough.

        Both times are measured since the machine's start, including the time
        for which the machine was suspended.

        Parameters
        ----------
        proven_at
            When the manifest was last known to be current.
        now
            The present.
        """
        if self.revocation is None:
            return True
        return now - proven_at < self.revocation - _PROOF_MARGIN


def digest_of(key: str) -> KeyDigest:
    """Return the digest of an API key.

    Keys are looked up by their digests, so that the duration of a lookup
    reveals nothing about similar keys.
    """
    return KeyDigest(hashlib.sha256(key.encode(errors='replace')).digest())
