"""The decision core: a kernel with all services registered.

Importing this module fills the registries.
"""

from teaselcove import (
    admission,
    claims,
    configuration,
    drain,
    escrow,
    fair_queue,
    grants,
    health,
    hedging,
    keys,
    membership,
    ownership,
    placement,
    proposals,
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
    fair_queue,
    drain,
    escrow,
    grants,
    health,
    hedging,
    keys,
    membership,
    ownership,
    placement,
    proposals,
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
