"""Which requests a host still sends to servers while it stops.

Load: a planned stop, with requests that arrive late in the grace period or wait
for a slot. One that is sent too late is cut off when the process exits.
"""

from teaselcove.ids import Instant, ServiceId
from teaselcove.ingress.kernel import ingress_services
from teaselcove.kernel import Kernel

# Multiple of the median service time that is left for a request before the
# process exits.
SERVICE_FACTOR = 2


@ingress_services.register('stopping')
class Stopping:
    """Limits when requests start at a server.

    Attributes:
        exit_at: When the process exits, or None if no stop was requested.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.exit_at: Instant | None = None

    def latest_start(self, service: ServiceId) -> Instant:
        """Returns until when a request may start to be answered in time."""
        if self.exit_at is None:
            return Instant(float('inf'))
        latency = self.kernel.service('health').median_latency(service)
        return Instant(self.exit_at - SERVICE_FACTOR * latency)

    def allows_start(self, service: ServiceId, now: Instant) -> bool:
        """Returns whether a request may start now."""
        return now <= self.latest_start(service)
