"""Services that leave, and the requests that reach them too late."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING, Final, NamedTuple

from lab.contact import CONTACT_S, STORE
from lab.promises import Promise, Promises
from lab.upstreams import register, written

if TYPE_CHECKING:
    import random

    from lab.callers import SentCall
    from lab.judged import Judged
    from lab.upstreams import Seen, Upstream

#: Time after the confirmation from which a service that leaves gets nothing.
DRAIN_S: Final = 2
#: How long a service serves on after it has left.
_SERVES_ON_S: Final = (5, 7)
#: Registrations of a service that nobody calls. With these a listing of the
#: registrations has two pages.
_OTHER_COUNT: Final = 60
_OTHER_SERVICE: Final = 'other'
_DRAINED: Final = 'drained'
_REMOVED: Final = 'was removed'
#: Watches are cut again after so long if none of them led to a listing.
_CUT_INTERVAL_S: Final = 0.5
_REGISTRATIONS: Final = 'servers'
_EXPECTED: Final = 'x-bergamotdoor-expect-instance'


class Left(NamedTuple):
    """A service whose drain or removal the store has confirmed."""

    name: str
    at_s: float
    #: Whether it drained or was removed, for reports.
    how: str


class Leaving:
    """Has services leave, and checks what still reaches them.

    Parameters
    ----------
    deployment
        The deployment with the services.
    rng
        The random source for services, manners and times.
    """

    def __init__(self, deployment: Judged, rng: random.Random) -> None:
        self._deployment = deployment
        self._rng = rng
        self._left: dict[str, Left] = {}

    def register_others(self) -> None:
        """Register upstreams of a service that nobody calls."""
        store = self._deployment.store
        spec = self._deployment.services[0].registration(service=_OTHER_SERVICE)
        for number in range(_OTHER_COUNT):
            store.put(_REGISTRATIONS, f'other-{number}', spec)

    async def leave(self) -> None:
        """Have a service leave, serve on, and be replaced.

        Nothing is done while all services but one leave.
        """
        leaving: list[Upstream] = []
        self._begin_to_leave(leaving)
        for service in leaving:
            await self._serve_on(service)

    async def leave_between_pages(self) -> None:
        """Have a service leave between two pages of a listing.

        Watches are cut, which the store may do at any time, so that entries
        list again. Nothing is done while all services but one leave.
        """
        leaving: list[Upstream] = []
        writes = self._deployment.store.write_faults.between_pages
        if _REGISTRATIONS in writes:
            return
        writes[_REGISTRATIONS] = functools.partial(
            self._begin_to_leave, leaving
        )
        while _REGISTRATIONS in writes:
            self._deployment.store.cut_watches()
            await asyncio.sleep(_CUT_INTERVAL_S)
        for service in leaving:
            await self._serve_on(service)

    def check(self, promises: Promises, sent: dict[str, SentCall]) -> None:
        """Check the calls that reached a service that had left.

        Parameters
        ----------
        promises
            The collector of checks.
        sent
            The calls, by the id of the request.
        """
        arrivals = (
            (service, seen)
            for service in self._deployment.services
            for seen in service.seen
        )
        for service, seen in arrivals:
            left = self._left.get(seen.headers.get(_EXPECTED, ''))
            call = sent.get(seen.request)
            if left is not None and call is not None:
                self._check_arrival(promises, service, left, seen, call)

    def _check_arrival(
        self,
        promises: Promises,
        service: Upstream,
        left: Left,
        seen: Seen,
        call: SentCall,
    ) -> None:
        contact = self._deployment.contact
        way = self._deployment.address_of(service).ip
        in_touch = contact.in_touch(
            call.entry, call.at_s, seen.at_s
        ) and contact.is_calm((way,), call.at_s - CONTACT_S, seen.at_s)
        is_confirmed = contact.is_calm(
            (STORE,), left.at_s - CONTACT_S, left.at_s
        )
        if not (in_touch and is_confirmed):
            return
        late_s = seen.at_s - left.at_s
        detail = (
            f'{seen.request} of {call.entry}',
            f'reached {left.name} {late_s:.2f} s after it {left.how}',
        )
        promises.check(
            Promise.LEFT, late_s <= DRAIN_S + contact.margin_s, ' '.join(detail)
        )

    def _begin_to_leave(self, leaving: list[Upstream]) -> None:
        """Have the store confirm that a service drains or is gone.

        Parameters
        ----------
        leaving
            Receives the service, unless only one is left.
        """
        store = self._deployment.store
        staying = [
            service
            for service in self._deployment.services
            if not service.is_leaving
        ]
        if len(staying) == 1:
            return
        service = self._rng.choice(staying)
        how = self._rng.choice((_DRAINED, _REMOVED))
        if how == _REMOVED:
            store.remove(_REGISTRATIONS, service.name)
        else:
            address = written(self._deployment.address_of(service))
            register(store, service, state='draining', address=address)
        service.is_leaving = True
        now_s = asyncio.get_running_loop().time()
        self._left[service.name] = Left(service.name, now_s, how)
        leaving.append(service)

    async def _serve_on(self, service: Upstream) -> None:
        await asyncio.sleep(self._rng.uniform(*_SERVES_ON_S))
        self._deployment.replace(service)
        service.is_leaving = False
