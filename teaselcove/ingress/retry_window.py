"""Budget of second attempts, a share of the requests of a window."""

from collections import deque

import msgspec

from teaselcove.ids import Instant, ServiceId
from teaselcove.ingress.kernel import ingress_services
from teaselcove.kernel import Kernel

# Share of the bound that hosts spend; the rest covers attempts that arrive
# at a server later than they were sent.
SPENT_SHARE = 0.85


class Times(msgspec.Struct):
    """Times of the requests and second attempts of a service."""

    requests: deque[Instant] = msgspec.field(default_factory=deque)
    again: deque[Instant] = msgspec.field(default_factory=deque)


@ingress_services.register('retry-window')
class RetryWindow:
    """Counts requests and second attempts of this host by service.

    The share of requests adds up over hosts by itself. The fixed part of the
    bound is split between the places in the list of hosts in use.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.by_service: dict[ServiceId, Times] = {}

    def times(self, service: ServiceId, now: Instant) -> Times:
        """Returns what lies in the window of a service."""
        times = self.by_service.setdefault(service, Times())
        start = now - self.kernel.settings.bounds.retry_window
        for series in (times.requests, times.again):
            while series and series[0] < start:
                series.popleft()
        return times

    def note_request(self, service: ServiceId, now: Instant) -> None:
        """Notes a request of a caller."""
        self.times(service, now).requests.append(now)

    def allowed(self, service: ServiceId, now: Instant) -> float:
        """Returns the second attempts allowed in the window."""
        bounds = self.kernel.settings.bounds
        members = self.kernel.service('members')
        slack = float(0)
        if members.is_in_use(now):
            slack = bounds.retry_slack / members.max_hosts_in_use(now)
        count = len(self.times(service, now).requests)
        return SPENT_SHARE * (bounds.retry_ratio * count + slack)

    def has(self, service: ServiceId, now: Instant, spare: float = 0) -> bool:
        """Returns whether a second attempt may be made.

        Args:
            service: The service.
            now: Present time.
            spare: Share of the budget to leave for others.
        """
        spent = len(self.times(service, now).again)
        return spent + 1 <= (1 - spare) * self.allowed(service, now)

    def spend(self, service: ServiceId, now: Instant) -> None:
        """Notes a second attempt."""
        self.times(service, now).again.append(now)
