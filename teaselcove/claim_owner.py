"""Votes of an owner on claims, and its memory of them."""

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
    """Votes for the places that this process owns and has complete."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.store = ClaimStore()

    @on(ClaimRequest)
    def claim_requested(
        self, sender: HostId, request: ClaimRequest, now: Instant
    ) -> None:
        """Votes once for a key until the claim is released or expires."""
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
        present = self.store.get(request.key, now)
        if present is None:
            claim = StoredClaim(
                request.slice_id,
                (request.claim_id,),
                request.request_digest,
                now,
            )
            stored = self.store.put(request.key, claim)
            return (Verdict.GRANTED if stored else Verdict.NOT_VOTING), None
        if present.holders == (request.claim_id,):
            return Verdict.GRANTED, None
        if present.outcome is None:
            self.query(request, present, now)
        if present.request_digest != request.request_digest:
            return Verdict.CONFLICT, None
        if present.outcome is not None:
            return Verdict.DONE, present.answer
        gone = any(self.is_gone(holder) for holder in present.holders)
        return (Verdict.LOST if gone else Verdict.HELD), None

    def query(
        self, request: ClaimRequest, present: StoredClaim, now: Instant
    ) -> None:
        """Asks the claimants of held claims whether these have ended.

        A release may have been lost, or have overtaken its request.
        """
        for holder in present.holders:
            question = ClaimQuery(
                request.slice_id, holder, request.key, present.request_digest
            )
            send(self.kernel, holder.host, question, now)

    def is_gone(self, claim_id: ClaimId) -> bool:
        """Returns whether the process of a claimant has ended."""
        membership = self.kernel.service('membership')
        if claim_id.host not in membership.hosts:
            return True
        known = membership.incarnation_of(claim_id.host)
        return known is not None and known != claim_id.incarnation

    @on(ClaimEnd)
    def claim_ended(self, sender: HostId, end: ClaimEnd, now: Instant) -> None:
        """Releases a claim that has not run, or keeps how it ended.

        Neither needs authority: a released claim is never dialled again, and
        an outcome stays true.
        """
        if end.claim_id.host != sender:
            return
        present = self.store.get(end.key, now)
        if end.outcome is Outcome.NOT_RUN:
            self.release(present, end)
        elif self.is_news(present, end):
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

    def release(self, present: StoredClaim | None, end: ClaimEnd) -> None:
        """Frees a key from a claim that has not run."""
        if present is None or present.outcome is not None:
            return
        present.holders = tuple(
            holder for holder in present.holders if holder != end.claim_id
        )
        if not present.holders:
            self.store.remove(end.key)

    def is_news(self, present: StoredClaim | None, end: ClaimEnd) -> bool:
        """Returns whether an outcome replaces what is stored.

        It replaces a claim of another claimant that is still held: only one
        of them can have had a majority.
        """
        if present is None or present.outcome is None:
            return True
        same = present.holders == (end.claim_id,)
        return same and present.answer is None and end.answer is not None

    def take_over(
        self, slice_id: SliceId, copy: ClaimCopy, now: Instant
    ) -> bool:
        """Stores the claims of a key at another owner.

        Claims that are held at different owners are all kept: any of them
        may be the one that has a majority.

        Returns:
            Whether there was room.
        """
        present = self.store.get(copy.key, now)
        holders = copy.holders
        if present is not None and copy.outcome is None:
            holders = tuple(sorted({*present.holders, *copy.holders}))
        if present is not None and present.outcome is not None:
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
