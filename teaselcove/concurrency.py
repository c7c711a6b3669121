"""How many attempts a host may have in flight while servers shed."""

from teaselcove.attempts import Attempt
from teaselcove.events import AttemptFinished, AttemptResult
from teaselcove.ids import BackendServerId, Instant

# An attempt this old says more about its server than about the load.
STUCK_S = 0.5
# All hosts together at this limit leave some queue at the servers of
# today's deployments, so that no host is starved by the others.
MIN_LIMIT = 3
MAX_LIMIT = 64
DECREASE = 0.8
DECREASE_INTERVAL_S = 0.1
# A single server that sheds may be draining; several are an overload.
SHED_WINDOW_S = 1
SHEDDING_SERVERS = 3


class ConcurrencyLimit:
    """Additive increase and multiplicative decrease on shed calls.

    Hosts with little work stay below the limit, and hosts with much of it
    meet at about the same limit, whatever they ask for.

    Attributes:
        limit: Attempts that may be in flight; infinite without overload.
        young: Start of each attempt that counts, oldest first.
        shed_at: When each server shed a call last.
    """

    def __init__(self) -> None:
        self.limit = float('inf')
        self.young: dict[Instant] = {}
        self.shed_at: dict[BackendServerId, Instant] = {}
        self.decreased_at = Instant(0)

    def may_start(self, now: Instant) -> bool:
        """Returns whether another attempt may start."""
        while self.young:
            oldest = next(iter(self.young))
            if self.young[oldest] > now - STUCK_S:
                break
            self.young.pop(oldest)
        return len(self.young) < self.limit

    def attempt_started(self, attempt: Attempt, now: Instant) -> None:
        """Notes an attempt."""
        self.young[attempt.attempt_id] = now

    def attempt_finished(
        self, attempt: Attempt, event: AttemptFinished, now: Instant
    ) -> None:
        """Adapts the limit to how an attempt ended."""
        in_flight = len(self.young)
        self.young.pop(attempt.attempt_id, None)
        if event.result is AttemptResult.SHED and not event.leaving:
            self.note_shed(attempt.server, in_flight, now)
        elif in_flight + 1 >= self.limit:
            self.limit += 1 / self.limit
            if self.limit > MAX_LIMIT:
                self.limit = float('inf')

    def note_shed(
        self, server: BackendServerId, in_flight: int, now: Instant
    ) -> None:
        """Lowers the limit if several servers shed."""
        self.shed_at[server] = now
        recent = [
            at for at in self.shed_at.values() if at > now - SHED_WINDOW_S
        ]
        if len(recent) < SHEDDING_SERVERS:
            return
        if now - self.decreased_at < DECREASE_INTERVAL_S:
            return
        self.decreased_at = now
        lowered = DECREASE * min(self.limit, in_flight)
        self.limit = max(MIN_LIMIT, lowered)
