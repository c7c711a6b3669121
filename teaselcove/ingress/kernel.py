"""Kernel and service registry of a proxy host."""

import logging
from typing import Any

import msgspec

from teaselcove.ids import HostId, ZoneName
from teaselcove.ingress.settings import IngressSettings
from teaselcove.kernel import Kernel
from teaselcove.platform.boot import BootSettings, Bounds
from teaselcove.registry import Registry

log = logging.getLogger('teaselcove.decisions')

ingress_services: Registry[type] = Registry('ingress service')


class KernelSettings(msgspec.Struct, frozen=True):
    """Settings that the services of a host share.

    Attributes:
        server_heartbeat: Seconds between heartbeats of backend servers.
    """

    host: HostId
    zone: ZoneName
    zones: tuple[ZoneName, ...]
    bounds: Bounds
    ingress: IngressSettings
    server_heartbeat: float


def kernel_settings(
    boot: BootSettings, settings: IngressSettings
) -> KernelSettings:
    """Combines platform settings and host settings for the services."""
    return KernelSettings(
        boot.host,
        boot.zone,
        boot.zones,
        boot.bounds,
        settings,
        boot.heartbeat_interval,
    )


class IngressKernel(Kernel):
    """Builds the services of a host and logs their decisions."""

    def __init__(self, settings: KernelSettings, seed: int) -> None:
        super().__init__(settings, seed, registry=ingress_services)

    def decide(self, kind: str, **figures: Any) -> None:
        """Logs a decision."""
        log.info(kind, extra={'figures': figures})
