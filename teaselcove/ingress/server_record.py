"""Health record of one backend server."""

from enum import Enum

from teaselcove.ids import Instant
from teaselcove.ingress.findings import Finding, Outcome

# Failures in a row after which a server is ejected.
EJECT_FAILURES = 2
# Successes in a row after which a server is healthy again. At a failure rate of
# three in four, one success would readmit it wrongly in a quarter of trials.
READMIT_SUCCESSES = 3
# Answers in a row after which a host's path to a server is healthy again. A
# server that resets half of its connections passes every second trial.
PATH_READMIT_ANSWERS = 3
# Successes in a row after which an ejected server is only suspect: a request
# that would have to wait for a slot elsewhere may use it.
SUSPECT_SUCCESSES = 2
# Seconds between trials of a server. They double with each failure in a row up
# to a maximum; after a success they are short again.
TRIAL_PAUSE_S = 0.2
# Maximum while the slots of the healthy servers are needed.
MAX_TRIAL_PAUSE_S = 0.5
# Maximum while the healthy servers have slots to spare. Faults last 5 to 9 s,
# and a failed trial costs one of the two attempts that a request has.
SPARE_TRIAL_PAUSE_S = 2
# Weight of a new sample in the moving average of the latency.
LATENCY_WEIGHT = 0.2


class Condition(Enum):
    """Condition of a server as seen by one host."""

    HEALTHY = 'well'
    SUSPECT = 'suspect'
    EJECTED = 'out'


class ServerRecord:
    """Results of recent attempts at a server.

    Attributes:
        failures: Failures in a row.
        successes: Successes in a row of attempts that started after the
            last one that failed.
        path_failures: Failures in a row to reach the server from this host.
        answers: Answers in a row to this host since the last path failure.
        broken_elsewhere: Whether a connection of another host broke there.
        failed_start: Start of the latest attempt that failed.
        last_failure: When a failure was last recorded.
        last_success: Start of the latest attempt that succeeded.
        unavailable_until: Time until which the server gets no requests.
        tried_at: Start of the last attempt of this host, or when a result of
            another host was recorded.
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
        self.unavailable_until = Instant(0)
        self.tried_at = Instant(0)
        self.latency: float | None = None

    def record_success(self, started_at: Instant) -> None:
        """Records a success of any host, unless started before a failure."""
        if started_at < self.failed_start:
            return
        self.successes += 1
        self.tried_at = max(self.tried_at, started_at)
        self.last_success = max(self.last_success, started_at)
        if self.successes >= READMIT_SUCCESSES:
            self.failures = 0
            self.broken_elsewhere = False

    def record_answer(self, started_at: Instant) -> None:
        """Records an answer to this host, unless started before a failure."""
        if started_at < self.failed_start:
            return
        self.answers += 1
        if self.answers >= PATH_READMIT_ANSWERS:
            self.path_failures = 0

    def record_latency(self, elapsed: float) -> None:
        """Updates the moving average of the service time."""
        if self.latency is None:
            self.latency = elapsed
        self.latency += LATENCY_WEIGHT * (elapsed - self.latency)

    def record_failure(self, finding: Finding, now: Instant) -> None:
        """Records a failed attempt of any host."""
        self.successes = 0
        if finding.outcome is Outcome.BROKEN:
            self.broken_elsewhere = True
        else:
            self.failures += 1
        self.update_failure_times(finding.started_at, now)

    def record_path_failure(self, started_at: Instant, now: Instant) -> None:
        """Records that this host did not reach the server or got no answer."""
        self.path_failures += 1
        self.answers = 0
        self.successes = 0
        self.update_failure_times(started_at, now)

    def update_failure_times(self, started_at: Instant, now: Instant) -> None:
        """Updates the times of the latest failure and attempt."""
        self.last_failure = now
        self.tried_at = now
        self.failed_start = max(self.failed_start, started_at)

    @property
    def condition(self) -> Condition:
        """The condition that follows from the recent results."""
        broken = self.path_failures + self.broken_elsewhere
        path_recovering = self.answers >= SUSPECT_SUCCESSES
        if broken >= EJECT_FAILURES and not path_recovering:
            return Condition.EJECTED
        recovering = self.successes >= SUSPECT_SUCCESSES
        if self.failures >= EJECT_FAILURES and not recovering:
            return Condition.EJECTED
        return (
            Condition.SUSPECT if self.failures + broken else Condition.HEALTHY
        )

    def pause(self, has_spare_slots: bool) -> float:
        """Returns the seconds between trials of the server.

        Args:
            has_spare_slots: Whether the healthy servers have slots to spare.
        """
        recovering = self.answers if self.path_failures else self.successes
        if recovering:
            return TRIAL_PAUSE_S
        count = max(self.failures, self.path_failures)
        longest = SPARE_TRIAL_PAUSE_S if has_spare_slots else MAX_TRIAL_PAUSE_S
        return min(longest, TRIAL_PAUSE_S * 2 ** max(0, count - 1))
