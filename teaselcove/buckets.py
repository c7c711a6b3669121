"""Token bucket of an owner, with the grants that it has given out."""

import math

import msgspec

from teaselcove.ids import HostId, Incarnation, Instant
from teaselcove.shares import Share

# A host uses a grant for this time, counted from its request.
GRANT_LIFETIME_S = 1.0
# Clocks of two hosts may differ in speed by a tenth over a grant's lifetime.
DRIFT_MARGIN_S = 0.1
# Rounding errors of sums of token amounts stay below this.
TOLERANCE = 1e-9
# Denied hosts ask again after this time or when there is a token, whichever
# is later, even if many wait before them.
LONGEST_WAIT_S = 0.5


class GrantKey(msgspec.Struct, frozen=True):
    """Identifies a grant: the process that asked, and its number."""

    host: HostId
    incarnation: Incarnation
    ask_id: int


class Grant(msgspec.Struct, frozen=True):
    """Tokens that another host may still use."""

    amount: float
    expires: Instant


class OwnerShare(msgspec.Struct, frozen=True):
    """The share of one place that the owner holds.

    Attributes:
        active_from: When the owner may begin to earn tokens for it.
    """

    index: int
    epoch: int
    share: Share
    active_from: Instant

    @property
    def place(self) -> tuple[int, int]:
        """Index and epoch, which a new owner never repeats."""
        return self.index, self.epoch


class OwnerBucket:
    """Level and outstanding grants never exceed the capacity together.

    In any window the bucket therefore pays out at most its capacity and what
    it earns in the window, however long grants stay unused.

    Attributes:
        rate: Tokens earned per second.
        capacity: Sum of the capacities of the places held.
        level: Tokens that are neither spent nor granted.
        outstanding: Tokens granted and neither settled nor expired.
        next_slot: When the host that was denied last should ask again.
    """

    def __init__(self, now: Instant) -> None:
        self.rate = float(0)
        self.capacity = 0
        self.level = float(0)
        self.outstanding = float(0)
        self.updated = now
        self.places: frozenset[tuple[int, int]] = frozenset()
        self.grants: dict[GrantKey, Grant] = {}
        self.next_slot = now

    def update(self, slice_owners: list[OwnerShare], now: Instant) -> None:
        """Takes over the places held now, then earns tokens.

        A place that is held under the same epoch as before was held without
        interruption. A new one starts empty when it became active.
        """
        kept = [
            slice_owner
            for slice_owner in slice_owners
            if slice_owner.place in self.places
        ]
        if not kept:
            self.level = float(0)
        self.set_shares(kept)
        self.advance(now)
        self.set_shares(slice_owners)
        for new in slice_owners:
            if new.place not in self.places:
                earned = new.share.rate * (now - new.active_from)
                self.add(min(earned, new.share.capacity))
        self.places = frozenset(
            slice_owner.place for slice_owner in slice_owners
        )

    def set_shares(self, slice_owners: list[OwnerShare]) -> None:
        """Sets rate and capacity to those of some places."""
        self.rate = sum(slice_owner.share.rate for slice_owner in slice_owners)
        self.capacity = sum(
            slice_owner.share.capacity for slice_owner in slice_owners
        )

    def advance(self, now: Instant) -> None:
        """Earns tokens up to a time and drops expired grants on the way.

        Tokens earned before a grant expired have no room beside it, so the
        order of the two matters.
        """
        while self.grants:
            key, grant = next(iter(self.grants.items()))
            if grant.expires > now:
                break
            self.refill(grant.expires)
            self.outstanding -= self.grants.pop(key).amount
        if not self.grants:
            self.outstanding = float(0)
        self.refill(now)

    def refill(self, now: Instant) -> None:
        """Earns tokens up to a time."""
        self.add(max(0, now - self.updated) * self.rate)
        self.updated = max(self.updated, now)

    def add(self, amount: float) -> None:
        """Adds tokens as far as there is room beside the grants."""
        room = max(0, self.capacity - self.outstanding)
        self.level = min(room, self.level + amount)

    def spend(self, amount: float) -> None:
        """Takes tokens that the owner uses itself at once."""
        self.level = max(0, self.level - amount)

    def grant(
        self, key: GrantKey, needed: float, want: float, now: Instant
    ) -> float:
        """Debits tokens for another host; returns their number.

        Args:
            key: The grant; a repeated key gets the same tokens again.
            needed: Tokens for requests that wait.
            want: The needed tokens and those for requests to come, which
                are given only from the upper half of the bucket.
            now: Present time.
        """
        repeated = self.grants.get(key)
        if repeated is not None:
            return repeated.amount
        spare = min(want, self.level - self.capacity / 2)
        amount = min(self.level, max(needed, spare, 0))
        return self.debit(key, amount, now) if amount > TOLERANCE else 0

    def grant_whole(
        self, key: GrantKey, needed: float, want: float, now: Instant
    ) -> float:
        """Grants like `grant`, but no fraction of the needed tokens.

        A host that cannot get the rest elsewhere has no use for a fraction.
        """
        whole = math.floor(self.level + TOLERANCE)
        if key not in self.grants and whole < needed:
            return self.grant(key, whole, whole, now)
        return self.grant(key, needed, want, now)

    def debit(self, key: GrantKey, amount: float, now: Instant) -> float:
        """Moves tokens from the level to the outstanding grants."""
        self.level -= amount
        self.outstanding += amount
        expires = Instant(now + GRANT_LIFETIME_S + DRIFT_MARGIN_S)
        self.grants[key] = Grant(amount, expires)
        return amount

    def slot(self, now: Instant) -> float:
        """Returns in how many seconds a denied host should ask again.

        Denied hosts get times one token apart, so that under overload about
        one host asks for each token.
        """
        if self.rate <= 0:
            return LONGEST_WAIT_S
        earned = now + max(0, 1 - self.level) / self.rate
        self.next_slot = Instant(max(earned, self.next_slot + 1 / self.rate))
        longest = max(LONGEST_WAIT_S, earned - now)
        self.next_slot = Instant(min(self.next_slot, now + longest))
        return self.next_slot - now

    def settle(self, key: GrantKey, returned: float, now: Instant) -> None:
        """Ends a grant; takes back the tokens that were not used."""
        self.advance(now)
        grant = self.grants.pop(key, None)
        if grant is None:
            return
        self.outstanding -= grant.amount
        self.add(min(max(returned, 0), grant.amount))
