"""Rates of organisations, split between the hosts in use.

Load: one organisation sends many times its rate, at all hosts. Each place in
the list of hosts in use holds an equal share of every rate and burst. Other
hosts, which only callers with an old answer reach, hold a small share out of
the overage that the bound allows. A host that runs out asks the others for
tokens. So the sum never exceeds the bound, also while hosts are cut off from
each other.
"""

import math
from collections import Counter

import msgspec

from teaselcove.ids import Instant, OrganisationId
from teaselcove.ingress.entities import IngressOrganisation
from teaselcove.ingress.kernel import ingress_services
from teaselcove.kernel import Kernel
from teaselcove.rates import Bucket

# Share of the bound's overage and slack that the hosts in use spend; the
# rest covers hosts that others do not know to be in use.
SLACK_SHARE = 0.5
# Share of a rate that all other hosts hold together.
RESERVE_SHARE = 0.05
# Requests for which a bucket has tokens at the start of a process. Without
# any, the first requests after a restart would be refused.
FIRST_TOKENS = 2
MIN_RETRY_AFTER_S = 0.05
# Requests per second below which a wait is not worked out from the rate.
MIN_RATE = 0.02
# Tokens of other hosts that a host may hold.
MAX_BORROWED = 8
# A host that has refused a request within this time in seconds needs its tokens
# itself: it gives whole ones of its own only, or they would wander between
# hosts, and each message may be lost.
KEPT_AFTER_REFUSAL_S = 0.5


class Allowance(msgspec.Struct, frozen=True):
    """What a host may spend of an organisation's rate."""

    rate: float
    burst: float


@ingress_services.register('quotas')
class Quotas:
    """Keeps a token bucket for each organisation.

    Attributes:
        borrowed: Tokens that other hosts have given.
        short: Requests in a row that found no token.
        refused_at: When a request was last refused, which is when it found
            none after the other hosts were asked.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.buckets: dict[OrganisationId, Bucket] = {}
        self.borrowed: dict[OrganisationId, float] = {}
        self.short: Counter[OrganisationId] = Counter()
        self.refused_at: dict[OrganisationId, Instant] = {}

    def allowance(
        self, organisation: IngressOrganisation, now: Instant
    ) -> Allowance:
        """Returns this host's part of an organisation's rate."""
        members = self.kernel.service('members')
        bounds = self.kernel.settings.bounds
        window = bounds.quota_window
        slack = SLACK_SHARE * bounds.quota_slack
        if members.is_in_use(now):
            share = 1 / members.max_hosts_in_use(now)
        else:
            share = RESERVE_SHARE / max(1, members.host_count(now))
            slack = 0
        return Allowance(
            organisation.rate * share,
            (organisation.burst + slack) * share
            if organisation.burst
            else max(1, organisation.rate * window * share / 2),
        )

    def bucket(self, organisation: IngressOrganisation, now: Instant) -> Bucket:
        """Returns the refilled bucket of an organisation.

        It counts from the start of the process, whenever the organisation
        sends its first request.
        """
        allowance = self.allowance(organisation, now)
        capacity = max(1, allowance.burst)
        bucket = self.buckets.get(organisation.id)
        if bucket is None:
            started_at = self.kernel.service('members').started_at
            bucket = Bucket(allowance.rate, capacity, started_at)
            bucket.level = min(FIRST_TOKENS, capacity)
            self.buckets[organisation.id] = bucket
        bucket.refill(now)
        bucket.rate = allowance.rate
        bucket.capacity = capacity
        bucket.level = min(bucket.level, capacity)
        return bucket

    def held(self, organisation: IngressOrganisation, now: Instant) -> float:
        """Returns the tokens that this host may spend."""
        level = self.bucket(organisation, now).level
        return level + self.borrowed.get(organisation.id, 0)

    def take(
        self, organisation: IngressOrganisation, now: Instant
    ) -> float | None:
        """Takes a token.

        Returns:
            None if there was one, else the seconds until there is one.
        """
        if not organisation.rate:
            return None
        missing = 1 - self.held(organisation, now)
        if missing <= 0:
            self.short.pop(organisation.id, None)
            self.spend(organisation, 1)
            return None
        self.short[organisation.id] += 1
        if self.short[organisation.id] > 1:
            self.refused_at[organisation.id] = now
        rate = self.buckets[organisation.id].rate
        return max(MIN_RETRY_AFTER_S, missing / max(rate, MIN_RATE))

    def spend(self, organisation: IngressOrganisation, tokens: float) -> None:
        """Takes tokens, those of other hosts first."""
        borrowed = self.borrowed.get(organisation.id, 0)
        self.borrowed[organisation.id] = max(0, borrowed - tokens)
        self.buckets[organisation.id].level -= max(0, tokens - borrowed)

    def give(
        self, organisation: IngressOrganisation, wanted: float, now: Instant
    ) -> float:
        """Takes tokens for another host, also parts of one; returns them.

        They leave this host before the other one adds them, so a message
        that is lost can waste tokens but never make any. With parts kept
        back, hosts that hold a token together would each refuse a request.
        """
        if not organisation.rate:
            return 0
        given = min(wanted, self.held(organisation, now))
        refused_at = self.refused_at.get(
            organisation.id, Instant(float('-inf'))
        )
        if now - refused_at < KEPT_AFTER_REFUSAL_S:
            own = self.buckets[organisation.id].level
            given = min(given, math.floor(own))
        self.spend(organisation, given)
        return given

    def add(self, organisation: IngressOrganisation, tokens: float) -> None:
        """Adds tokens that another host has given."""
        held = self.borrowed.get(organisation.id, 0) + tokens
        self.borrowed[organisation.id] = min(MAX_BORROWED, held)
