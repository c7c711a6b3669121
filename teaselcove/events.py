"""Events that the daemon or a test gives to the decision core."""

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

    COMPLETE is a whole answer of any status. NOT_SENT means that no byte was
    written. SHED is the server's own statement that the call did not start.
    BROKEN is a reset or a truncated answer. MISMATCHED is an answer to another
    request. MISDIRECTED is the statement of another server, which has taken
    over the address, that it did not start the call.
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
    """An answer as kept for a caller that sends its request again."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class HostEntry(msgspec.Struct, frozen=True):
    """A host in the platform's list.

    Attributes:
        incarnation: The process at that host, or 0 if the platform does not
            know it; heartbeats carry it.
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
        timeout: Seconds that the caller waits, or None.
    """

    request_id: RequestId
    method: str
    path: str
    key: str | None
    idempotency_key: str | None
    body_digest: bytes
    timeout: float | None = None


class CallerGone(msgspec.Struct, frozen=True):
    """The caller closed its connection before the answer."""

    request_id: RequestId


class AttemptFinished(msgspec.Struct, frozen=True):
    """An attempt has ended.

    Attributes:
        status: HTTP status of a whole or truncated answer; None if none
            was read.
        leaving: Whether the server announced that it drains.
        answer: The answer of an attempt that may be recalled later.
    """

    attempt_id: AttemptId
    result: AttemptResult
    status: int | None = None
    leaving: bool = False
    answer: StoredAnswer | None = None


class PeerMessageReceived(msgspec.Struct, frozen=True):
    """A message from another host."""

    sender: HostId
    incarnation: Incarnation
    message: Any


class RecordsRead(msgspec.Struct, frozen=True):
    """A read of a stream of the log succeeded.

    Attributes:
        requested_offset: The offset that was asked for.
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
    """An append ended; the offset is None if its effect is unknown."""

    append_id: AppendId
    offset: Offset | None


class HostsListed(msgspec.Struct, frozen=True):
    """The platform's list of hosts was read."""

    hosts: tuple[HostEntry, ...]


class EndpointsListed(msgspec.Struct, frozen=True):
    """The platform's list of backend servers was read."""

    endpoints: tuple[EndpointEntry, ...]


class TimerDue(msgspec.Struct, frozen=True):
    """The deadline that `Kernel.next_deadline` gave has passed."""


class DrainRequested(msgspec.Struct, frozen=True):
    """The host was asked to leave."""


class PauseDetected(msgspec.Struct, frozen=True):
    """The kernel found that the process did not run for a while.

    Attributes:
        duration: Seconds by which the earliest timer fired late.
    """

    duration: float


class ConfigurationChanged(msgspec.Struct, frozen=True):
    """A new version of the configuration is in force on this host."""

    version: int


class OwnershipChanged(msgspec.Struct, frozen=True):
    """New owners of some slices were read from the log.

    Attributes:
        slices: The slices that have a new owner.
    """

    slices: frozenset[SliceId]
