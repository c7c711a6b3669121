"""Graceful shutdown: ends the process when no request is in flight."""

from teaselcove.effects import Exit
from teaselcove.errors import Reason
from teaselcove.events import DrainRequested, PauseDetected
from teaselcove.ids import Instant
from teaselcove.kernel import Kernel, on, services

CHECK_INTERVAL_S = 0.05
# The daemon listens for this long after the drain request: callers with an
# older answer still find the host, and are served.
GRACE_S = 1
# Requests that arrive later than this were not accepted before the listener
# closed, even if their body took a second to arrive.
REFUSE_AFTER_S = 2
# Time for the record that names successors and for the last messages about
# claims. A successor takes over without them too, only later.
HANDOVER_LIMIT_S = 3
# The daemon needs this much of the drain limit to write the last answers.
EXIT_MARGIN_S = 0.5


@services.register('drain')
class Drain:
    """Waits for the requests in flight and the handover, then exits.

    The services `membership`, `requests` and `proposals` react to the drain
    themselves: they tell the peers, refuse late requests and name successors.

    Attributes:
        requested_at: When the drain was requested, or None.
        exit_from: When the process may end at the earliest.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.requested_at: Instant | None = None
        self.exit_from = Instant(0)

    @on(DrainRequested)
    def drain_requested(self, event: DrainRequested, now: Instant) -> None:
        """Starts to wait; a repeated request changes nothing."""
        if self.requested_at is None:
            self.requested_at = now
            self.exit_from = Instant(now + GRACE_S)
            self.kernel.decide('drain', in_flight=self.in_flight())
            self.check(now)

    @on(PauseDetected)
    def pause_detected(self, event: PauseDetected, now: Instant) -> None:
        """Lets requests that waited during a pause be read before the exit."""
        self.exit_from = Instant(now + GRACE_S)

    def check(self, now: Instant) -> None:
        """Exits if nothing is left to do or the limit is reached."""
        elapsed = now - (self.requested_at or now)
        limit = self.kernel.settings.drain_limit - EXIT_MARGIN_S
        may_exit = now >= self.exit_from
        is_over = may_exit and elapsed >= limit
        if is_over:
            self.give_up(now)
        if is_over or (may_exit and self.is_done(elapsed)):
            self.kernel.decide('exit', elapsed=elapsed)
            self.kernel.emit(Exit())
        else:
            self.kernel.call_at(Instant(now + CHECK_INTERVAL_S), self.check)

    def refuses(self, now: Instant) -> bool:
        """Returns whether new requests are refused."""
        since = self.requested_at
        return since is not None and now - since >= REFUSE_AFTER_S

    def in_flight(self) -> int:
        """Returns the number of requests that are not answered."""
        return len(self.kernel.service('requests').states)

    def is_done(self, elapsed: float) -> bool:
        """Returns whether the process may end.

        Args:
            elapsed: Seconds since the drain was requested.
        """
        if self.in_flight():
            return False
        if elapsed >= HANDOVER_LIMIT_S:
            return True
        if self.kernel.service('ownership').own_places():
            return False
        return self.kernel.service('claims').all_outcomes_confirmed()

    def give_up(self, now: Instant) -> None:
        """Refuses the requests that the limit leaves unanswered."""
        requests = self.kernel.service('requests')
        for state in list(requests.states.values()):
            requests.give_up(state, Reason.DRAINING, now)
