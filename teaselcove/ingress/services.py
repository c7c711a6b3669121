"""The services of a host on the platform.

Importing this module fills their registry.
"""

from teaselcove.ingress import (
    acceptance,
    balance,
    catalog,
    discovery,
    health,
    members,
    queueing,
    quotas,
    retry_window,
    vouching,
)
from teaselcove.ingress.kernel import IngressKernel, KernelSettings

SERVICE_MODULES = (
    acceptance,
    balance,
    catalog,
    discovery,
    health,
    members,
    queueing,
    quotas,
    retry_window,
    vouching,
)


def build(settings: KernelSettings, seed: int) -> IngressKernel:
    """Returns a kernel with all services of a host."""
    return IngressKernel(settings, seed)
