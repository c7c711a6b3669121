"""Decodes the settings file that the platform writes for a process."""

import logging
import os
from pathlib import Path
from typing import Annotated

import msgspec

from teaselcove.errors import SettingsError
from teaselcove.ids import HostId, ZoneName

log = logging.getLogger('teaselcove.host')

SETTINGS_VARIABLE = 'TEASELCOVE_CONFIG'
MS_PER_S = 1000
MB = 1024 * 1024

Positive = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]


class WireSizes(msgspec.Struct, rename='camel'):
    """What the machine offers a process."""

    memory_mb: Positive
    max_fds: Positive
    cpu_quota: Positive = 1
    cpu_cores: Positive = 1
    link_speed_mbps: Positive = 1000


class WireSelf(msgspec.Struct, rename='camel'):
    """The host itself."""

    node_name: str
    ip: str
    zone: str
    limits: WireSizes


class WireListen(msgspec.Struct, rename='camel'):
    """Addresses to listen on."""

    # For callers' requests.
    frontend_addr: str
    # For readiness checks.
    ready: str
    # For callers that ask which hosts to use.
    directory_addr: str


class WireNetwork(msgspec.Struct, rename='camel'):
    """Addresses, and all availability zones with their regions."""

    listen_addrs: WireListen
    internal_port_range: tuple[int, int]
    zones: dict[str, str]


class WireStore(msgspec.Struct):
    """The platform's store."""

    address: str


class WirePlatform(msgspec.Struct, rename='camel'):
    """What the platform offers; the inner table is its store."""

    platform: WireStore
    heartbeat_interval_ms: Positive = 1500


class WireBounds(msgspec.Struct, rename='camel'):
    """Bounds of the promises that concern a host."""

    revoke_ms: Positive = 5000
    drain_ms: Positive = 2000
    grace_s: Positive = 6
    quota_window_s: Positive = 5
    quota_overage: NotNegative = 0
    quota_slack: NotNegative = 0
    retry_budget_ratio: NotNegative = 0
    retry_window_s: Positive = 10
    retry_slack: NotNegative = 0
    floor_share: NotNegative = 0


class WireTerms(msgspec.Struct):
    """The promises."""

    bounds: WireBounds


class WireBoot(msgspec.Struct):
    """The file. `self` is a field of the platform."""

    me: WireSelf = msgspec.field(name='self')
    network: WireNetwork
    platform: WirePlatform
    terms: WireTerms


class Bounds(msgspec.Struct, frozen=True):
    """Bounds of the promises, in seconds and shares.

    Attributes:
        revoke: Seconds after which a withdrawn key no longer works.
        drain: Seconds after which a leaving backend server gets no work.
        grace: Seconds between the request to stop and the end by force.
        quota_window: Length in seconds of the window of rates.
        quota_overage: Share by which a window may exceed the rate.
        quota_slack: Requests by which a window may exceed the rate.
        retry_ratio: Second attempts for each request, over the fleet.
        retry_window: Length in seconds of the window of second attempts.
        retry_slack: Second attempts in a window besides, over the fleet.
        floor_share: Share of healthy servers that must stay in use.
    """

    revoke: float
    drain: float
    grace: float
    quota_window: float
    quota_overage: float
    quota_slack: float
    retry_ratio: float
    retry_window: float
    retry_slack: float
    floor_share: float


class Boot(msgspec.Struct, frozen=True):
    """Where a host runs and what it promises.

    Attributes:
        caller_address: IP address and port for callers' requests.
        ready_address: For readiness checks and metrics.
        resolve_address: For callers that ask which hosts to use.
        peer_port: Port for messages between hosts.
        store_address: IP address and port of the platform's store.
        heartbeat_interval: Seconds between heartbeats of backend servers.
        memory_bytes: Memory that the process may use.
        descriptors: Files and sockets that the process may open.
        cores: Processor share in cores.
        link_mbps: Speed of the machine's own link.
    """

    host: HostId
    zone: ZoneName
    zones: tuple[ZoneName, ...]
    ip: str
    caller_address: str
    ready_address: str
    resolve_address: str
    peer_port: int
    store_address: str
    heartbeat_interval: float
    memory_bytes: int
    descriptors: int
    cores: float
    link_mbps: float
    bounds: Bounds


def settings_path() -> Path:
    """Returns where the platform has put the settings.

    Raises:
        SettingsError: If the environment does not say it.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f'the variable {SETTINGS_VARIABLE} is not set')
    return Path(path)


def settings_time() -> int | None:
    """Returns when the settings were written, in nanoseconds of Unix time.

    None while there is no file, as when it is being replaced.
    """
    try:
        return settings_path().stat().st_mtime_ns
    except OSError as error:
        log.warning('no-settings', extra={'figures': {'why': str(error)}})
        return None


def load_boot(path: Path) -> Boot:
    """Reads the settings of a process.

    Raises:
        SettingsError: If the file cannot be read or a field is not valid.
    """
    try:
        payload = path.read_bytes()
    except OSError as error:
        raise SettingsError(f'{path}: {error.strerror}') from error
    return decode_boot(payload, str(path))


def decode_boot(payload: bytes, path: str) -> Boot:
    """Returns the settings of a file's content.

    Raises:
        SettingsError: If a field is missing or not valid.
    """
    try:
        wire = msgspec.json.decode(payload, type=WireBoot)
    except msgspec.MsgspecError as error:
        raise SettingsError(f'{path}: {error}') from error
    bounds = wire.terms.bounds
    return Boot(
        HostId(wire.me.node_name),
        ZoneName(wire.me.zone),
        tuple(ZoneName(zone) for zone in sorted(wire.network.zones)),
        wire.me.ip,
        wire.network.listen_addrs.frontend_addr,
        wire.network.listen_addrs.ready,
        wire.network.listen_addrs.directory_addr,
        wire.network.internal_port_range[0],
        wire.platform.platform.address,
        wire.platform.heartbeat_interval_ms / MS_PER_S,
        int(wire.me.limits.memory_mb * MB),
        int(wire.me.limits.max_fds),
        wire.me.limits.cpu_quota * wire.me.limits.cpu_cores,
        wire.me.limits.link_speed_mbps,
        Bounds(
            bounds.revoke_ms / MS_PER_S,
            bounds.drain_ms / MS_PER_S,
            bounds.grace_s,
            bounds.quota_window_s,
            bounds.quota_overage,
            bounds.quota_slack,
            bounds.retry_budget_ratio,
            bounds.retry_window_s,
            bounds.retry_slack,
            bounds.floor_share,
        ),
    )
