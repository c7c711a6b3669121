"""Token bucket of an owner, with its outstanding grants."""

import math

import msgspec

from teaselcove.ids import HostId, Incarnation, Instant
from teaselcove.shares import Share

# A host may use a grant for this time after it asked for it.
GRANT_LIFETIME_S = 1.0
# The clocks of two hosts may drift by a tenth of a grant's lifetime.
DRIFT_MARGIN_S = 0.1
# Upper bound of rounding errors in sums of token amounts.
TOLERANCE = 1e-9
# Denied hosts ask again at the latest after this time or when a token is
# available, whichever is later, however many hosts were denied before them.
MAX_RETRY_DELAY_S = 0.5


class GrantKey(msgspec.Struct, frozen=True):
    """Identifies a grant by the process that asked and its request id."""

    host: HostId
    incarnation: Incarnation
    ask_id: int


class Grant(msgspec.Struct, frozen=True):
    """Tokens that another host may still use."""

    amount: float
    expires: Instant


class OwnerShare(msgspec.Struct, frozen=True):
    """The share of one place that this host owns.

    Attributes:
        active_from: When the owner starts to earn tokens for it.
    """

    index: int
    epoch: int
    share: Share
    active_from: Instant

    @property
    def place(self) -> tuple[int, int]:
        """Index and epoch; the pair is unique to one owner."""
        return self.index, self.epoch


class OwnerBucket:
    """Token bucket whose level plus outstanding grants fit its capacity.

    In any time window, the bucket therefore spends at most its capacity plus
    the tokens earned in the window, however long grants stay unused.

    Attributes:
        rate: Tokens earned per second.
        capacity: Sum of the capacities of the owned places.
        level: Tokens that are neither spent nor granted.
        outstanding: Granted tokens that are neither settled nor expired.
        next_retry_at: When the most recently denied host should ask again.
    """

    def __init__(self, now: Instant) -> None:
        self.rate = float(0)
        self.capacity = 0
        self.level = float(0)
        self.outstanding = float(0)
        self.updated = now
        self.places: frozenset[tuple[int, int]] = frozenset()
        self.grants: dict[GrantKey, Grant] = {}
        self.next_retry_at = now

    def update(self, owner_shares: list[OwnerShare], now: Instant) -> None:
        """Updates the owned places and adds the tokens earned since.

        A place with the same epoch as before was owned without interruption.
        A new place starts empty at the time at which it became active.
        """
        kept = [
            owner_share
            for owner_share in owner_shares
            if owner_share.place in self.places
        ]
        if not kept:
            self.level = float(0)
        self.set_shares(kept)
        self.advance(now)
        self.set_shares(owner_shares)
        for new in owner_shares:
            if new.place not in self.places:
                earned = new.share.rate * (now - new.active_from)
                self.add(min(earned, new.share.capacity))
        self.places = frozenset(
            owner_share.place for owner_share in owner_shares
        )

    def set_shares(self, owner_shares: list[OwnerShare]) -> None:
        """Sets rate and capacity to the sums over the given places."""
        self.rate = sum(owner_share.share.rate for owner_share in owner_shares)
        self.capacity = sum(
            owner_share.share.capacity for owner_share in owner_shares
        )

    def advance(self, now: Instant) -> None:
        """Adds earned tokens and removes expired grants in order of time.

        Until a grant expires it limits how many tokens can be earned, so the
        order matters.
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
        """Adds the tokens earned up to the given time."""
        self.add(max(0, now - self.updated) * self.rate)
        self.updated = max(self.updated, now)

    def add(self, amount: float) -> None:
        """Adds tokens up to the capacity less the outstanding grants."""
        free_capacity = max(0, self.capacity - self.outstanding)
        self.level = min(free_capacity, self.level + amount)

    def spend(self, amount: float) -> None:
        """Removes tokens that the owner itself uses."""
        self.level = max(0, self.level - amount)

    def grant(
        self, key: GrantKey, needed: float, want: float, now: Instant
    ) -> float:
        """Debits tokens for another host; returns the amount.

        Args:
            key: The grant; a repeated key returns the same grant again.
            needed: Tokens for waiting requests.
            want: The needed tokens plus prefetched ones, which are given
                only from the upper half of the bucket.
            now: Current time.
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
        """Grants tokens like `grant`, but only whole ones if too few are left.

        A host that has no other owner to ask cannot use a fraction.
        """
        whole = math.floor(self.level + TOLERANCE)
        if key not in self.grants and whole < needed:
            return self.grant(key, whole, whole, now)
        return self.grant(key, needed, want, now)

    def debit(self, key: GrantKey, amount: float, now: Instant) -> float:
        """Moves tokens from the level to an outstanding grant."""
        self.level -= amount
        self.outstanding += amount
        expires = Instant(now + GRANT_LIFETIME_S + DRIFT_MARGIN_S)
        self.grants[key] = Grant(amount, expires)
        return amount

    def assign_retry_delay(self, now: Instant) -> float:
        """Returns the seconds after which a denied host should ask again.

        The times of denied hosts are 1 / rate apart, so that under overload
        about one host asks for each token.
        """
        if self.rate <= 0:
            return MAX_RETRY_DELAY_S
        earned = now + max(0, 1 - self.level) / self.rate
        self.next_retry_at = Instant(
            max(earned, self.next_retry_at + 1 / self.rate)
        )
        max_delay = max(MAX_RETRY_DELAY_S, earned - now)
        self.next_retry_at = Instant(min(self.next_retry_at, now + max_delay))
        return self.next_retry_at - now

    def settle(self, key: GrantKey, returned: float, now: Instant) -> None:
        """Ends a grant and adds its unused tokens to the bucket."""
        self.advance(now)
        grant = self.grants.pop(key, None)
        if grant is None:
            return
        self.outstanding -= grant.amount
        self.add(min(max(returned, 0), grant.amount))
