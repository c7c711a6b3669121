"""The decision core: a kernel with all services registered.

Importing this module fills the registries.
"""

from teaselcove import (
    admission,
    claims,
    configuration,
    escrow,
    grants,
    health,
    keys,
    lease,
    membership,
    ownership,
    placement,
    proposals,
    rates,
    requests,
    retries,
    routing,
)
from teaselcove.kernel import Kernel

SERVICE_MODULES = (
    admission,
    claims,
    configuration,
    escrow,
    grants,
    health,
    keys,
    lease,
    membership,
    ownership,
    placement,
    proposals,
    rates,
    requests,
    retries,
    routing,
)

__all__ = ('SERVICE_MODULES', 'Kernel')
