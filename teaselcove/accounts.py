"""Tokens, demand and waiting requests of an organisation at one host."""

import math
from collections import deque

import msgspec

from teaselcove.buckets import TOLERANCE, OwnerBucket
from teaselcove.entities import Organisation
from teaselcove.ids import HostId, Incarnation, Instant, RequestId

# Demand is averaged over this time.
DEMAND_TIME_S = 0.5
# Tokens for requests to come cover at most this time.
PREFETCH_S = 0.1
# They cover at most this share of the time in which the burst refills, so
# that small bursts are not spread over hosts that do not need them.
PREFETCH_SHARE = 0.1
# Requests refused at the same time are told times up to this limit.
RETRY_LIMIT_S = 10.0


class Owner(msgspec.Struct, frozen=True):
    """The process at an owner that a grant came from."""

    host: HostId
    incarnation: Incarnation


class HeldGrant(msgspec.Struct):
    """Tokens granted to this host.

    Attributes:
        left: Tokens not used yet.
        expires: When this host must stop using them.
    """

    owner: Owner
    ask_id: int
    left: float
    expires: Instant


class Account:
    """What this host knows about the tokens of an organisation.

    Attributes:
        waiting: Requests that wait for tokens, first come first.
        held: Grants of owners, the oldest first.
        asking: Number of the request for tokens under way, or None.
        tried: Owners that had too few tokens or did not answer this round.
        answered: Whether an owner with authority answered this round.
        blocked: Until when an owner that had too few is not asked.
        used_at: When a token was last used.
    """

    def __init__(self) -> None:
        self.waiting: deque[RequestId] = deque()
        self.held: list[HeldGrant] = []
        self.asking: int | None = None
        self.tried: set[HostId] = set()
        self.answered = False
        self.blocked: dict[HostId, Instant] = {}
        self.used_at = Instant(0)
        self.return_planned = False
        self.demand = float(0)
        self.demand_at = Instant(0)
        self.next_slot = Instant(0)

    def held_tokens(self, now: Instant) -> float:
        """Returns the tokens of grants that have not expired."""
        self.held = [grant for grant in self.held if grant.expires > now]
        return sum(grant.left for grant in self.held)

    def tokens(self, bucket: OwnerBucket | None, now: Instant) -> float:
        """Returns the tokens of grants and of the own bucket."""
        level = bucket.level if bucket else 0
        return self.held_tokens(now) + level

    def admit(self, bucket: OwnerBucket | None, now: Instant) -> bool:
        """Uses one token, from grants first and then from the bucket."""
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
        """Returns in how many seconds a token is likely."""
        earned = now + max(0, 1 - self.tokens(bucket, now)) / rate
        return max(earned, min(self.blocked.values(), default=earned)) - now

    def blocked_hosts(self, now: Instant) -> set[HostId]:
        """Returns the owners that said to ask again later."""
        self.blocked = {
            host: until for host, until in self.blocked.items() if until > now
        }
        return set(self.blocked)

    def end_round(self) -> None:
        """Lets the next request begin with the first owner again."""
        self.tried.clear()
        self.answered = False

    def take_finished(self) -> list[HeldGrant]:
        """Removes and returns the grants that are used up."""
        finished = [grant for grant in self.held if grant.left < TOLERANCE]
        self.held = [grant for grant in self.held if grant.left >= TOLERANCE]
        return finished

    def note_demand(self, now: Instant) -> None:
        """Counts a request into the average demand."""
        elapsed = now - self.demand_at
        self.demand *= math.exp(-elapsed / DEMAND_TIME_S)
        self.demand += 1 / DEMAND_TIME_S
        self.demand_at = now

    def prefetch(self, declared: Organisation) -> int:
        """Returns how many tokens to ask for requests to come."""
        rate = min(self.demand, declared.rate)
        refill = declared.burst / declared.rate
        return math.floor(rate * min(PREFETCH_S, PREFETCH_SHARE * refill))

    def retry_slot(self, rate: float, wait: float, now: Instant) -> float:
        """Returns in how many seconds a refused request should come back.

        Each refused request gets its own time, at the rate, so that those
        that come back do not arrive together and fail again.
        """
        slot = max(now + wait, self.next_slot + 1 / rate)
        self.next_slot = Instant(min(slot, now + RETRY_LIMIT_S))
        return self.next_slot - now
