"""Bounded in-memory store of the claims that an owner has voted for."""

from collections import OrderedDict, defaultdict

import msgspec

from teaselcove.claim_messages import ClaimCopy, ClaimId, ClaimKey
from teaselcove.errors import Outcome
from teaselcove.events import StoredAnswer
from teaselcove.ids import Instant, SliceId

CLAIM_LIFETIME_S = 600
# An entry with its keys, digests and table slots takes about 1 KiB.
ENTRY_BYTES = 1024
HEADER_BYTES = 64
# A quarter of the 32 MB that the control plane may use on a host.
STORE_LIMIT_BYTES = 8 * 1024 * 1024


class StoredClaim(msgspec.Struct):
    """The claims of a key as stored by an owner.

    Attributes:
        holders: The claims that may run, or the one that has ended. An owner
            votes for one; it receives more only from the other owners when
            it becomes the owner of a place.
        outcome: Outcome of the ended claim, or None while claims are held.
        answer: The answer for callers that resend the request.
        updated_at: When the claim was recorded or ended.
    """

    slice_id: SliceId
    holders: tuple[ClaimId, ...]
    request_digest: bytes
    updated_at: Instant
    outcome: Outcome | None = None
    answer: StoredAnswer | None = None


def answer_bytes(answer: StoredAnswer | None) -> int:
    """Returns the memory used by an answer, in bytes."""
    if answer is None:
        return 0
    headers = sum(
        len(name) + len(text) + HEADER_BYTES for name, text in answer.headers
    )
    return len(answer.body) + headers


class ClaimStore:
    """Stores claims by key.

    When the store is full, the oldest answers are dropped first; their claims
    remain and show that the call was run. A claim is never dropped before its
    lifetime has passed: the store rejects new claims instead.

    Attributes:
        claims: Claims by key, in order of expiry.
        keys_by_slice: Keys of the claims of each slice.
        answered: Keys of the claims with an answer, oldest first.
        size: Estimated memory in use, in bytes.
        limit: Maximum size in bytes.
    """

    def __init__(self, limit: int = STORE_LIMIT_BYTES) -> None:
        self.claims: OrderedDict[ClaimKey, StoredClaim] = OrderedDict()
        self.keys_by_slice: defaultdict[SliceId, set[ClaimKey]]
        self.keys_by_slice = defaultdict(set)
        self.answered: OrderedDict[ClaimKey, None] = OrderedDict()
        self.size = 0
        self.limit = limit

    def get(self, key: ClaimKey, now: Instant) -> StoredClaim | None:
        """Returns the claim of a key unless it has expired."""
        self.expire(now)
        return self.claims.get(key)

    def put(self, key: ClaimKey, claim: StoredClaim) -> bool:
        """Stores a claim, replacing an earlier one of the same key.

        Returns:
            Whether the claim was stored.
        """
        required_bytes = ENTRY_BYTES + answer_bytes(claim.answer)
        existing = self.claims.get(key)
        if existing is not None:
            required_bytes -= ENTRY_BYTES + answer_bytes(existing.answer)
        self.drop_answers(required_bytes, key)
        if self.size + required_bytes > self.limit:
            if existing is None:
                return False
            required_bytes -= answer_bytes(claim.answer)
            claim = msgspec.structs.replace(claim, answer=None)
        self.size += required_bytes
        self.claims[key] = claim
        self.claims.move_to_end(key)
        self.keys_by_slice[claim.slice_id].add(key)
        self.answered.pop(key, None)
        if claim.answer is not None:
            self.answered[key] = None
        return True

    def drop_answers(self, required_bytes: int, excluded_key: ClaimKey) -> None:
        """Drops the oldest answers until enough bytes are free."""
        for key in list(self.answered):
            if self.size + required_bytes <= self.limit:
                return
            if key != excluded_key:
                claim = self.claims[key]
                self.size -= answer_bytes(claim.answer)
                claim.answer = None
                self.answered.pop(key)

    def remove(self, key: ClaimKey) -> None:
        """Removes the claim of a key."""
        claim = self.claims.pop(key)
        self.size -= ENTRY_BYTES + answer_bytes(claim.answer)
        self.answered.pop(key, None)
        keys = self.keys_by_slice[claim.slice_id]
        keys.discard(key)
        if not keys:
            self.keys_by_slice.pop(claim.slice_id)

    def expire(self, now: Instant) -> None:
        """Removes the claims whose lifetime has passed.

        A claim copied from another owner may be queued behind newer ones and
        then stays slightly longer than its lifetime.
        """
        while self.claims:
            key, claim = next(iter(self.claims.items()))
            if now - claim.updated_at < CLAIM_LIFETIME_S:
                return
            self.remove(key)

    def page(
        self,
        slice_id: SliceId,
        after: ClaimKey | None,
        limit: int,
        now: Instant,
    ) -> tuple[list[ClaimCopy], bool]:
        """Returns copies of the claims that follow a key, limited in bytes.

        Returns:
            The copies, and whether they are the last ones.
        """
        self.expire(now)
        copies: list[ClaimCopy] = []
        size = 0
        for key in sorted(self.keys_by_slice.get(slice_id, ())):
            if after is not None and key <= after:
                continue
            if size >= limit:
                return copies, False
            claim = self.claims[key]
            copies.append(copy_of(key, claim, now))
            size += ENTRY_BYTES + answer_bytes(claim.answer)
        return copies, True


def copy_of(key: ClaimKey, claim: StoredClaim, now: Instant) -> ClaimCopy:
    """Returns a claim in the form that is sent to another owner."""
    return ClaimCopy(
        key,
        claim.holders,
        claim.request_digest,
        claim.outcome,
        claim.answer,
        now - claim.updated_at,
    )
