"""Claims granted by a majority, two of the three owners of a slice."""

import functools
import hashlib

import msgspec

from teaselcove.claim_messages import (
    ClaimEnd,
    ClaimId,
    ClaimKey,
    ClaimRequest,
    ClaimVote,
    Verdict,
    send,
)
from teaselcove.claim_store import answer_bytes
from teaselcove.claims import ClaimResult, ClaimState, claim_policies
from teaselcove.errors import Outcome, Reason, Refusal, not_run
from teaselcove.events import StoredAnswer
from teaselcove.ids import (
    HostId,
    Incarnation,
    Instant,
    OrganisationId,
    RequestId,
    SliceId,
    TimerId,
)
from teaselcove.kernel import Kernel, on, services
from teaselcove.slices import SliceOwner

MAJORITY = 2
KEY_DIGEST_BYTES = 16
MAX_STORED_ANSWER_BYTES = 16 * 1024
# A vote takes 2 ms between zones; a lost message costs one round.
ROUND_TIMEOUT_S = 0.1
# Claimants that split the votes release them and retry after a random
# back-off, so that one of them wins; the back-off doubles up to the maximum.
INITIAL_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.16
# A resend waits up to the first limit for a running call, and a claim up to
# the second for two owners. Both are below the usual timeouts of 1 to 2 s, so
# that the caller gets the specific reason instead of an exceeded deadline.
RUNNING_CALL_WAIT_S = 0.8
MAJORITY_WAIT_S = 0.5
RETRY_AFTER_S = 1
# A call must not be dialled under a claim that may be about to expire at the
# owners. The age counts from the request, before the owners record the claim.
MAX_DIAL_AGE_S = 30


class Round(msgspec.Struct):
    """One round of votes.

    Attributes:
        slice_owners: The owners that are asked.
        term: Term of the slice that votes must match.
        granted: Places that voted for the claim.
        replied: Places that sent any vote.
    """

    claim_id: ClaimId
    started_at: Instant
    slice_owners: tuple[SliceOwner, ...]
    term: int
    granted: set[int] = msgspec.field(default_factory=set)
    replied: set[int] = msgspec.field(default_factory=set)


class Claim(msgspec.Struct):
    """A request that has a claim or is waiting for one.

    Attributes:
        since: When the claim was requested.
        current: The round in progress or won, or None between rounds.
        timer: Ends the round or the back-off between rounds.
        is_granted: Whether a round was won.
        may_have_run: Whether an owner has another claim for the key.
        is_lost: Whether the outcome of the other claim is unknown.
    """

    request_id: RequestId
    slice_id: SliceId
    key: ClaimKey
    request_digest: bytes
    since: Instant
    backoff: float = INITIAL_BACKOFF_S
    current: Round | None = None
    timer: TimerId | None = None
    is_granted: bool = False
    may_have_run: bool = False
    is_lost: bool = False


