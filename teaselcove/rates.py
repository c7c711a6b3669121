"""Rate limits of organisations, enforced across all hosts."""

from enum import Enum
from typing import Any, Protocol

import msgspec

from teaselcove.ids import OPEN_ORGANISATION, Instant, OrganisationId, RequestId
from teaselcove.kernel import Kernel, services
from teaselcove.registry import Registry


class RateState(Enum):
    """State of a request for one token."""

    GRANTED = 'granted'
    REFUSED = 'refused'
    UNAVAILABLE = 'unavailable'
    PENDING = 'pending'


class RateVerdict(msgspec.Struct, frozen=True):
    """Decision of the limiter about one request.

    Attributes:
        retry_after: Seconds until a token is probably available, if refused.
    """

    state: RateState
    retry_after: float | None = None


class Limiter(Protocol):
    """Interface of the policies that enforce rates."""

    def take(
        self,
        request_id: RequestId,
        organisation: OrganisationId,
        now: Instant,
    ) -> RateVerdict:
        """Takes one token from the quota of an organisation."""

    def cancel(self, request_id: RequestId, now: Instant) -> None:
        """Cancels a pending request."""


limiters: Registry[Any] = Registry('limiter')

GRANTED = RateVerdict(RateState.GRANTED)


class Bucket:
    """A token bucket that starts empty.

    Attributes:
        rate: Tokens per second.
        capacity: Maximum number of tokens in the bucket.
        level: Tokens in the bucket at the time of the last update.
    """

    def __init__(self, rate: float, capacity: float, now: Instant) -> None:
        self.rate = rate
        self.capacity = capacity
        self.level = float(0)
        self.updated = now

    def refill(self, now: Instant) -> None:
        """Adds the tokens earned since the last update."""
        earned = max(0, now - self.updated) * self.rate
        self.level = min(self.capacity, self.level + earned)
        self.updated = max(self.updated, now)

    def take(self, now: Instant) -> bool:
        """Takes one token if available; returns whether it did."""
        self.refill(now)
        if self.level < 1:
            return False
        self.level -= 1
        return True


@limiters.register('unlimited')
class UnlimitedLimiter:
    """Grants every request; for experiments without rate limits."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel

    def take(
        self,
        request_id: RequestId,
        organisation: OrganisationId,
        now: Instant,
    ) -> RateVerdict:
        """Grants the request."""
        return GRANTED

    def cancel(self, request_id: RequestId, now: Instant) -> None:
        """Does nothing: no request is ever pending."""


@limiters.register('static')
class StaticLimiter:
    """Splits rate and burst equally among the listed hosts."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.buckets: dict[OrganisationId, Bucket] = {}

    def take(
        self,
        request_id: RequestId,
        organisation: OrganisationId,
        now: Instant,
    ) -> RateVerdict:
        """Takes one token from this host's share."""
        declared = self.kernel.service('configuration').organisation(
            organisation
        )
        hosts = max(1, len(self.kernel.service('membership').hosts))
        bucket = self.buckets.setdefault(organisation, Bucket(0, 0, now))
        bucket.rate = declared.rate / hosts
        bucket.capacity = declared.burst / hosts
        if bucket.take(now):
            return GRANTED
        return RateVerdict(RateState.REFUSED, 1 / bucket.rate)

    def cancel(self, request_id: RequestId, now: Instant) -> None:
        """Does nothing: no request is ever pending."""


@services.register('rates')
class Rates:
    """Delegates to the limiter selected in the settings."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        name = kernel.settings.policies.limiter
        self.limiter: Limiter = limiters.get(name)(kernel)
        # Subscribes the limiter to the events and messages that it handles.
        kernel.add_service('limiter', self.limiter)

    def take(
        self,
        request_id: RequestId,
        organisation: OrganisationId,
        now: Instant,
    ) -> RateVerdict:
        """Takes one token; requests without an API key are not limited."""
        if organisation == OPEN_ORGANISATION:
            return GRANTED
        return self.limiter.take(request_id, organisation, now)

    def cancel(self, request_id: RequestId, now: Instant) -> None:
        """Cancels a pending request."""
        self.limiter.cancel(request_id, now)
