"""Entities that make up the configuration declared by operators."""

import msgspec

from teaselcove.ids import (
    BackendServerId,
    KeyId,
    OrganisationId,
    RouteId,
    ServiceId,
    ZoneName,
)

DEFAULT_ROUTE_TIMEOUT_MS = 2000


class Organisation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An organisation whose callers use the fleet.

    Attributes:
        rate: Requests per second, summed over all hosts.
        burst: Requests admitted at once.
        weight: Share of a service, relative to other organisations.
    """

    id: OrganisationId
    rate: float
    burst: int
    name: str = ''
    weight: float = 1


class Key(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A key of a caller, stored as a salted hash only.

    Attributes:
        salt: Hexadecimal salt.
        hash: Hexadecimal SHA-256 of salt and secret.
    """

    id: KeyId
    organisation: OrganisationId
    salt: str
    hash: str


class Server(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A backend server of a service.

    Attributes:
        address: IP address and port.
        slots: Maximum number of concurrent calls.
    """

    id: BackendServerId
    address: str
    zone: ZoneName
    slots: int = 3


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A group of backend servers that handle the same calls.

    Attributes:
        floor: Minimum number of servers that ejection leaves in use.
        servers: The backend servers.
        echo_request_id: Whether servers return the request id in each answer.
    """

    id: ServiceId
    floor: int
    servers: tuple[Server, ...]
    echo_request_id: bool = False


class Call(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of call of a route; the first match applies.

    Attributes:
        method: HTTP method, or `*` for any.
        path: Prefix of the path after the route's prefix.
        idempotent: Whether the call may be repeated.
    """

    method: str
    idempotent: bool
    path: str = ''


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Routes the requests with a path prefix to a service.

    Attributes:
        open: Whether requests without a key are served.
        organisations: Allowed organisations; empty allows all.
        timeout_ms: Timeout of a request in milliseconds.
        calls: Declared calls; a call without a match may not be repeated.
    """

    id: RouteId
    prefix: str
    service: ServiceId
    open: bool = False
    organisations: tuple[OrganisationId, ...] = ()
    timeout_ms: int = DEFAULT_ROUTE_TIMEOUT_MS
    calls: tuple[Call, ...] = ()

    def is_idempotent(self, method: str, path: str) -> bool:
        """Returns whether a call of this route may be repeated."""
        below = path.removeprefix(self.prefix)
        for call in self.calls:
            if call.method in {'*', method} and below.startswith(call.path):
                return call.idempotent
        return False


class Entities(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Entities of all kinds, as declared or as part of a change."""

    organisations: tuple[Organisation, ...] = ()
    keys: tuple[Key, ...] = ()
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
