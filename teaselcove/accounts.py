"""Tokens, demand and waiting requests of an organisation on one host."""

import math
from collections import deque

import msgspec

from teaselcove.buckets import TOLERANCE, OwnerBucket
from teaselcove.entities import Organisation
from teaselcove.ids import HostId, Incarnation, Instant, RequestId

# Time constant of the exponential average of the demand.
DEMAND_TIME_S = 0.5
# Prefetched tokens cover the demand of at most this time.
PREFETCH_S = 0.1
# They also cover at most this share of the time in which the burst refills,
# so that small bursts are not spread over hosts that do not need them.
PREFETCH_SHARE = 0.1
# Upper limit of the staggered retry times of refused requests.
RETRY_LIMIT_S = 10.0


class Owner(msgspec.Struct, frozen=True):
    """A process that owns slices and grants tokens."""

    host: HostId
    incarnation: Incarnation


class HeldGrant(msgspec.Struct):
    """Tokens granted to this host.

    Attributes:
        left: Tokens not used yet.
        expires: Time after which this host must not use them.
    """

    owner: Owner
    ask_id: int
    left: float
    expires: Instant


class Account:
    """State of an organisation's tokens on this host.

    Attributes:
        waiting: Requests that wait for tokens, in order of arrival.
        held: Grants received from owners, oldest first.
        pending_ask_id: Id of the pending request for tokens, or None.
        tried: Owners with too few tokens or without an answer in this round.
        answered: Whether an owner with authority answered in this round.
        blocked_until: When an owner with too few tokens may be asked again.
        used_at: When a token was last used.
    """

    def __init__(self) -> None:
        self.waiting: deque[RequestId] = deque()
        self.held: list[HeldGrant] = []
        self.pending_ask_id: int | None = None
        self.tried: set[HostId] = set()
        self.answered = False
        self.blocked_until: dict[HostId, Instant] = {}
        self.used_at = Instant(0)
        self.return_planned = False
        self.demand = float(0)
        self.demand_at = Instant(0)
        self.next_retry_at = Instant(0)

    def held_tokens(self, now: Instant) -> float:
        """Removes expired grants; returns the tokens of the others."""
        self.held = [grant for grant in self.held if grant.expires > now]
        return sum(grant.left for grant in self.held)

    def tokens(self, bucket: OwnerBucket | None, now: Instant) -> float:
        """Returns the tokens of grants and of this host's bucket."""
        level = bucket.level if bucket else 0
        return self.held_tokens(now) + level

    def admit(self, bucket: OwnerBucket | None, now: Instant) -> bool:
        """Spends one token, first from grants and then from the bucket."""
        if self.tokens(bucket, now) < 1 - TOLERANCE:
            return False
        missing = float(1)
        for grant in self.held:
            part = min(grant.left, missing)
            grant.left -= part
            missing -= part
        if bucket and missing > 0:
            bucket.spend(missing)
        self.used_at = now
        return True

    def missing(self, bucket: OwnerBucket | None, now: Instant) -> float:
        """Returns how many tokens the waiting requests lack."""
        return max(TOLERANCE, len(self.waiting) - self.tokens(bucket, now))

    def time_to_token(
        self, rate: float, bucket: OwnerBucket | None, now: Instant
    ) -> float:
        """Returns the seconds until a token is probably available."""
        earned = now + max(0, 1 - self.tokens(bucket, now)) / rate
        return (
            max(earned, min(self.blocked_until.values(), default=earned)) - now
        )

    def blocked_hosts(self, now: Instant) -> set[HostId]:
        """Returns the owners that must not be asked again yet."""
        self.blocked_until = {
            host: until
            for host, until in self.blocked_until.items()
            if until > now
        }
        return set(self.blocked_until)

    def end_round(self) -> None:
        """Resets the round, so that the next one starts at the first owner."""
        self.tried.clear()
        self.answered = False

    def take_finished(self) -> list[HeldGrant]:
        """Removes and returns the grants without remaining tokens."""
        finished = [grant for grant in self.held if grant.left < TOLERANCE]
        self.held = [grant for grant in self.held if grant.left >= TOLERANCE]
        return finished

    def record_demand(self, now: Instant) -> None:
        """Adds a request to the average demand."""
        elapsed = now - self.demand_at
        self.demand *= math.exp(-elapsed / DEMAND_TIME_S)
        self.demand += 1 / DEMAND_TIME_S
        self.demand_at = now

    def prefetch(self, declared: Organisation) -> int:
        """Returns the number of tokens to request for expected demand."""
        rate = min(self.demand, declared.rate)
        refill = declared.burst / declared.rate
        return math.floor(rate * min(PREFETCH_S, PREFETCH_SHARE * refill))

    def assign_retry_delay(
        self, rate: float, wait: float, now: Instant
    ) -> float:
        """Returns the seconds after which a refused request should retry.

        Retry times are spaced 1 / rate apart, so that retries do not arrive
        together and fail again.
        """
        retry_at = max(now + wait, self.next_retry_at + 1 / rate)
        self.next_retry_at = Instant(min(retry_at, now + RETRY_LIMIT_S))
        return self.next_retry_at - now
