"""Queues of requests that wait for a slot of a backend server.

Load: more requests than slots, for seconds. Requests are queued by priority,
then by arrival. A request that cannot start early enough to be answered in time
is refused at once, with the time in which the queue will have drained, so that
the caller can retry when there is capacity.

A standing queue (one that does not drain) makes every answer late and serves no
more requests than a short one. While a queue is standing, only requests that
can be answered within the target latency of their route may wait.
"""

import bisect
import itertools
from collections import deque

import msgspec

from teaselcove.errors import Reason, Refusal, not_run
from teaselcove.ids import Instant, ServiceId
from teaselcove.ingress.kernel import ingress_services
from teaselcove.kernel import Kernel

# Window in which the rate of starts is measured.
RATE_WINDOW_S = 1
# Starts in the window below which the rate is too uncertain to refuse requests.
MIN_STARTS = 4
# Requests ahead below which the expected wait is 0: a slot may become free at
# any moment.
MIN_AHEAD = 2
# Share of its remaining time that a request may wait for a slot; the service
# usually needs the rest.
WAIT_SHARE = 0.5
# Seconds without being empty after which a queue is standing: about the
# shortest target latency. Bursts within the capacity drain sooner.
STANDING_S = 0.5
# Multiple of the median service time that is reserved for the answer; nine
# requests in ten take less.
SERVICE_FACTOR = 1.5
# Seconds that a request may wait for a slot even in a standing queue.
MIN_WAIT_S = 0.1
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 2


class TimeLimits(msgspec.Struct, frozen=True):
    """Time that is left for a request.

    Attributes:
        time_left: Seconds until the caller or the route stops waiting.
        target_left: Seconds until the target latency of the route has passed.
    """

    time_left: float
    target_left: float


class QueuedRequest(msgspec.Struct, eq=False):
    """A request that waits for a slot.

    Attributes:
        order: Sequence number, negative for a retried request.
        start_by: Latest start that still leaves time for the answer.
        since: When the request was queued.
    """

    service: ServiceId
    priority: int
    order: int
    start_by: Instant
    since: Instant

    @property
    def rank(self) -> tuple[int, int]:
        """The sort key in the queue."""
        return self.priority, self.order


class StartRate:
    """Requests of a service started per second, over a short window."""

    def __init__(self) -> None:
        self.starts: deque[Instant] = deque()

    def record(self, now: Instant) -> None:
        """Records the start of a request."""
        self.starts.append(now)

    def per_second(self, now: Instant) -> float | None:
        """Returns the rate, or None if there were too few starts."""
        while self.starts and self.starts[0] <= now - RATE_WINDOW_S:
            self.starts.popleft()
        if len(self.starts) < MIN_STARTS:
            return None
        return len(self.starts) / RATE_WINDOW_S


@ingress_services.register('queueing')
class Queueing:
    """Keeps a queue of waiting requests for each service.

    Attributes:
        standing_since: Time since which the queue of a service is not empty.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.waiting: dict[ServiceId, list[QueuedRequest]] = {}
        self.rates: dict[ServiceId, StartRate] = {}
        self.standing_since: dict[ServiceId, Instant] = {}
        self.sequence = itertools.count(1)

    def is_standing(self, service: ServiceId, now: Instant) -> bool:
        """Returns whether the queue of a service is standing."""
        return now - self.standing_since.get(service, now) > STANDING_S

    def latest_start(
        self, service: ServiceId, limits: TimeLimits, now: Instant
    ) -> Instant:
        """Returns the time until which a request may wait for a slot."""
        wait = limits.time_left * WAIT_SHARE
        if self.is_standing(service, now):
            median_latency = self.kernel.service('health').median_latency(
                service
            )
            in_target = limits.target_left - SERVICE_FACTOR * median_latency
            wait = min(wait, max(MIN_WAIT_S, in_target))
        latest = self.kernel.service('stopping').latest_start(service)
        return min(Instant(now + wait), latest)

    def enqueue(
        self,
        service: ServiceId,
        priority: int,
        start_by: Instant,
        now: Instant,
        requeued: bool = False,
    ) -> QueuedRequest | Refusal:
        """Adds a request to the queue of its service, or refuses it.

        Args:
            service: The service.
            priority: Rank; 0 is served first.
            start_by: Latest start that still leaves time for the answer.
            now: Present time.
            requeued: Whether the request was tried before. It then goes before
                others of its priority, since part of its time is used.
        """
        queue = self.waiting.setdefault(service, [])
        order = next(self.sequence)
        if requeued:
            order = -order
        waiting = QueuedRequest(service, priority, order, start_by, now)
        position = bisect.bisect(
            queue, waiting.rank, key=lambda item: item.rank
        )
        wait = self.expected_wait(service, position, now)
        if now + wait > start_by:
            return not_run(Reason.QUEUE_FULL, self.retry_after(service, now))
        limit = self.kernel.settings.ingress.max_waiting
        if sum(map(len, self.waiting.values())) >= limit:
            return not_run(Reason.QUEUE_FULL, self.retry_after(service, now))
        queue.insert(position, waiting)
        self.standing_since.setdefault(service, now)
        return waiting

    def expected_wait(
        self, service: ServiceId, position: int, now: Instant
    ) -> float:
        """Returns the expected seconds until a queue position starts."""
        if position < MIN_AHEAD:
            return 0
        rate = self.rate(service).per_second(now)
        return position / rate if rate else 0

    def retry_after(self, service: ServiceId, now: Instant) -> float:
        """Returns the expected seconds until the queue has drained."""
        queue = self.waiting.get(service, ())
        rate = self.rate(service).per_second(now) or 1
        wait = len(queue) / rate
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait))

    def rate(self, service: ServiceId) -> StartRate:
        """Returns the rate of starts of a service."""
        return self.rates.setdefault(service, StartRate())

    def started(self, service: ServiceId, now: Instant) -> None:
        """Records the start of a request of a service."""
        self.rate(service).record(now)

    def is_empty(self, service: ServiceId) -> bool:
        """Returns whether no request of a service waits."""
        return not self.waiting.get(service)

    def in_order(self, service: ServiceId) -> list[QueuedRequest]:
        """Returns the waiting requests in the order in which they start."""
        return list(self.waiting.get(service, ()))

    def remove(self, waiting: QueuedRequest) -> None:
        """Removes a request that has started or no longer waits."""
        queue = self.waiting.get(waiting.service, [])
        if waiting in queue:
            queue.remove(waiting)
        if not queue:
            self.standing_since.pop(waiting.service, None)
