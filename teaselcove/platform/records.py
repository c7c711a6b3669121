"""Decodes configuration and server records in the platform's store."""

from typing import Annotated

import msgspec

from teaselcove.decoding import decoding
from teaselcove.entities import Server
from teaselcove.errors import CodecError
from teaselcove.ids import (
    BackendServerId,
    OrganisationId,
    RouteId,
    ServiceId,
    Version,
    ZoneName,
)
from teaselcove.ingress.entities import (
    CallerLimits,
    IngressConfiguration,
    IngressOrganisation,
    IngressRoute,
    IngressService,
    ServerEntry,
    WeightedService,
)
from teaselcove.platform.addresses import is_address

MS_PER_S = 1000
CONFIGURATION_TOPIC = 'keyed.op'
CONFIGURATION_KEY = 'config'
SERVERS_TOPIC = 'keyed.servers'

SAFE = 'safe'
READY = 'ready'
DRAINING = 'draining'
VERSION_PREFIX = 'r'
# Hosts pass numbers on as signed 64-bit ones.
MAX_INT = 2**63 - 1

Positive = Annotated[int, msgspec.Meta(ge=1, le=MAX_INT)]
Integer = Annotated[int, msgspec.Meta(ge=-MAX_INT, le=MAX_INT)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]


class WireLimits(msgspec.Struct, rename='camel'):
    """Limits for callers' connections and requests."""

    max_header_bytes: Positive
    max_body_bytes: Positive
    header_timeout_ms: Positive
    idle_timeout_ms: Positive


class WireTenant(msgspec.Struct, rename='camel'):
    """An organisation."""

    name: str
    api_keys: list[str]
    priority: Integer | None = None
    rate_per_s: NonNegative = 0
    burst: NonNegative = 0


class WireSplit(msgspec.Struct):
    """Share of a route's requests that goes to one service."""

    service: str
    weight: NonNegative


class WireAction(msgspec.Struct, rename='camel'):
    """Destination of a route: one service, or several with weights."""

    timeout_ms: Positive
    max_attempts: Positive
    service: str | None = None
    traffic_split: list[WireSplit] = []


class WireMatch(msgspec.Struct, rename='camel'):
    """Condition that selects the requests of a route."""

    path_prefix: str


class WireRule(msgspec.Struct, rename='camel'):
    """A route."""

    name: str
    route_type: str
    match: WireMatch
    action: WireAction
    target_latency_ms: NonNegative = 0
    priority: Integer = 0
    anonymous: bool = False


class WireListener(msgspec.Struct):
    """Routes of a host name; not a listen address."""

    host: str
    rules: list[WireRule]


class WireCluster(msgspec.Struct, rename='camel'):
    """A service."""

    name: str
    max_connections: Positive = 1


class WireConfiguration(msgspec.Struct):
    """Configuration record."""

    version: str
    limits: WireLimits
    listeners: list[WireListener]
    clusters: list[WireCluster]
    tenants: list[WireTenant] = []


class WireServer(msgspec.Struct, rename='camel'):
    """Record of a backend server.

    The field `version` (software version) is ignored.
    """

    service: str
    address: str
    zone: str
    max_concurrency: Positive
    state: str
    warmup_left_ms: NonNegative = 0
    # Number of the heartbeat since the start.
    sequence: Integer = 0
    # Start time in Unix milliseconds.
    born: Integer = 0


def decode_configuration(payload: bytes) -> IngressConfiguration:
    """Decodes a configuration record.

    Raises:
        CodecError: If the record is not a valid configuration.
    """
    with decoding('configuration'):
        wire = msgspec.json.decode(payload, type=WireConfiguration)
    return IngressConfiguration(
        decode_version(wire.version),
        CallerLimits(
            wire.limits.max_header_bytes,
            wire.limits.max_body_bytes,
            wire.limits.header_timeout_ms / MS_PER_S,
            wire.limits.idle_timeout_ms / MS_PER_S,
        ),
        tuple(decode_organisation(tenant) for tenant in wire.tenants),
        {
            listener.host.lower(): tuple(map(decode_route, listener.rules))
            for listener in wire.listeners
        },
        tuple(
            IngressService(ServiceId(cluster.name), cluster.max_connections)
            for cluster in wire.clusters
        ),
    )


def decode_version(text: str) -> Version:
    """Decodes a version such as `r12`.

    Raises:
        CodecError: If the text is not a version, or its number is too large
            to be passed on between hosts.
    """
    number = text.removeprefix(VERSION_PREFIX)
    if number == text or not (number.isascii() and number.isdigit()):
        raise CodecError(f'configuration: {text[:64]!r} is not a version')
    with decoding('configuration: version'):
        version = Version(int(number))
    if version > MAX_INT:
        raise CodecError(f'configuration: {text[:64]!r} is too large')
    return version


def decode_organisation(tenant: WireTenant) -> IngressOrganisation:
    """Converts a tenant to an organisation."""
    return IngressOrganisation(
        OrganisationId(tenant.name),
        tuple(tenant.api_keys),
        tenant.rate_per_s,
        tenant.burst,
        tenant.priority,
    )


def decode_route(rule: WireRule) -> IngressRoute:
    """Converts a rule to a route.

    Unknown route types are treated as not idempotent.
    """
    action = rule.action
    services = [
        WeightedService(ServiceId(split.service), split.weight)
        for split in action.traffic_split
    ]
    if action.service is not None:
        services.append(WeightedService(ServiceId(action.service), 1))
    return IngressRoute(
        RouteId(rule.name),
        rule.match.path_prefix,
        tuple(services),
        rule.route_type == SAFE,
        rule.priority,
        rule.anonymous,
        action.timeout_ms / MS_PER_S,
        rule.target_latency_ms / MS_PER_S,
        action.max_attempts,
    )


def decode_server(key: str, payload: bytes) -> ServerEntry:
    """Decodes the record that a backend server writes about itself.

    Raises:
        CodecError: If the record is malformed or has an invalid state or
            address.
    """
    with decoding(f'server {key}'):
        wire = msgspec.json.decode(payload, type=WireServer)
    if wire.state not in {READY, DRAINING} or not is_address(wire.address):
        raise CodecError(f'server {key}: no usable state or address')
    server = Server(
        BackendServerId(key),
        wire.address,
        ZoneName(wire.zone),
        wire.max_concurrency,
    )
    return ServerEntry(
        server,
        ServiceId(wire.service),
        wire.state == DRAINING,
        wire.warmup_left_ms / MS_PER_S,
        wire.born,
        wire.sequence,
    )
