"""Retry budget, a share of the requests in a sliding window."""

from collections import deque

import msgspec

from teaselcove.ids import Instant, ServiceId
from teaselcove.ingress.kernel import ingress_services
from teaselcove.kernel import Kernel

# Share of the bound that hosts spend; the rest covers attempts that arrive at a
# server later than they were sent.
BUDGET_SHARE = 0.85


class WindowTimes(msgspec.Struct):
    """Times of the requests and retries, including hedges, of a service."""

    requests: deque[Instant] = msgspec.field(default_factory=deque)
    retries: deque[Instant] = msgspec.field(default_factory=deque)


@ingress_services.register('retry-window')
class RetryWindow:
    """Counts the requests and retries of this host by service.

    The part in proportion to requests adds up over the hosts. The fixed part of
    the bound is split between the places in the list of hosts in use.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.by_service: dict[ServiceId, WindowTimes] = {}

    def times(self, service: ServiceId, now: Instant) -> WindowTimes:
        """Returns the times of a service that lie in the window."""
        times = self.by_service.setdefault(service, WindowTimes())
        start = now - self.kernel.settings.bounds.retry_window
        for series in (times.requests, times.retries):
            while series and series[0] < start:
                series.popleft()
        return times

    def record_request(self, service: ServiceId, now: Instant) -> None:
        """Records a request of a caller."""
        self.times(service, now).requests.append(now)

    def allowed(self, service: ServiceId, now: Instant) -> float:
        """Returns the retries that this host may make in the window."""
        bounds = self.kernel.settings.bounds
        hubs = self.kernel.service('hubs')
        slack = float(0)
        if hubs.is_in_use(now):
            slack = bounds.retry_slack / hubs.max_hosts_in_use
        count = len(self.times(service, now).requests)
        return BUDGET_SHARE * (bounds.retry_ratio * count + slack)

    def has_budget(
        self, service: ServiceId, now: Instant, reserve: float = 0
    ) -> bool:
        """Returns whether the budget allows another retry.

        Args:
            service: The service.
            now: Present time.
            reserve: Share of the budget to leave unused.
        """
        spent = len(self.times(service, now).retries)
        return spent + 1 <= (1 - reserve) * self.allowed(service, now)

    def spend(self, service: ServiceId, now: Instant) -> None:
        """Records a retry."""
        self.times(service, now).retries.append(now)
