"""Votes of an owner on claims, and the claims that it stores."""

from teaselcove.claim_messages import (
    ClaimCopy,
    ClaimEnd,
    ClaimEndAck,
    ClaimId,
    ClaimQuery,
    ClaimRequest,
    ClaimVote,
    Verdict,
    send,
)
from teaselcove.claim_store import ClaimStore, StoredClaim
from teaselcove.errors import Outcome
from teaselcove.events import StoredAnswer
from teaselcove.ids import HostId, Instant, SliceId
from teaselcove.kernel import Kernel, on, services


@services.register('claim_owner')
class ClaimOwner:
    """Votes on claims for the owned places whose claims are complete."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.store = ClaimStore()

    @on(ClaimRequest)
    def claim_requested(
        self, sender: HostId, request: ClaimRequest, now: Instant
    ) -> None:
        """Votes for one claim per key until it is released or expires."""
        own = self.kernel.service('membership').incarnation
        if request.owner != own or request.claim_id.host != sender:
            return
        sync = self.kernel.service('claim_sync')
        indices = sync.voting_indices(request.slice_id, now)
        term = sync.term(request.slice_id)
        answer = None
        verdict = Verdict.NOT_VOTING
        if indices and term == request.term:
            verdict, answer = self.vote(request, now)
        vote = ClaimVote(request.claim_id, term, own, indices, verdict, answer)
        send(self.kernel, sender, vote, now)

    def vote(
        self, request: ClaimRequest, now: Instant
    ) -> tuple[Verdict, StoredAnswer | None]:
        """Returns the vote, and the stored answer if there is one."""
        existing = self.store.get(request.key, now)
        if existing is None:
            claim = StoredClaim(
                request.slice_id,
                (request.claim_id,),
                request.request_digest,
                now,
            )
            stored = self.store.put(request.key, claim)
            return (Verdict.GRANTED if stored else Verdict.NOT_VOTING), None
        if existing.holders == (request.claim_id,):
            return Verdict.GRANTED, None
        if existing.outcome is None:
            self.query(request, existing, now)
        if existing.request_digest != request.request_digest:
            return Verdict.CONFLICT, None
        if existing.outcome is not None:
            return Verdict.DONE, existing.answer
        is_lost = any(self.has_ended(holder) for holder in existing.holders)
        return (Verdict.LOST if is_lost else Verdict.HELD), None

    def query(
        self, request: ClaimRequest, existing: StoredClaim, now: Instant
    ) -> None:
        """Queries the claimants of held claims for the outcomes.

        A release may have been lost, or may have arrived before its request.
        """
        for holder in existing.holders:
            question = ClaimQuery(
                request.slice_id, holder, request.key, existing.request_digest
            )
            send(self.kernel, holder.host, question, now)

    def has_ended(self, claim_id: ClaimId) -> bool:
        """Returns whether the process that made a claim has ended."""
        membership = self.kernel.service('membership')
        if claim_id.host not in membership.hosts:
            return True
        known = membership.incarnation_of(claim_id.host)
        return known is not None and known != claim_id.incarnation

    @on(ClaimEnd)
    def claim_ended(self, sender: HostId, end: ClaimEnd, now: Instant) -> None:
        """Releases a claim that has not run, or stores its outcome.

        Neither needs authority: a released claim is never dialled again, and
        an outcome is final.
        """
        if end.claim_id.host != sender:
            return
        existing = self.store.get(end.key, now)
        if end.outcome is Outcome.NOT_RUN:
            self.release(existing, end)
        elif self.replaces_stored(existing, end):
            claim = StoredClaim(
                end.slice_id,
                (end.claim_id,),
                end.request_digest,
                now,
                end.outcome,
                end.answer,
            )
            self.store.put(end.key, claim)
        send(self.kernel, sender, ClaimEndAck(end.claim_id), now)

    def release(self, existing: StoredClaim | None, end: ClaimEnd) -> None:
        """Removes a claim that has not run from its key."""
        if existing is None or existing.outcome is not None:
            return
        existing.holders = tuple(
            holder for holder in existing.holders if holder != end.claim_id
        )
        if not existing.holders:
            self.store.remove(end.key)

    def replaces_stored(
        self, existing: StoredClaim | None, end: ClaimEnd
    ) -> bool:
        """Returns whether an outcome replaces the stored claim.

        It also replaces a held claim of another claimant, because only one of
        them can have had a majority.
        """
        if existing is None or existing.outcome is None:
            return True
        same = existing.holders == (end.claim_id,)
        return same and existing.answer is None and end.answer is not None

    def store_copy(
        self, slice_id: SliceId, copy: ClaimCopy, now: Instant
    ) -> bool:
        """Stores the claims of a key that were copied from another owner.

        Held claims of different owners are all kept, because any of them may
        have a majority.

        Returns:
            Whether the store had enough free capacity.
        """
        existing = self.store.get(copy.key, now)
        holders = copy.holders
        if existing is not None and copy.outcome is None:
            holders = tuple(sorted({*existing.holders, *copy.holders}))
        if existing is not None and existing.outcome is not None:
            return True
        claim = StoredClaim(
            slice_id,
            holders,
            copy.request_digest,
            Instant(now - copy.age),
            copy.outcome,
            copy.answer,
        )
        return self.store.put(copy.key, claim)
