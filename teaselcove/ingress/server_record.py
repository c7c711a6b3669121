"""What a host knows of one backend server."""

from enum import Enum

from teaselcove.ids import Instant
from teaselcove.ingress.findings import Finding, Outcome

# Failures in a row after which a server is out.
OUT_FAILURES = 2
# Successes in a row after which a server is well again. At a failure rate of
# three in four, one success would readmit it wrongly in a quarter of trials.
RETURN_SUCCESSES = 3
# Answers in a row after which a host trusts its path to a server again. A
# server that resets half of its connections passes one test in two.
RETURN_ANSWERS = 3
# Successes in a row after which a server that is out is only suspect: a request
# that would have to wait for a slot elsewhere may use it.
PROMISING_SUCCESSES = 2
# Pause before a suspect server is tried again; it doubles with each failure
# in a row up to a maximum. After a success it is short again.
TRIAL_PAUSE_S = 0.2
# The maximum while the slots of working servers are needed.
MAX_TRIAL_PAUSE_S = 0.5
# The maximum while working servers have slots to spare. Faults last 5 to 9 s,
# and a trial that fails costs one of the two attempts that a request has.
RELAXED_TRIAL_PAUSE_S = 2


class Condition(Enum):
    """What a host believes of a server."""

    WELL = 'well'
    SUSPECT = 'suspect'
    OUT = 'out'


class Record:
    """What is known of a server.

    Attributes:
        failures: Failures in a row.
        successes: Successes in a row of attempts that started after the
            last one that failed.
        path_failures: Failures in a row to reach it from this host.
        answers: Answers in a row to this host since the last of them.
        broken_elsewhere: Whether a request of another host broke off there.
        failed_start: Start of the latest attempt that failed.
        last_failure: When a failure was last noted.
        last_success: Start of the latest attempt that succeeded.
        closed_until: When it may get a request again after it refused one.
        tried_at: Start of the last attempt of this host, or when an attempt
            of another one was noted.
        latency: Moving average of the service time in seconds, or None.
    """

    def __init__(self) -> None:
        self.failures = 0
        self.successes = 0
        self.path_failures = 0
        self.answers = 0
        self.broken_elsewhere = False
        self.failed_start = Instant(float('-inf'))
        self.last_failure = Instant(0)
        self.last_success = Instant(0)
        self.closed_until = Instant(0)
        self.tried_at = Instant(0)
        self.latency: float | None = None

    def note_success(self, started_at: Instant) -> None:
        """Notes a success anywhere, unless it says less than a failure."""
        if started_at < self.failed_start:
            return
        self.successes += 1
        self.tried_at = max(self.tried_at, started_at)
        self.last_success = max(self.last_success, started_at)
        if self.successes >= RETURN_SUCCESSES:
            self.failures = 0
            self.broken_elsewhere = False

    def note_reached(self, started_at: Instant) -> None:
        """Notes an answer to this host, unless it says less than a failure."""
        if started_at < self.failed_start:
            return
        self.answers += 1
        if self.answers >= RETURN_ANSWERS:
            self.path_failures = 0

    def note_failure(self, finding: Finding, now: Instant) -> None:
        """Notes an attempt of any host that failed."""
        self.successes = 0
        if finding.outcome is Outcome.BROKEN:
            self.broken_elsewhere = True
        else:
            self.failures += 1
        self.failed_at(finding.started_at, now)

    def note_path_failure(self, started_at: Instant, now: Instant) -> None:
        """Notes that this host could not reach it, or got no answer."""
        self.path_failures += 1
        self.answers = 0
        self.successes = 0
        self.failed_at(started_at, now)

    def failed_at(self, started_at: Instant, now: Instant) -> None:
        """Notes when a failure began and was found."""
        self.last_failure = now
        self.tried_at = now
        self.failed_start = max(self.failed_start, started_at)

    @property
    def condition(self) -> Condition:
        """What this host believes of it."""
        broken = self.path_failures + self.broken_elsewhere
        reached = self.answers >= PROMISING_SUCCESSES
        if broken >= OUT_FAILURES and not reached:
            return Condition.OUT
        promising = self.successes >= PROMISING_SUCCESSES
        if self.failures >= OUT_FAILURES and not promising:
            return Condition.OUT
        return Condition.SUSPECT if self.failures + broken else Condition.WELL

    def pause(self, relaxed: bool) -> float:
        """Returns the seconds between trials.

        Args:
            relaxed: Whether there are slots enough without this server.
        """
        recovering = self.answers if self.path_failures else self.successes
        if recovering:
            return TRIAL_PAUSE_S
        count = max(self.failures, self.path_failures)
        longest = RELAXED_TRIAL_PAUSE_S if relaxed else MAX_TRIAL_PAUSE_S
        return min(longest, TRIAL_PAUSE_S * 2 ** max(0, count - 1))
