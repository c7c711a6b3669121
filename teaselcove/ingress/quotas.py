"""Rate limits of organisations, split between the hosts in use.

Load: one organisation sends many times its rate, at all hosts. Each place in
the list of hosts in use has an equal share of every rate and burst. Other
hosts, which only callers with an old list of hosts reach, have a small share
out of the overage that the bound allows. A host that runs out asks the others
for tokens. So the sum never exceeds the bound, even during a network partition.
"""

import math
from collections import Counter

import msgspec

from teaselcove.ids import Instant, OrganisationId
from teaselcove.ingress.entities import IngressOrganisation
from teaselcove.ingress.kernel import ingress_services
from teaselcove.kernel import Kernel
from teaselcove.rates import Bucket

# Share of the bound's overage and slack that the hosts in use spend; the rest
# covers hosts that others do not know to be in use.
SLACK_SHARE = 0.5
# Share of a rate that all hosts not in use have together.
RESERVE_SHARE = 0.05
# Tokens in a bucket at the start of the process. Without any, the first
# requests after a restart would be refused.
INITIAL_TOKENS = 2
MIN_RETRY_AFTER_S = 0.05
# Lower bound of the rate per second from which a wait is computed.
MIN_RATE = 0.02
# Maximum number of tokens from other hosts that a host holds.
MAX_BORROWED = 8
# Seconds after a refusal during which a host needs its tokens itself. It gives
# away only whole tokens of its own bucket; otherwise tokens would be passed
# around between hosts, and each message may be lost.
KEPT_AFTER_REFUSAL_S = 0.5


class Allowance(msgspec.Struct, frozen=True):
    """A host's share of the rate and burst of an organisation."""

    rate: float
    burst: float


@ingress_services.register('quotas')
class Quotas:
    """Keeps a token bucket for each organisation.

    Attributes:
        borrowed: Tokens received from other hosts.
        consecutive_misses: Attempts in a row to take a token that failed.
        refused_at: When a request was last refused, because there was no
            token even after asking the other hosts.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.buckets: dict[OrganisationId, Bucket] = {}
        self.borrowed: dict[OrganisationId, float] = {}
        self.consecutive_misses: Counter[OrganisationId] = Counter()
        self.refused_at: dict[OrganisationId, Instant] = {}

    def allowance(
        self, organisation: IngressOrganisation, now: Instant
    ) -> Allowance:
        """Returns this host's share of an organisation's rate."""
        members = self.kernel.service('members')
        bounds = self.kernel.settings.bounds
        window = bounds.quota_window
        slack = SLACK_SHARE * bounds.quota_slack
        hubs = self.kernel.service('hubs')
        if hubs.is_in_use(now):
            share = 1 / hubs.max_hosts_in_use
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

        A new bucket is refilled as of the start of the process, not of the
        first request.
        """
        allowance = self.allowance(organisation, now)
        capacity = max(1, allowance.burst)
        bucket = self.buckets.get(organisation.id)
        if bucket is None:
            started_at = self.kernel.service('members').started_at
            bucket = Bucket(allowance.rate, capacity, started_at)
            bucket.level = min(INITIAL_TOKENS, capacity)
            self.buckets[organisation.id] = bucket
        bucket.refill(now)
        bucket.rate = allowance.rate
        bucket.capacity = capacity
        bucket.level = min(bucket.level, capacity)
        return bucket

    def held(self, organisation: IngressOrganisation, now: Instant) -> float:
        """Returns the tokens that this host can spend."""
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
            self.consecutive_misses.pop(organisation.id, None)
            self.spend(organisation, 1)
            return None
        self.consecutive_misses[organisation.id] += 1
        if self.consecutive_misses[organisation.id] > 1:
            self.refused_at[organisation.id] = now
        rate = self.buckets[organisation.id].rate
        return max(MIN_RETRY_AFTER_S, missing / max(rate, MIN_RATE))

    def spend(self, organisation: IngressOrganisation, tokens: float) -> None:
        """Spends tokens, those from other hosts first."""
        borrowed = self.borrowed.get(organisation.id, 0)
        self.borrowed[organisation.id] = max(0, borrowed - tokens)
        self.buckets[organisation.id].level -= max(0, tokens - borrowed)

    def give(
        self, organisation: IngressOrganisation, wanted: float, now: Instant
    ) -> float:
        """Takes tokens for another host, including fractions, and returns them.

        They are deducted before the other host adds them, so a lost message can
        lose tokens but never create any. If hosts kept their fractions, hosts
        that together hold a whole token would each refuse a request.
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
        """Adds tokens received from another host."""
        held = self.borrowed.get(organisation.id, 0) + tokens
        self.borrowed[organisation.id] = min(MAX_BORROWED, held)
