"""Requests that wait for a slot of a backend server.

Load: more requests than slots, for seconds. Requests wait by priority, then
by arrival. One that cannot start early enough to be answered in time is
refused at once, with the time after which the queue will have drained, so
that its caller can come back while there is room.

A queue that does not drain makes every answer late and serves no more requests
than a short one. While a queue stands, only requests that can be answered
within the target latency of their route may wait.
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
# Starts in the window below which the rate says too little to refuse.
MIN_STARTS = 4
# Requests ahead below which a request always waits: a slot may become free
# at any moment.
MIN_AHEAD = 2
# Share of the time left that a request may wait for a slot: the rest is what
# its service usually needs.
WAIT_SHARE = 0.5
# A queue that was not empty for this long in seconds stands. Bursts within the
# capacity drain in less, about the shortest target latency.
STANDING_S = 0.5
# Multiple of the usual service time that is kept for the answer; nine requests
# in ten take less.
SERVICE_FACTOR = 1.5
# Seconds that a request may wait for a slot in any case.
MIN_WAIT_S = 0.1
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 2


class Patience(msgspec.Struct, frozen=True):
    """How long a request may still take.

    Attributes:
        time_left: Seconds until the caller or the route stops waiting.
        target_left: Seconds until its answer has lost a part of its value.
    """

    time_left: float
    target_left: float


class Waiting(msgspec.Struct, eq=False):
    """A request that waits.

    Attributes:
        start_by: Latest start that still leaves time for the answer.
    """

    service: ServiceId
    priority: int
    order: int
    start_by: Instant
    since: Instant

    @property
    def rank(self) -> tuple[int, int]:
        """Its place among the waiting requests."""
        return self.priority, self.order


class StartRate:
    """Requests of a service started per second, over a short window."""

    def __init__(self) -> None:
        self.starts: deque[Instant] = deque()

    def note(self, now: Instant) -> None:
        """Notes that a request has started."""
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
    """Keeps the waiting requests of each service in order.

    Attributes:
        standing_since: Since when the queue of a service is not empty.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.waiting: dict[ServiceId, list[Waiting]] = {}
        self.rates: dict[ServiceId, StartRate] = {}
        self.standing_since: dict[ServiceId, Instant] = {}
        self.orders = itertools.count(1)

    def is_standing(self, service: ServiceId, now: Instant) -> bool:
        """Returns whether the queue of a service does not drain."""
        return now - self.standing_since.get(service, now) > STANDING_S

    def latest_start(
        self, service: ServiceId, patience: Patience, now: Instant
    ) -> Instant:
        """Returns until when a request may wait for a slot."""
        wait = patience.time_left * WAIT_SHARE
        if self.is_standing(service, now):
            usual = self.kernel.service('health').usual_latency(service)
            in_target = patience.target_left - SERVICE_FACTOR * usual
            wait = min(wait, max(MIN_WAIT_S, in_target))
        return Instant(now + wait)

    def offer(
        self,
        service: ServiceId,
        priority: int,
        start_by: Instant,
        now: Instant,
        again: bool = False,
    ) -> Waiting | Refusal:
        """Adds a request to the queue of its service, or refuses it.

        Args:
            service: The service.
            priority: Rank; 0 is served first.
            start_by: Latest start that still leaves time for the answer.
            now: Present time.
            again: Whether it has left the queue before; then it goes before
                others of its rank, since it has used a part of its time.
        """
        queue = self.waiting.setdefault(service, [])
        order = next(self.orders)
        if again:
            order = -order
        waiting = Waiting(service, priority, order, start_by, now)
        place = bisect.bisect(queue, waiting.rank, key=lambda item: item.rank)
        wait = self.expected_wait(service, place, now)
        if now + wait > start_by:
            return not_run(Reason.QUEUE_FULL, self.retry_after(service, now))
        limit = self.kernel.settings.ingress.max_waiting
        if sum(map(len, self.waiting.values())) >= limit:
            return not_run(Reason.QUEUE_FULL, self.retry_after(service, now))
        queue.insert(place, waiting)
        self.standing_since.setdefault(service, now)
        return waiting

    def expected_wait(
        self, service: ServiceId, place: int, now: Instant
    ) -> float:
        """Returns the seconds until the request at a place would start."""
        if place < MIN_AHEAD:
            return 0
        rate = self.rate(service).per_second(now)
        return place / rate if rate else 0

    def retry_after(self, service: ServiceId, now: Instant) -> float:
        """Returns the seconds until the present queue will have drained."""
        queue = self.waiting.get(service, ())
        rate = self.rate(service).per_second(now) or 1
        wait = len(queue) / rate
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait))

    def rate(self, service: ServiceId) -> StartRate:
        """Returns the rate of starts of a service."""
        return self.rates.setdefault(service, StartRate())

    def started(self, service: ServiceId, now: Instant) -> None:
        """Notes that a request of a service has started."""
        self.rate(service).note(now)

    def is_empty(self, service: ServiceId) -> bool:
        """Returns whether no request waits."""
        return not self.waiting.get(service)

    def in_order(self, service: ServiceId) -> list[Waiting]:
        """Returns the waiting requests, first the next to start."""
        return list(self.waiting.get(service, ()))

    def remove(self, waiting: Waiting) -> None:
        """Removes a request that starts or waits no longer."""
        queue = self.waiting.get(waiting.service, [])
        if waiting in queue:
            queue.remove(waiting)
        if not queue:
            self.standing_since.pop(waiting.service, None)
