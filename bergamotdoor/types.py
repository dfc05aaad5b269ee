"""Identifiers that every package shares."""

from __future__ import annotations

from typing import NewType

#: A group of interchangeable upstreams, such as ``kreol-lm``.
ServiceId = NewType('ServiceId', str)
#: The name under which an engine or plain service registers. One that
#: starts again may have the name of before.
RegistrationId = NewType('RegistrationId', str)
#: One start of an engine or plain service: its registration and the moment.
UpstreamId = NewType('UpstreamId', str)
#: An availability zone.
ZoneId = NewType('ZoneId', str)
#: Samples of one prompt, which a trainer compares with each other.
GroupId = NewType('GroupId', str)
#: The number of published weights of a service; only grows.
WeightVersion = NewType('WeightVersion', int)
#: Raised by each taking of a lease; an order with a lower one is refused.
FencingToken = NewType('FencingToken', int)
#: The number of an accepted configuration; only grows.
Generation = NewType('Generation', int)
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
#: What a request asks for, whoever sends it and under which id.
Fingerprint = NewType('Fingerprint', str)
#: A client account, as it is named to upstreams. Its requests bear keys.
AccountId = NewType('AccountId', str)
#: A window of time for which usage is reported; counted from 1970 on.
UsageWindow = NewType('UsageWindow', int)
