"""Identifiers that every package shares."""

from __future__ import annotations

from typing import NewType

#: A group of interchangeable upstreams, such as ``kreol-lm``.
ServiceId = NewType('ServiceId', str)
#: The name under which an engine or plain service registers. It may have the
#: same name after a restart.
RegistrationId = NewType('RegistrationId', str)
#: One start of an engine or plain service: its registration and start time.
UpstreamId = NewType('UpstreamId', str)
#: An availability zone.
ZoneId = NewType('ZoneId', str)
#: A group of samples of one prompt, which a trainer compares.
GroupId = NewType('GroupId', str)
#: The version number of published weights; only increases.
WeightVersion = NewType('WeightVersion', int)
#: Increased at each acquisition of a lease; orders with a lower one are
#: rejected.
FencingToken = NewType('FencingToken', int)
#: The number of an accepted configuration; only increases.
Generation = NewType('Generation', int)
#: A process of bergamotdoor, named after the VM it runs on.
NodeId = NewType('NodeId', str)
#: A model, which engines serve and whose versions trainers publish.
ModelId = NewType('ModelId', str)
#: A batch job: the samples of one step of a trainer, submitted together.
JobId = NewType('JobId', str)
#: An item of a batch job: one request to generate tokens.
ItemId = NewType('ItemId', str)
#: The number of changes in the store, over all objects; only increases.
Revision = NewType('Revision', int)
#: Identifies the content of a request, whatever its sender and id.
Fingerprint = NewType('Fingerprint', str)
#: A client account, by the name sent to upstreams. Its requests carry keys.
AccountId = NewType('AccountId', str)
#: The number of a time window for which usage is reported, from 1970 on.
UsageWindow = NewType('UsageWindow', int)
