"""Limit of a host's attempts in flight while servers shed load."""

from teaselcove.attempts import Attempt
from teaselcove.events import AttemptFinished, AttemptResult
from teaselcove.ids import BackendServerId, Instant

# An older attempt does not count: it points to a fault of its server rather
# than to the load.
STUCK_ATTEMPT_S = 0.5
# With all hosts at this limit, the servers of current deployments still have
# some requests queued, so that no host is starved by the others.
MIN_LIMIT = 3
MAX_LIMIT = 64
DECREASE = 0.8
DECREASE_INTERVAL_S = 0.1
# A single server that sheds may be draining; several indicate an overload.
SHED_WINDOW_S = 1
SHEDDING_SERVERS = 3


class ConcurrencyLimit:
    """Additive increase, multiplicative decrease (AIMD) on shed calls.

    Lightly loaded hosts stay below the limit. The limits of heavily loaded
    hosts converge to about the same value, whatever their demand.

    Attributes:
        limit: Maximum of attempts in flight; infinite without overload.
        recent_attempts: Start of each attempt that counts, oldest first.
        last_shed_at: When each server last shed a call.
    """

    def __init__(self) -> None:
        self.limit = float('inf')
        self.recent_attempts: dict[Instant] = {}
        self.last_shed_at: dict[BackendServerId, Instant] = {}
        self.decreased_at = Instant(0)

    def may_start(self, now: Instant) -> bool:
        """Returns whether another attempt may start."""
        while self.recent_attempts:
            oldest = next(iter(self.recent_attempts))
            if self.recent_attempts[oldest] > now - STUCK_ATTEMPT_S:
                break
            self.recent_attempts.pop(oldest)
        return len(self.recent_attempts) < self.limit

    def attempt_started(self, attempt: Attempt, now: Instant) -> None:
        """Records the start of an attempt."""
        self.recent_attempts[attempt.attempt_id] = now

    def attempt_finished(
        self, attempt: Attempt, event: AttemptFinished, now: Instant
    ) -> None:
        """Adapts the limit to the result of an attempt."""
        in_flight = len(self.recent_attempts)
        self.recent_attempts.pop(attempt.attempt_id, None)
        if event.result is AttemptResult.SHED and not event.leaving:
            self.record_shed(attempt.server, in_flight, now)
        elif in_flight + 1 >= self.limit:
            self.limit += 1 / self.limit
            if self.limit > MAX_LIMIT:
                self.limit = float('inf')

    def record_shed(
        self, server: BackendServerId, in_flight: int, now: Instant
    ) -> None:
        """Lowers the limit if several servers have shed recently."""
        self.last_shed_at[server] = now
        recent = [
            at for at in self.last_shed_at.values() if at > now - SHED_WINDOW_S
        ]
        if len(recent) < SHEDDING_SERVERS:
            return
        if now - self.decreased_at < DECREASE_INTERVAL_S:
            return
        self.decreased_at = now
        lowered = DECREASE * min(self.limit, in_flight)
        self.limit = max(MIN_LIMIT, lowered)
