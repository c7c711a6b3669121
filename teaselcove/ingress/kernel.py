"""Registry of the services of a host on the platform."""

import msgspec

from teaselcove.ids import HostId, ZoneName
from teaselcove.ingress.settings import IngressSettings
from teaselcove.platform.boot import Boot, Bounds
from teaselcove.registry import Registry

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
