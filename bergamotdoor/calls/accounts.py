"""Client accounts: whose request it is, by the key that it bears.

Decisions only: no input or output, and the age of the manifest is passed in.
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

#: A hash of a key. Keys themselves are kept nowhere.
KeyDigest = NewType('KeyDigest', bytes)
#: No account: a public route, or a manifest without accounts.
NO_ACCOUNT: Final = AccountId('')
#: Covers the difference of two VMs' clock rates, and a watch that the store
#: ends somewhat before its time.
_PROOF_MARGIN_MS: Final = 250
_PROOF_MARGIN: Final = dt.timedelta(milliseconds=_PROOF_MARGIN_MS)


class AccountKeys(msgspec.Struct, frozen=True):
    """A client account and the digests of the keys that it holds."""

    account: AccountId
    keys: tuple[KeyDigest, ...]


class Denial(enum.Enum):
    """Why a request is not admitted."""

    NO_KEY = 'no key'
    UNKNOWN_KEY = 'a key that no account holds'
    SEVERAL_KEYS = 'more than one key'


class Credentials(msgspec.Struct, frozen=True):
    """What a request says of who sends it; the keys themselves are gone."""

    keys: tuple[KeyDigest, ...] = ()
    #: Whether it has credentials that are no key.
    unreadable: bool = False


class Accounts:
    """The client accounts of one manifest; immutable.

    Parameters
    ----------
    held
        All accounts and their keys.
    """

    def __init__(self, held: Iterable[AccountKeys] = ()) -> None:
        known = tuple(held)
        #: An account that has lost all its keys is one nevertheless.
        self._in_force = bool(known)
        self._holders = {
            digest: one.account for one in known for digest in one.keys
        }

    def __bool__(self) -> bool:
        """Return whether requests need a key."""
        return self._in_force

    def identify(
        self, credentials: Credentials, public: bool
    ) -> AccountId | Denial:
        """Return the account that a request is of.

        Parameters
        ----------
        credentials
            What the request says.
        public
            Whether its route takes requests without a key. One that bears a
            key is its holder's there, too.

        Returns
        -------
        AccountId or Denial
            ``NO_ACCOUNT`` where none is needed.
        """
        if not self._in_force:
            return NO_ACCOUNT
        found = self._holder(credentials)
        if isinstance(found, Denial) and public:
            return NO_ACCOUNT
        return found

    def may_see(self, account: AccountId, owner: AccountId) -> bool:
        """Return whether an account may see what belongs to an owner."""
        return not self._in_force or owner in {account, NO_ACCOUNT}

    def _holder(self, credentials: Credentials) -> AccountId | Denial:
        if len(credentials.keys) > 1:
            return Denial.SEVERAL_KEYS
        if credentials.unreadable:
            return Denial.UNKNOWN_KEY
        if not credentials.keys:
            return Denial.NO_KEY
        return self._holders.get(credentials.keys[0], Denial.UNKNOWN_KEY)


class ProofBound(msgspec.Struct, frozen=True):
    """For how long a manifest may be used without a new proof.

    Load pattern: keys are taken away while some entries are cut off, paused
    or hear nothing of the store. A request that a client sent later than
    ``revocation`` after that must not run. Whoever admits it compares the
    moment at which the manifest was known to be current with the present
    one: the client sent it before the present, so a proof that is younger
    than the bound covers it, however long it waits or is retried afterwards.
    """

    #: None where a revoked key may run until the manifest is known.
    revocation: dt.timedelta | None = None

    def holds(self, proven_at: dt.timedelta, now: dt.timedelta) -> bool:
        """Return whether a proof of one moment is good at another.

        Both are in time since the machine's start, which counts what it was
        suspended for.
        """
        if self.revocation is None:
            return True
        return now - proven_at < self.revocation - _PROOF_MARGIN


def digest_of(key: str) -> KeyDigest:
    """Return a key's digest.

    Keys are looked up by it, so that the time which that takes tells nothing
    of keys that are near.
    """
    return KeyDigest(hashlib.sha256(key.encode(errors='replace')).digest())
