"""Loads the settings file that the platform writes for a process."""

import logging
import os
import time
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import msgspec

from teaselcove.decoding import decoding
from teaselcove.errors import CodecError, SettingsError
from teaselcove.ids import HostId, ZoneName
from teaselcove.platform.addresses import MAX_PORT

log = logging.getLogger('teaselcove.host')

SETTINGS_VARIABLE = 'TEASELCOVE_CONFIG'
MS_PER_S = 1000
# Checks of a settings file that is not valid at the start, and the seconds
# between two of them.
REPLACE_CHECKS = 50
REPLACE_CHECK_S = 0.1
MB = 1024 * 1024

Positive = Annotated[float, msgspec.Meta(gt=0)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]


class WireSizes(msgspec.Struct, rename='camel'):
    """Resource limits of the process."""

    memory_mb: Positive
    max_fds: Positive
    cpu_quota: Positive = 1
    cpu_cores: Positive = 1
    link_speed_mbps: Positive = 1000


class WireSelf(msgspec.Struct, rename='camel'):
    """Identity and limits of the host."""

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
    # For callers that resolve the hosts to use.
    directory_addr: str


class WireNetwork(msgspec.Struct, rename='camel'):
    """Listen addresses, and all availability zones with their regions."""

    listen_addrs: WireListen
    internal_port_range: tuple[int, int]
    zones: dict[str, str]


class WireStore(msgspec.Struct):
    """Address of the platform's store."""

    address: str


class WirePlatform(msgspec.Struct, rename='camel'):
    """Platform services; the nested `platform` table is the store."""

    platform: WireStore
    heartbeat_interval_ms: Positive = 1500


class WireBounds(msgspec.Struct, rename='camel'):
    """Service-level bounds that a host must meet."""

    revoke_ms: Positive = 5000
    drain_ms: Positive = 2000
    grace_s: Positive = 6
    quota_window_s: Positive = 5
    quota_overage: NonNegative = 0
    quota_slack: NonNegative = 0
    retry_budget_ratio: NonNegative = 0
    retry_window_s: Positive = 10
    retry_slack: NonNegative = 0
    floor_share: NonNegative = 0


class WireTerms(msgspec.Struct):
    """Service-level terms."""

    bounds: WireBounds


class WireBoot(msgspec.Struct):
    """The whole settings file, which calls the host `self`."""

    me: WireSelf = msgspec.field(name='self')
    network: WireNetwork
    platform: WirePlatform
    terms: WireTerms


class Bounds(msgspec.Struct, frozen=True):
    """Service-level bounds, in seconds and shares.

    Attributes:
        revoke: Seconds after which a withdrawn key no longer works.
        drain: Seconds after which a draining backend server gets no requests.
        grace: Grace period: seconds between the stop request and a kill.
        quota_window: Length in seconds of the rate limit window.
        quota_overage: Share by which requests in a window may exceed the rate.
        quota_slack: Number of requests in a window allowed above the rate.
        retry_ratio: Retry budget: retries per request, across the fleet.
        retry_window: Length in seconds of the retry budget window.
        retry_slack: Extra retries in a window, across the fleet.
        floor_share: Minimum share of healthy servers that stay in use.
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


class BootSettings(msgspec.Struct, frozen=True):
    """Settings of a host from the platform.

    Attributes:
        caller_address: IP address and port for callers' requests.
        ready_address: IP address and port for readiness checks and metrics.
        resolve_address: IP address and port for host resolution by callers.
        peer_ports: Ports of which one is for messages between hosts.
        store_address: IP address and port of the platform's store.
        heartbeat_interval: Seconds between heartbeats of backend servers.
        memory_bytes: Memory limit of the process.
        descriptors: Limit of open files and sockets.
        cores: CPU quota in cores.
        link_mbps: Network link speed of the machine in Mbit/s.
    """

    host: HostId
    zone: ZoneName
    zones: tuple[ZoneName, ...]
    ip: str
    caller_address: str
    ready_address: str
    resolve_address: str
    peer_ports: range
    store_address: str
    heartbeat_interval: float
    memory_bytes: int
    descriptors: int
    cores: float
    link_mbps: float
    bounds: Bounds


def port_range(first: int, last: int) -> range:
    """Returns the ports from the first to the last one.

    Raises:
        SettingsError: If there is none.
    """
    if not (0 < first <= last and last <= MAX_PORT):
        raise SettingsError(f'internalPortRange: no port in {first} to {last}')
    return range(first, last + 1)


def settings_path() -> Path:
    """Returns the path of the settings file from the environment.

    Raises:
        SettingsError: If the environment variable is not set.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(
            f'environment variable {SETTINGS_VARIABLE} is not set'
        )
    return Path(path)


def settings_modified_ns() -> int | None:
    """Returns when the settings file was modified, in Unix nanoseconds.

    Returns None if the file is missing, for example while it is replaced.
    """
    try:
        return settings_path().stat().st_mtime_ns
    except OSError as error:
        log.warning('no-settings', extra={'figures': {'why': str(error)}})
        return None


def load_boot(path: Path) -> BootSettings:
    """Loads the settings file.

    Raises:
        SettingsError: If the file cannot be read or a field is not valid.
    """
    try:
        payload = path.read_bytes()
    except OSError as error:
        raise SettingsError(f'{path}: {error.strerror}') from error
    return decode_boot(payload, str(path))


def wait_for_boot(
    path: Path, is_stopping: Callable[[], bool]
) -> BootSettings | None:
    """Loads the settings file; waits a while if it is not valid.

    The platform may be replacing the file while the process starts.

    Args:
        path: Path of the file.
        is_stopping: Returns whether a stop was requested.

    Returns:
        The settings, or None if a stop was requested first.

    Raises:
        SettingsError: If the file is still not valid after the wait.
    """
    for _ in range(REPLACE_CHECKS):
        try:
            return load_boot(path)
        except SettingsError as error:
            log.warning('settings are tried again: %s', error)
        if is_stopping():
            return None
        time.sleep(REPLACE_CHECK_S)
    return load_boot(path)


def decode_boot(payload: bytes, path: str) -> BootSettings:
    """Decodes the content of a settings file.

    Raises:
        SettingsError: If a field is missing or not valid.
    """
    try:
        with decoding(path):
            wire = msgspec.json.decode(payload, type=WireBoot)
    except CodecError as error:
        raise SettingsError(str(error)) from error
    bounds = wire.terms.bounds
    return BootSettings(
        HostId(wire.me.node_name),
        ZoneName(wire.me.zone),
        tuple(ZoneName(zone) for zone in sorted(wire.network.zones)),
        wire.me.ip,
        wire.network.listen_addrs.frontend_addr,
        wire.network.listen_addrs.ready,
        wire.network.listen_addrs.directory_addr,
        port_range(*wire.network.internal_port_range),
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