@claim_policies.register('majority')
class MajorityClaims:
    """Grants a claim after two owners have voted for it in the same term."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.claims: dict[RequestId, Claim] = {}
        self.by_number: dict[int, Claim] = {}

    def acquire(
        self,
        request_id: RequestId,
        organisation: OrganisationId,
        idempotency_key: str,
        body_digest: bytes,
        now: Instant,
    ) -> ClaimResult:
        """Starts the first round; the result is always pending."""
        digest = hashlib.blake2b(
            idempotency_key.encode(), digest_size=KEY_DIGEST_BYTES
        ).digest()
        claim = Claim(
            request_id,
            self.kernel.service('ownership').slice_of(organisation),
            ClaimKey(organisation, digest),
            body_digest,
            now,
        )
        self.claims[request_id] = claim
        self.start_round(claim, now)
        return ClaimResult(ClaimState.PENDING)

    def start_round(self, claim: Claim, now: Instant) -> None:
        """Asks all owners for their votes under a new claim id."""
        slice_owners = self.kernel.service('ownership').owners(claim.slice_id)
        term = self.kernel.service('claim_sync').term(claim.slice_id)
        claim_id = self.kernel.service('claim_endings').begin()
        claim.current = Round(claim_id, now, slice_owners, term)
        self.by_number[claim_id.number] = claim
        owners = {
            slice_owner.host: slice_owner.incarnation
            for slice_owner in slice_owners
        }
        for host, incarnation in sorted(owners.items()):
            self.ask(claim, claim.current, host, incarnation, now)
        self.set_timer(claim, now + ROUND_TIMEOUT_S, self.end_round)

    def ask(
        self,
        claim: Claim,
        current: Round,
        host: HostId,
        incarnation: Incarnation,
        now: Instant,
    ) -> None:
        """Sends a request for a vote to one owner."""
        request = ClaimRequest(
            claim.slice_id,
            current.term,
            incarnation,
            current.claim_id,
            claim.key,
            claim.request_digest,
        )
        send(self.kernel, host, request, now)

    def set_timer(self, claim: Claim, at: float, callback: object) -> None:
        """Replaces the claim's timer."""
        if claim.timer is not None:
            self.kernel.cancel(claim.timer)
        claim.timer = self.kernel.call_at(
            Instant(at), functools.partial(self.run_timer, claim, callback)
        )

    def run_timer(self, claim: Claim, callback: object, now: Instant) -> None:
        """Clears the expired timer and runs its callback."""
        claim.timer = None
        callback(claim, now)

    def vote_received(
        self, sender: HostId, vote: ClaimVote, now: Instant
    ) -> None:
        """Counts a vote in the current round."""
        claim = self.by_number.get(vote.claim_id.number)
        if claim is None or claim.is_granted or claim.current is None:
            return
        current = claim.current
        indices = self.voter_indices(current, sender, vote)
        if vote.claim_id != current.claim_id or not indices:
            return
        current.replied |= indices
        if vote.verdict is Verdict.GRANTED and vote.term == current.term:
            current.granted |= indices & set(vote.indices)
        if len(current.granted) >= MAJORITY:
            self.grant(claim, now)
        else:
            self.handle_verdict(claim, vote, now)

    def voter_indices(
        self, current: Round, sender: HostId, vote: ClaimVote
    ) -> set[int]:
        """Returns the places that the voter owns in a round."""
        return {
            slice_owner.index
            for slice_owner in current.slice_owners
            if slice_owner.host == sender
            and slice_owner.incarnation == vote.owner
        }

    def handle_verdict(
        self, claim: Claim, vote: ClaimVote, now: Instant
    ) -> None:
        """Ends the claim or the round if the verdict allows it."""
        if vote.verdict is Verdict.CONFLICT:
            self.refuse(claim, not_run(Reason.CLAIM_CONFLICT), now)
            return
        if vote.verdict is Verdict.DONE and vote.answer is not None:
            result = ClaimResult(ClaimState.RECALLED, vote.answer)
            self.decide(claim, result, now)
            return
        if vote.verdict in {Verdict.DONE, Verdict.LOST}:
            claim.is_lost = True
        if vote.verdict is not Verdict.GRANTED:
            claim.may_have_run |= vote.verdict is not Verdict.NOT_VOTING
        if claim.current and len(claim.current.replied) == len(
            claim.current.slice_owners
        ):
            self.end_round(claim, now)

    def grant(self, claim: Claim, now: Instant) -> None:
        """Grants the claim and passes the decision to the request."""
        claim.is_granted = True
        if claim.timer is not None:
            self.kernel.cancel(claim.timer)
        self.report_decision(claim, ClaimResult(ClaimState.GRANTED), now)

    def end_round(self, claim: Claim, now: Instant) -> None:
        """Releases the votes of a lost round, then retries or refuses."""
        self.end_current(claim, Outcome.NOT_RUN, None, now)
        waited = now - claim.since
        limit = RUNNING_CALL_WAIT_S if claim.may_have_run else MAJORITY_WAIT_S
        if claim.is_lost:
            refusal = Refusal(Outcome.UNKNOWN, Reason.CLAIM_UNKNOWN)
            self.refuse(claim, refusal, now)
        elif waited < limit:
            jitter = self.kernel.random.uniform(1, 2)
            self.set_timer(
                claim, now + claim.backoff * jitter, self.start_round
            )
            claim.backoff = min(MAX_BACKOFF_S, claim.backoff * 2)
        elif claim.may_have_run:
            refusal = Refusal(
                Outcome.UNKNOWN, Reason.CLAIM_RUNNING, RETRY_AFTER_S
            )
            self.refuse(claim, refusal, now)
        else:
            refusal = not_run(Reason.CLAIM_UNAVAILABLE, RETRY_AFTER_S)
            self.refuse(claim, refusal, now)

    def refuse(self, claim: Claim, refusal: Refusal, now: Instant) -> None:
        """Refuses a claim."""
        result = ClaimResult(ClaimState.REFUSED, refusal=refusal)
        self.decide(claim, result, now)

    def decide(self, claim: Claim, result: ClaimResult, now: Instant) -> None:
        """Ends a claim and passes the decision to its request."""
        self.end_claim(claim, Outcome.NOT_RUN, None, now)
        self.report_decision(claim, result, now)

    def report_decision(
        self, claim: Claim, result: ClaimResult, now: Instant
    ) -> None:
        """Logs the decision about a claim and passes it to the request."""
        self.kernel.decide(
            'claim',
            request=claim.request_id,
            organisation=claim.key.organisation,
            state=result.state.value,
            waited=now - claim.since,
        )
        self.kernel.service('requests').claim_decided(
            claim.request_id, result, now
        )

    def cancel(self, request_id: RequestId, now: Instant) -> bool:
        """Cancels a pending claim; returns whether the call may have run."""
        claim = self.claims.get(request_id)
        if claim is None:
            return False
        self.end_claim(claim, Outcome.NOT_RUN, None, now)
        return claim.may_have_run

    def end_claim(
        self,
        claim: Claim,
        outcome: Outcome,
        answer: StoredAnswer | None,
        now: Instant,
    ) -> None:
        """Removes a claim and ends it at the owners."""
        self.claims.pop(claim.request_id, None)
        if claim.timer is not None:
            self.kernel.cancel(claim.timer)
            claim.timer = None
        self.end_current(claim, outcome, answer, now)

    def end_current(
        self,
        claim: Claim,
        outcome: Outcome,
        answer: StoredAnswer | None,
        now: Instant,
    ) -> None:
        """Sends the outcome of the current round's claim to the owners.

        Sends it to the current owners as well as to those that were asked,
        because a new owner may have copied the claim.
        """
        current = claim.current
        if current is None:
            return
        claim.current = None
        self.by_number.pop(current.claim_id.number)
        end = ClaimEnd(
            claim.slice_id,
            current.claim_id,
            claim.key,
            claim.request_digest,
            outcome,
            answer,
        )
        current_owners = self.kernel.service('ownership').owners(claim.slice_id)
        hosts = {
            slice_owner.host
            for slice_owner in (*current.slice_owners, *current_owners)
        }
        self.kernel.service('claim_endings').end(end, hosts, now)

    def may_dial(self, request_id: RequestId, now: Instant) -> bool:
        """Returns whether a granted claim still covers a new attempt."""
        claim = self.claims.get(request_id)
        if claim is None or claim.current is None:
            return False
        return now - claim.current.started_at <= MAX_DIAL_AGE_S

    def finish(
        self,
        request_id: RequestId,
        outcome: Outcome,
        answer: StoredAnswer | None,
        now: Instant,
    ) -> None:
        """Records the outcome of a claimed call, without a large answer."""
        claim = self.claims.get(request_id)
        if claim is not None:
            if answer_bytes(answer) > MAX_STORED_ANSWER_BYTES:
                answer = None
            self.end_claim(claim, outcome, answer, now)

    def all_outcomes_confirmed(self) -> bool:
        """Returns whether no outcome awaits confirmation by the owners."""
        return not self.kernel.service('claim_endings').unconfirmed


@services.register('claim_votes')
class ClaimVotes:
    """Passes votes to the claim policy if it counts votes."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel

    @on(ClaimVote)
    def vote_received(
        self, sender: HostId, vote: ClaimVote, now: Instant
    ) -> None:
        """Passes a vote to the policy."""
        policy = self.kernel.service('claims').policy
        if isinstance(policy, MajorityClaims):
            policy.vote_received(sender, vote, now)
