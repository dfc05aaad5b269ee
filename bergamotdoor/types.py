"""Identifiers and small enumerations that every package shares."""

from __future__ import annotations

import enum
from typing import Final, NewType

#: One attempt of one caller's request; unique over all entries.
RequestId = NewType('RequestId', str)
#: A group of interchangeable upstreams, such as ``kreol-lm``.
ServiceId = NewType('ServiceId', str)
#: One engine or plain service on one VM.
UpstreamId = NewType('UpstreamId', str)
#: One entry process.
EntryId = NewType('EntryId', str)
#: An availability zone.
ZoneId = NewType('ZoneId', str)
#: A group of availability zones with short distances between them.
RegionId = NewType('RegionId', str)
#: A VM as the platform's VM list names it.
VmId = NewType('VmId', str)
#: A training job that asks for samples.
TrainerId = NewType('TrainerId', str)
#: The number of a training step; grows by any amount.
StepId = NewType('StepId', int)
#: Samples of one prompt, which a trainer compares with each other.
GroupId = NewType('GroupId', str)
#: One sample of one group of one step.
SampleId = NewType('SampleId', str)
#: The number of published weights of a service; only grows.
WeightVersion = NewType('WeightVersion', int)
#: Raised by each taking of a lease; an order with a lower one is refused.
FencingToken = NewType('FencingToken', int)
#: Drawn anew by each start of a process.
Incarnation = NewType('Incarnation', str)
#: The number of an accepted configuration; only grows.
Generation = NewType('Generation', int)
#: What a caller sends to have a request run at most once.
IdempotencyKey = NewType('IdempotencyKey', str)
#: A process of bergamotdoor, named after the VM it runs on.
NodeId = NewType('NodeId', str)
#: A model that engines serve and trainers publish versions of.
ModelId = NewType('ModelId', str)
#: A batch job: one step's samples, handed in at once.
JobId = NewType('JobId', str)
#: One request for tokens of a batch job.
ItemId = NewType('ItemId', str)
#: The store's count of changes, over all objects; only grows.
Revision = NewType('Revision', int)

#: The version that the object API gives a stored object; 0 means absent.
ObjectVersion = NewType('ObjectVersion', int)

#: The version of an object that does not exist yet.
ABSENT: Final = ObjectVersion(0)


class UpstreamKind(enum.Enum):
    """What stands behind a sidecar."""

    ENGINE = 'engine'
    SERVICE = 'service'


class Priority(enum.IntEnum):
    """Which work goes first; a lower number goes first."""

    INTERACTIVE = 0
    EVALUATION = 1
    ROLLOUT = 2
