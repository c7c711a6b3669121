"""The decision core: a kernel with all services registered.

Importing this module fills the registries.
"""

from teaselcove import (
    admission,
    claim_endings,
    claim_owner,
    claim_rounds,
    claim_sync,
    claims,
    configuration,
    drain,
    health,
    keys,
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
    claim_endings,
    claim_owner,
    claim_rounds,
    claim_sync,
    claims,
    configuration,
    drain,
    health,
    keys,
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
