"""Events that the daemon or a test passes to the decision core."""

from enum import Enum
from typing import Any

import msgspec

from teaselcove.ids import (
    AppendId,
    AttemptId,
    BackendServerId,
    HostId,
    Incarnation,
    Offset,
    RequestId,
    SliceId,
    StreamName,
    ZoneName,
)


class AttemptResult(Enum):
    """How an attempt at a backend server ended.

    COMPLETE is a complete answer of any status. NOT_SENT means that no byte
    was written. SHED means that the server stated that the call did not start.
    BROKEN is a reset connection or a truncated answer. MISMATCHED is an answer
    to another request. MISDIRECTED means that another server has taken over the
    address and stated that it did not start the call.
    """

    COMPLETE = 'complete'
    NOT_SENT = 'not-sent'
    SHED = 'shed'
    BROKEN = 'broken'
    TIMED_OUT = 'timed-out'
    MISMATCHED = 'mismatched'
    MISDIRECTED = 'misdirected'
    CANCELLED = 'cancelled'


class HostState(Enum):
    """State of a host or backend server in the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'


class StoredAnswer(msgspec.Struct, frozen=True):
    """An answer that is kept for resends of the request."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class HostEntry(msgspec.Struct, frozen=True):
    """A host in the platform's list.

    Attributes:
        incarnation: The process at that host, or 0 if the platform does not
            know it; heartbeats contain it.
        address: IP address and port for callers.
        peer_address: IP address and port for other hosts.
    """

    host: HostId
    incarnation: Incarnation
    zone: ZoneName
    address: str
    peer_address: str
    state: HostState = HostState.LIVE


class EndpointEntry(msgspec.Struct, frozen=True):
    """A backend server in the platform's list."""

    server: BackendServerId
    state: HostState = HostState.LIVE


class RequestArrived(msgspec.Struct, frozen=True):
    """A caller's request whose body has been read.

    Attributes:
        key: Text of the key, or None.
        idempotency_key: The caller's idempotency key, or None.
        body_digest: Digest of method, path and body.
        timeout: The caller's timeout in seconds, or None.
    """

    request_id: RequestId
    method: str
    path: str
    key: str | None
    idempotency_key: str | None
    body_digest: bytes
    timeout: float | None = None


class CallerDisconnected(msgspec.Struct, frozen=True):
    """The caller closed its connection before the answer."""

    request_id: RequestId


class AttemptFinished(msgspec.Struct, frozen=True):
    """An attempt has ended.

    Attributes:
        status: HTTP status of a complete or truncated answer; None if none
            was read.
        leaving: Whether the server announced that it is draining.
        answer: The complete answer, which may be stored for resends.
    """

    attempt_id: AttemptId
    result: AttemptResult
    status: int | None = None
    leaving: bool = False
    answer: StoredAnswer | None = None


class PeerMessageReceived(msgspec.Struct, frozen=True):
    """A message from another host has arrived."""

    sender: HostId
    incarnation: Incarnation
    message: Any


class RecordsRead(msgspec.Struct, frozen=True):
    """A read of a stream of the log succeeded.

    Attributes:
        requested_offset: The offset that was requested.
        first_offset: The oldest offset that the log still keeps.
        next_offset: The offset of the next append.
        records: Offsets and payloads, in order.
    """

    stream: StreamName
    requested_offset: Offset
    first_offset: Offset
    next_offset: Offset
    records: tuple[tuple[Offset, bytes], ...]


class StoreFailed(msgspec.Struct, frozen=True):
    """A read of a stream failed."""

    stream: StreamName


class AppendFinished(msgspec.Struct, frozen=True):
    """An append ended; the offset is None if its outcome is unknown."""

    append_id: AppendId
    offset: Offset | None


class HostsListed(msgspec.Struct, frozen=True):
    """The platform's list of hosts was read."""

    hosts: tuple[HostEntry, ...]


class EndpointsListed(msgspec.Struct, frozen=True):
    """The platform's list of backend servers was read."""

    endpoints: tuple[EndpointEntry, ...]


class TimerDue(msgspec.Struct, frozen=True):
    """The deadline that `Kernel.next_deadline` returned has passed."""


class DrainRequested(msgspec.Struct, frozen=True):
    """The host was asked to drain."""


class PauseDetected(msgspec.Struct, frozen=True):
    """The kernel detected that the process was paused.

    Attributes:
        duration: Seconds by which the earliest timer fired late.
    """

    duration: float


class ConfigurationChanged(msgspec.Struct, frozen=True):
    """This host has adopted a new version of the configuration."""

    version: int


class OwnershipChanged(msgspec.Struct, frozen=True):
    """A change of slice owners was read from the log.

    Attributes:
        slices: The slices that have a new owner.
    """

    slices: frozenset[SliceId]
