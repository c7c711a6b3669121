"""Bounded memory of the claims that an owner has voted for."""

from collections import OrderedDict, defaultdict

import msgspec

from teaselcove.claim_messages import ClaimCopy, ClaimId, ClaimKey
from teaselcove.errors import Outcome
from teaselcove.events import StoredAnswer
from teaselcove.ids import Instant, SliceId

CLAIM_LIFETIME_S = 600
# An entry with its keys, digests and table places takes about 1 KiB.
ENTRY_BYTES = 1024
HEADER_BYTES = 64
# A quarter of the 32 MB that control may take on a host.
STORE_LIMIT_BYTES = 8 * 1024 * 1024


class StoredClaim(msgspec.Struct):
    """The claims of a key in the memory of an owner.

    Attributes:
        holders: The claims that may run, or the one that has ended. An owner
            votes for one; it gets more only from the other owners when it
            takes over a place.
        outcome: How it ended, or None while it is held.
        answer: The answer for callers that send the request again.
        updated_at: When it was recorded or ended.
    """

    slice_id: SliceId
    holders: tuple[ClaimId, ...]
    request_digest: bytes
    updated_at: Instant
    outcome: Outcome | None = None
    answer: StoredAnswer | None = None


def answer_bytes(answer: StoredAnswer | None) -> int:
    """Returns the memory that an answer takes."""
    if answer is None:
        return 0
    headers = sum(
        len(name) + len(text) + HEADER_BYTES for name, text in answer.headers
    )
    return len(answer.body) + headers


class ClaimStore:
    """Claims by key.

    When the memory is full, the oldest answers are dropped first; their
    claims stay and tell that the call was run. A claim is never dropped
    before its lifetime has passed: the store then takes no new ones.

    Attributes:
        claims: Claims by key, in the order in which they expire.
        keys_by_slice: Keys of the claims of each slice.
        size: Bytes that are accounted for.
        limit: Most bytes that the store takes.
    """

    def __init__(self, limit: int = STORE_LIMIT_BYTES) -> None:
        self.claims: OrderedDict[ClaimKey, StoredClaim] = OrderedDict()
        self.keys_by_slice: defaultdict[SliceId, set[ClaimKey]]
        self.keys_by_slice = defaultdict(set)
        self.answered: OrderedDict[ClaimKey, None] = OrderedDict()
        self.size = 0
        self.limit = limit

    def get(self, key: ClaimKey, now: Instant) -> StoredClaim | None:
        """Returns the claim of a key that has not expired."""
        self.expire(now)
        return self.claims.get(key)

    def put(self, key: ClaimKey, claim: StoredClaim) -> bool:
        """Stores a claim in place of an earlier one of the key.

        Returns:
            Whether there was room.
        """
        wanted = ENTRY_BYTES + answer_bytes(claim.answer)
        present = self.claims.get(key)
        if present is not None:
            wanted -= ENTRY_BYTES + answer_bytes(present.answer)
        self.drop_answers(wanted, key)
        if self.size + wanted > self.limit:
            if present is None:
                return False
            wanted -= answer_bytes(claim.answer)
            claim = msgspec.structs.replace(claim, answer=None)
        self.size += wanted
        self.claims[key] = claim
        self.claims.move_to_end(key)
        self.keys_by_slice[claim.slice_id].add(key)
        self.answered.pop(key, None)
        if claim.answer is not None:
            self.answered[key] = None
        return True

    def drop_answers(self, wanted: int, kept: ClaimKey) -> None:
        """Drops the oldest answers until some bytes are free."""
        for key in list(self.answered):
            if self.size + wanted <= self.limit:
                return
            if key != kept:
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

        A claim copied from another owner may stand behind younger ones; it
        then stays a little longer than its lifetime.
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
        """Returns copies of claims with higher keys, up to some bytes.

        Returns:
            The copies, and whether none follow.
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
    """Returns a claim as it is given to another owner."""
    return ClaimCopy(
        key,
        claim.holders,
        claim.request_digest,
        claim.outcome,
        claim.answer,
        now - claim.updated_at,
    )
