"""Identifiers and time types used across the package."""

from typing import NewType

HostId = NewType('HostId', str)
ZoneName = NewType('ZoneName', str)
OrganisationId = NewType('OrganisationId', str)
KeyId = NewType('KeyId', str)
ServiceId = NewType('ServiceId', str)
RouteId = NewType('RouteId', str)
BackendServerId = NewType('BackendServerId', str)
RequestId = NewType('RequestId', str)
AttemptId = NewType('AttemptId', int)
AppendId = NewType('AppendId', str)
ApplyId = NewType('ApplyId', str)
TimerId = NewType('TimerId', int)
Incarnation = NewType('Incarnation', int)
Version = NewType('Version', int)
Offset = NewType('Offset', int)
# Number of times that the store was restored from an older copy.
Era = NewType('Era', int)
StreamName = NewType('StreamName', str)
SliceId = NewType('SliceId', int)

# Monotonic time in seconds. Code of the decision core takes the current time as
# an argument and never reads a clock.
Instant = NewType('Instant', float)

# Organisation of requests without a key on open routes.
OPEN_ORGANISATION = OrganisationId('open')
