"""Publishes a service's new weights for its trainer."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from bergamotdoor.entry.steps_records import WEIGHTS
from bergamotdoor.entry.trainers_answers import WeightsAnswer, WeightsBody
from bergamotdoor.entry.trainers_bodies import decode_body
from bergamotdoor.entry.trainers_failures import (
    RETRY_MS,
    refused,
    store_failure,
)
from bergamotdoor.http.failures import failure_response, json_response
from bergamotdoor.store.protocols import StoreFailure, StoreProblem
from bergamotdoor.types import WeightVersion
from bergamotdoor.verdict import Failure, Reason, Verdict
from bergamotdoor.weights.versions import (
    Publication,
    PublishedWeights,
    check_publication,
)

if TYPE_CHECKING:
    from bergamotdoor.entry.steps_records import StepRecords
    from bergamotdoor.entry.trainers_parts import TrainerParts
    from bergamotdoor.entry.trainers_target import TrainerRequest
    from bergamotdoor.http.messages import HttpResponse
    from bergamotdoor.store.protocols import WeightStore

_MOST_TRIES: Final = 5


class Publisher:
    """Registers versions: at the weight store first, then as current.

    In this order no version is current that engines can't load. A version
    that stays registered without becoming current does no harm.

    Parameters
    ----------
    records
        The object API.
    weight_store
        Where engines load from; None where engines load elsewhere.
    """

    def __init__(
        self, records: StepRecords, weight_store: WeightStore | None
    ) -> None:
        self._records = records
        self._weight_store = weight_store

    async def publish(self, asked: PublishedWeights) -> Failure | None:
        """Make `asked` current; None if it is, now or from before."""
        for _ in range(_MOST_TRIES):
            found = await self._records.weights(asked.service)
            if isinstance(found, StoreFailure):
                return store_failure(found)
            outcome = check_publication(found.record, asked)
            if outcome is not Publication.ACCEPT:
                return _answer(outcome, asked)
            failure = await self._register(asked)
            if failure is not None:
                return failure
            written = await self._records.write(
                WEIGHTS, asked.service, asked, found.version
            )
            if not isinstance(written, StoreFailure):
                return None
            if written.problem is not StoreProblem.CONFLICT:
                return store_failure(written)
        return Failure(
            Verdict.NOT_RUN, Reason.CONFLICT, 'others publish', RETRY_MS
        )

    async def _register(self, asked: PublishedWeights) -> Failure | None:
        if self._weight_store is None:
            return None
        registered = await self._weight_store.publish(
            asked.service, asked.version, asked.size_bytes
        )
        if isinstance(registered, StoreFailure):
            if registered.problem is StoreProblem.CONFLICT:
                return _answer(Publication.MISMATCH, asked)
            return store_failure(registered)
        return None


class WeightsDesk:
    """Answers requests for a service's weights.

    Parameters
    ----------
    parts
        What the trainers' interface is made of.
    records
        The store.
    """

    def __init__(self, parts: TrainerParts, records: StepRecords) -> None:
        self._hints = parts.hints
        self._records = records
        self._publisher = Publisher(records, parts.weight_store)

    async def get(self, request: TrainerRequest) -> HttpResponse:
        """Tell the current version; version 0 before the first."""
        service = request.trainer.service
        found = await self._records.weights(service)
        if isinstance(found, StoreFailure):
            return failure_response(store_failure(found))
        current = found.record
        if current is None:
            none = WeightsAnswer(service, WeightVersion(0), 0)
            return json_response(HTTPStatus.OK, none)
        return json_response(
            HTTPStatus.OK,
            WeightsAnswer(service, current.version, current.size_bytes),
        )

    async def put(self, request: TrainerRequest) -> HttpResponse:
        """Publish a version."""
        asked = _asked(request)
        if isinstance(asked, Failure):
            return failure_response(asked)
        if not request.trainer.publishes:
            detail = f'trainer {asked.trainer} may not publish'
            return failure_response(
                refused(Reason.UNAUTHORIZED, detail), HTTPStatus.FORBIDDEN
            )
        failure = await self._publisher.publish(asked)
        if failure is not None:
            return failure_response(failure)
        self._hints.version_published(asked.service, asked.version)
        return json_response(
            HTTPStatus.OK,
            WeightsAnswer(asked.service, asked.version, asked.size_bytes),
        )


def _asked(request: TrainerRequest) -> PublishedWeights | Failure:
    body = decode_body(request.body, WeightsBody)
    if isinstance(body, Failure):
        return body
    version = request.target.version
    if not version or body.size_bytes < 1:
        return refused(
            Reason.BAD_REQUEST,
            f'version {version} of {body.size_bytes} bytes, expected '
            'both to be at least 1',
        )
    return PublishedWeights(
        request.trainer.service,
        version,
        body.size_bytes,
        request.trainer.id,
    )


def _answer(outcome: Publication, asked: PublishedWeights) -> Failure | None:
    if outcome is Publication.REPEATED:
        return None
    version = asked.version
    if outcome is Publication.TOO_LOW:
        detail = f'version {version} is below the current one'
    else:
        detail = f'version {version} is taken by weights of another size'
    return refused(Reason.CONFLICT, detail)
