"""Reads which client account a request claims to be of."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.calls.accounts import Credentials, digest_of
from bergamotdoor.platform.headers import ACCOUNT

if TYPE_CHECKING:
    from bergamotdoor.http.messages import Headers
    from bergamotdoor.jobs.messages import ItemSpec, JobSpec
    from bergamotdoor.types import AccountId

_AUTHORIZATION: Final = 'authorization'

#: Schemes ignore case.
_SCHEME: Final = 'bearer'


def credentials_of(headers: Headers) -> Credentials:
    """Return what a request says of who sends it."""
    texts = [field.value for field in headers if field.name == _AUTHORIZATION]
    schemes = [text.strip().partition(' ') for text in texts]
    keys = tuple(
        digest_of(key.strip())
        for scheme, _, key in schemes
        if scheme.lower() == _SCHEME and key.strip()
    )
    return Credentials(keys, unreadable=len(keys) < len(texts))


def named_account(headers: Headers, account: AccountId, keyed: bool) -> Headers:
    """Return the fields that tell an upstream whose request it is.

    Whatever the client claimed goes, and so does its key.

    Parameters
    ----------
    headers
        As the client sent them.
    account
        Whose request it is; empty is nobody's.
    keyed
        Whether client accounts are in force. Where they are not, credentials
        are the upstream's own business.
    """
    passed = headers.without(_claims(keyed))
    return passed.plus((ACCOUNT, account)) if account else passed


def job_of_account(spec: JobSpec, account: AccountId) -> JobSpec:
    """Return a job as its account's, without what its items say of that."""
    dropped = _claims(keyed=bool(account))
    items = tuple(_without(item, dropped) for item in spec.items)
    return msgspec.structs.replace(spec, items=items, account=account)


def _without(item: ItemSpec, dropped: tuple[str, ...]) -> ItemSpec:
    headers = tuple(
        (name, text)
        for name, text in item.headers
        if name.lower() not in dropped
    )
    return msgspec.structs.replace(item, headers=headers)


def _claims(keyed: bool) -> tuple[str, ...]:
    """Return the fields in which a client says who it is."""
    return (ACCOUNT, _AUTHORIZATION) if keyed else (ACCOUNT,)
