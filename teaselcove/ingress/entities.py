"""Configuration and backend servers as a host on the platform knows them."""

import msgspec

from teaselcove.entities import Server
from teaselcove.ids import (
    HostId,
    Instant,
    OrganisationId,
    RouteId,
    ServiceId,
    Version,
    ZoneName,
)


class WeightedService(msgspec.Struct, frozen=True):
    """A service that gets a share of a route's requests."""

    service: ServiceId
    weight: float


class IngressRoute(msgspec.Struct, frozen=True):
    """A route of the configuration in force.

    Attributes:
        prefix: Path prefix that begins and ends with a slash.
        idempotent: Whether a request may run more than once.
        priority: Rank of its requests; 0 is served first.
        open: Whether requests without a key are served.
        timeout: Longest time in seconds until the final answer.
        target_latency: Seconds within which an answer has its full value.
        max_attempts: Backend servers that one request may be sent to.
    """

    id: RouteId
    prefix: str
    services: tuple[WeightedService, ...]
    idempotent: bool
    priority: int
    open: bool
    timeout: float
    target_latency: float
    max_attempts: int


class IngressOrganisation(msgspec.Struct, frozen=True):
    """An organisation of the configuration in force.

    Attributes:
        rate: Requests per second over all hosts; 0 is unlimited.
        burst: Requests that may arrive at once, over all hosts.
        priority: Replaces the priority of the route, unless None.
    """

    id: OrganisationId
    keys: tuple[str, ...]
    rate: float
    burst: float
    priority: int | None


class IngressService(msgspec.Struct, frozen=True):
    """A service of the configuration in force.

    Attributes:
        max_connections: Connections that each backend server accepts from
            all hosts together.
    """

    id: ServiceId
    max_connections: int


class CallerLimits(msgspec.Struct, frozen=True):
    """What a caller may send and how long it may take.

    Attributes:
        header_timeout: Seconds.
        idle_timeout: Seconds that a kept connection may be idle.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout: float
    idle_timeout: float


class IngressConfiguration(msgspec.Struct, frozen=True):
    """One version of the operator's configuration.

    Attributes:
        routes: Routes by the host name that callers send.
    """

    version: Version
    limits: CallerLimits
    organisations: tuple[IngressOrganisation, ...]
    routes: dict[str, tuple[IngressRoute, ...]]
    services: tuple[IngressService, ...]


class ServerEntry(msgspec.Struct, frozen=True):
    """What a backend server says about itself in the store.

    Attributes:
        leaving: Whether it must get no new work.
        warmup_left: Seconds for which it remains slow after its start.
        started_ms: Unix time of its start in milliseconds, or 0. It tells
            two lifetimes under one id apart.
    """

    server: Server
    service: ServiceId
    leaving: bool
    warmup_left: float
    started_ms: int


class HostRecord(msgspec.Struct, frozen=True):
    """A host of the fleet, as it registers itself in the store.

    Attributes:
        address: IP address and port for callers.
        peer_address: IP address and port for messages between hosts.
        started_ms: Unix time of the start of its process in milliseconds.
        capacity: Requests per second that it can serve, about.
    """

    host: HostId
    zone: ZoneName
    address: str
    peer_address: str
    started_ms: int
    capacity: float = 0


class KeyedRecord(msgspec.Struct, frozen=True):
    """The newest record of a key; no value means that the key was dropped."""

    key: str
    value: bytes | None
    offset: int


class RecordPage(msgspec.Struct, frozen=True):
    """Result of a read of keyed records.

    Attributes:
        next_offset: Offset from which to read on.
        asked_at: When the read was sent.
        reaches_end: Whether all records that the store had acknowledged at that
            time are part of the result or known before.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    asked_at: Instant
    reaches_end: bool = True
