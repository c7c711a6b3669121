"""The decision core: a kernel with all services registered.

Importing this module fills the registries.
"""

from teaselcove import (
    acceptance,
    admission,
    claim_endings,
    claim_owner,
    claim_rounds,
    claim_sync,
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
    acceptance,
    admission,
    claim_endings,
    claim_owner,
    claim_rounds,
    claim_sync,
    claims,
    configuration,
    drain,
    escrow,
    grants,
    fair_queue,
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
