"""Claims that make a call run at most once across hosts and resends."""

from enum import Enum
from typing import Any, Protocol

import msgspec

from teaselcove.errors import Outcome, Refusal
from teaselcove.events import StoredAnswer
from teaselcove.ids import Instant, OrganisationId, RequestId
from teaselcove.kernel import Kernel, services
from teaselcove.registry import Registry


class ClaimState(Enum):
    """Answer to a claim."""

    GRANTED = 'granted'
    PENDING = 'pending'
    RECALLED = 'recalled'
    REFUSED = 'refused'


class ClaimResult(msgspec.Struct, frozen=True):
    """Decision about a claim.

    Attributes:
        answer: The stored answer, when recalled.
        refusal: What to tell the caller, when refused.
    """

    state: ClaimState
    answer: StoredAnswer | None = None
    refusal: Refusal | None = None


class ClaimPolicy(Protocol):
    """Interface of the policies that record claims."""

    def acquire(
        self,
        request_id: RequestId,
        organisation: OrganisationId,
        idempotency_key: str,
        body_digest: bytes,
        now: Instant,
    ) -> ClaimResult:
        """Claims a call before it is sent."""

    def cancel(self, request_id: RequestId, now: Instant) -> bool:
        """Gives up a pending claim; returns whether the key may have run."""

    def may_dial(self, request_id: RequestId, now: Instant) -> bool:
        """Returns whether a granted claim still covers a new attempt."""

    def finish(
        self,
        request_id: RequestId,
        outcome: Outcome,
        answer: StoredAnswer | None,
        now: Instant,
    ) -> None:
        """Records how a claimed call ended."""

    def all_outcomes_confirmed(self) -> bool:
        """Returns whether the owners know how all claims ended."""


claim_policies: Registry[Any] = Registry('claim policy')


@claim_policies.register('none')
class NoClaims:
    """Baseline that grants every claim and keeps nothing."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel

    def acquire(
        self,
        request_id: RequestId,
        organisation: OrganisationId,
        idempotency_key: str,
        body_digest: bytes,
        now: Instant,
    ) -> ClaimResult:
        """Grants the claim."""
        return ClaimResult(ClaimState.GRANTED)

    def cancel(self, request_id: RequestId, now: Instant) -> bool:
        """Returns that nothing is known to have run."""
        return False

    def may_dial(self, request_id: RequestId, now: Instant) -> bool:
        """Returns that any attempt is covered."""
        return True

    def finish(
        self,
        request_id: RequestId,
        outcome: Outcome,
        answer: StoredAnswer | None,
        now: Instant,
    ) -> None:
        """Keeps nothing."""

    def all_outcomes_confirmed(self) -> bool:
        """Returns that there is nothing to wait for."""
        return True


@services.register('claims')
class Claims:
    """Asks the claim policy that the settings choose."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        name = kernel.settings.policies.claims
        self.policy: ClaimPolicy = claim_policies.get(name)(kernel)

    def acquire(
        self,
        request_id: RequestId,
        organisation: OrganisationId,
        idempotency_key: str,
        body_digest: bytes,
        now: Instant,
    ) -> ClaimResult:
        """Claims a call before it is sent."""
        return self.policy.acquire(
            request_id, organisation, idempotency_key, body_digest, now
        )

    def cancel(self, request_id: RequestId, now: Instant) -> bool:
        """Gives up a pending claim; returns whether the key may have run."""
        return self.policy.cancel(request_id, now)

    def may_dial(self, request_id: RequestId, now: Instant) -> bool:
        """Returns whether a granted claim still covers a new attempt."""
        return self.policy.may_dial(request_id, now)

    def finish(
        self,
        request_id: RequestId,
        outcome: Outcome,
        answer: StoredAnswer | None,
        now: Instant,
    ) -> None:
        """Records how a claimed call ended."""
        self.policy.finish(request_id, outcome, answer, now)

    def all_outcomes_confirmed(self) -> bool:
        """Returns whether the owners know how all claims ended."""
        return self.policy.all_outcomes_confirmed()
