"""Graceful shutdown: exits when no request is in flight."""

from teaselcove.effects import Exit
from teaselcove.errors import Reason
from teaselcove.events import DrainRequested, PauseDetected
from teaselcove.ids import Instant
from teaselcove.kernel import Kernel, on, services

CHECK_INTERVAL_S = 0.05
# Time that the daemon keeps listening after the drain request, to serve callers
# with an older answer about which hosts to use.
GRACE_PERIOD_S = 1
# Requests that arrive later than this, counted from the drain request, were not
# accepted before the listener closed, even if their body took a second.
REFUSE_AFTER_S = 2
# Time for the record that names the successors and for the last claim messages.
# Without them a successor takes over as well, only later.
HANDOVER_LIMIT_S = 3
# Part of the drain limit that is reserved for writing the last answers.
EXIT_MARGIN_S = 0.5


@services.register('drain')
class Drain:
    """Waits for the requests in flight and the handover, then exits.

    Other services react to the drain themselves: `membership` announces it to
    the peers, `requests` refuses late requests and `proposals` names
    successors.

    Attributes:
        requested_at: When the drain was requested, or None.
        earliest_exit: Earliest time at which the process may exit.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.requested_at: Instant | None = None
        self.earliest_exit = Instant(0)

    @on(DrainRequested)
    def drain_requested(self, event: DrainRequested, now: Instant) -> None:
        """Starts the drain; a repeated request has no effect."""
        if self.requested_at is None:
            self.requested_at = now
            self.earliest_exit = Instant(now + GRACE_PERIOD_S)
            self.kernel.decide('drain', in_flight=self.in_flight())
            self.check(now)

    @on(PauseDetected)
    def pause_detected(self, event: PauseDetected, now: Instant) -> None:
        """Delays the exit so that requests that arrived in a pause are read."""
        self.earliest_exit = Instant(now + GRACE_PERIOD_S)

    def check(self, now: Instant) -> None:
        """Exits if the drain is complete or its limit is reached."""
        elapsed = now - (self.requested_at or now)
        limit = self.kernel.settings.drain_limit - EXIT_MARGIN_S
        may_exit = now >= self.earliest_exit
        limit_reached = may_exit and elapsed >= limit
        if limit_reached:
            self.refuse_unanswered(now)
        if limit_reached or (may_exit and self.is_done(elapsed)):
            self.kernel.decide('exit', elapsed=elapsed)
            self.kernel.emit(Exit())
        else:
            self.kernel.call_at(Instant(now + CHECK_INTERVAL_S), self.check)

    def refuses(self, now: Instant) -> bool:
        """Returns whether new requests are refused."""
        since = self.requested_at
        return since is not None and now - since >= REFUSE_AFTER_S

    def in_flight(self) -> int:
        """Returns the number of unanswered requests."""
        return len(self.kernel.service('requests').states)

    def is_done(self, elapsed: float) -> bool:
        """Returns whether the drain is complete.

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

    def refuse_unanswered(self, now: Instant) -> None:
        """Refuses the requests that are unanswered at the limit."""
        requests = self.kernel.service('requests')
        for state in list(requests.states.values()):
            requests.give_up(state, Reason.DRAINING, now)
