"""Configuration, backend servers and hosts as read from the store."""

import msgspec

from teaselcove.entities import Server
from teaselcove.ids import (
    Era,
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
        priority: Priority of its requests; 0 is served first.
        open: Whether requests without a key are served.
        timeout: Maximum seconds until the final answer.
        target_latency: Seconds within which an answer has its full value.
        max_attempts: Maximum number of servers that one request is sent to.
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
        burst: Maximum number of requests at once over all hosts.
        priority: Overrides the priority of the route, unless None.
    """

    id: OrganisationId
    keys: tuple[str, ...]
    rate: float
    burst: float
    priority: int | None


class IngressService(msgspec.Struct, frozen=True):
    """A service of the configuration in force.

    Attributes:
        max_connections: Maximum number of connections to each backend server
            from all hosts together.
    """

    id: ServiceId
    max_connections: int


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on the size and timing of callers' requests.

    Attributes:
        header_timeout: Seconds in which the header must arrive.
        idle_timeout: Seconds for which a keep-alive connection may be idle.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout: float
    idle_timeout: float


class IngressConfiguration(msgspec.Struct, frozen=True):
    """One version of the operator's configuration.

    Attributes:
        routes: Routes by host name (the Host header).
    """

    version: Version
    limits: CallerLimits
    organisations: tuple[IngressOrganisation, ...]
    routes: dict[str, tuple[IngressRoute, ...]]
    services: tuple[IngressService, ...]


class ServerEntry(msgspec.Struct, frozen=True):
    """A backend server, as registered in the store.

    Attributes:
        leaving: Whether the server must get no new requests.
        warmup_left: Seconds of warm-up left, during which the server is slow.
        started_ms: Unix time of its start in milliseconds, or 0. It
            distinguishes processes that used the same id.
        sequence: Number of this statement of the server since its start.
    """

    server: Server
    service: ServiceId
    leaving: bool
    warmup_left: float
    started_ms: int
    sequence: int = 0


class HostRecord(msgspec.Struct, frozen=True):
    """A host of the fleet, as registered in the store.

    Attributes:
        address: IP address and port for callers.
        peer_address: IP address and port for messages between hosts.
        started_ms: Unix time of the start of its process in milliseconds.
        capacity: Approximate requests per second that it can serve.
    """

    host: HostId
    zone: ZoneName
    address: str
    peer_address: str
    started_ms: int
    capacity: float = 0


class Position(msgspec.Struct, frozen=True, order=True):
    """Place of a record in the store, in the order of writing.

    Offsets start again at a lower one in each era.
    """

    era: Era
    offset: int


class KeyedRecord(msgspec.Struct, frozen=True):
    """The newest record of a key; the value is None if it was deleted."""

    key: str
    value: bytes | None
    offset: int


class RecordPage(msgspec.Struct, frozen=True):
    """Result of a read of keyed records.

    Attributes:
        next_offset: Offset at which the next read starts.
        asked_at: When the read was sent.
        reaches_end: Whether every record that the store had acknowledged by
            asked_at is in this or an earlier result.
        era: Era of the store in which the records were read.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    asked_at: Instant
    reaches_end: bool = True
    era: Era = Era(0)
