"""Credentials and account names in the header fields of requests."""

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

#: The authentication scheme, in lower case; clients may write it in any case.
_SCHEME: Final = 'bearer'


def read_credentials(headers: Headers) -> Credentials:
    """Return the credentials in the header fields of a request."""
    texts = [field.value for field in headers if field.name == _AUTHORIZATION]
    schemes = [text.strip().partition(' ') for text in texts]
    keys = tuple(
        digest_of(key.strip())
        for scheme, _, key in schemes
        if scheme.lower() == _SCHEME and key.strip()
    )
    return Credentials(keys, unreadable=len(keys) < len(texts))


def build_upstream_headers(
    headers: Headers, account: AccountId, accounts_in_force: bool
) -> Headers:
    """Return the header fields that are forwarded to an upstream.

    They name the client account that sends the request. An account name that
    the client wrote itself is dropped, and so is its key.

    Parameters
    ----------
    headers
        The header fields as the client sent them.
    account
        The client account that sends the request; empty if there is none.
    accounts_in_force
        Whether client accounts are in force. If they are not, credentials
        are meant for the upstream and are forwarded.
    """
    passed = headers.without(_claim_fields(accounts_in_force))
    return passed.plus((ACCOUNT, account)) if account else passed


def assign_job_account(spec: JobSpec, account: AccountId) -> JobSpec:
    """Return a job with its account set and its items' claims dropped.

    Parameters
    ----------
    spec
        The job as the trainer submitted it. The header fields of its items
        may name another account or hold a key.
    account
        The client account that owns the job; empty if there is none.
    """
    dropped = _claim_fields(accounts_in_force=bool(account))
    items = tuple(_drop_fields(item, dropped) for item in spec.items)
    return msgspec.structs.replace(spec, items=items, account=account)


def _drop_fields(item: ItemSpec, dropped: tuple[str, ...]) -> ItemSpec:
    headers = tuple(
        (name, text)
        for name, text in item.headers
        if name.lower() not in dropped
    )
    return msgspec.structs.replace(item, headers=headers)


def _claim_fields(accounts_in_force: bool) -> tuple[str, ...]:
    """Return the names of the fields in which a client states its account."""
    return (ACCOUNT, _AUTHORIZATION) if accounts_in_force else (ACCOUNT,)
