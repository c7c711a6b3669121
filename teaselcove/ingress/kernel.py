"""Kernel and registry of the services of a host on the platform."""

import logging
from typing import Any

import msgspec

from teaselcove.ids import HostId, ZoneName
from teaselcove.ingress.settings import IngressSettings
from teaselcove.kernel import Kernel
from teaselcove.platform.boot import Boot, Bounds
from teaselcove.registry import Registry

log = logging.getLogger('teaselcove.decisions')

ingress_services: Registry[type] = Registry('ingress service')


class KernelSettings(msgspec.Struct, frozen=True):
    """What the services of a host know of its surroundings."""

    host: HostId
    zone: ZoneName
    zones: tuple[ZoneName, ...]
    bounds: Bounds
    ingress: IngressSettings


def kernel_settings(boot: Boot, settings: IngressSettings) -> KernelSettings:
    """Returns the settings of the services."""
    return KernelSettings(
        boot.host, boot.zone, boot.zones, boot.bounds, settings
    )


class IngressKernel(Kernel):
    """Builds the services of a host and writes their decisions to the log."""

    def __init__(self, settings: KernelSettings, seed: int) -> None:
        super().__init__(settings, seed, registry=ingress_services)

    def decide(self, kind: str, **figures: Any) -> None:
        """Writes the line of a decision."""
        log.info(kind, extra={'figures': figures})
