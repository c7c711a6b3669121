"""The decision core: a kernel with all services registered.

Importing this module fills the registries.
"""

from teaselcove import (
    admission,
    claims,
    configuration,
    health,
    keys,
    membership,
    placement,
    rates,
    recovery,
    relay,
    requests,
    retries,
    routing,
    snapshots,
    transfers,
)
from teaselcove.kernel import Kernel

SERVICE_MODULES = (
    admission,
    claims,
    configuration,
    health,
    keys,
    membership,
    placement,
    rates,
    recovery,
    relay,
    requests,
    retries,
    routing,
    snapshots,
    transfers,
)

__all__ = ('SERVICE_MODULES', 'Kernel')
