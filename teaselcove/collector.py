"""Evidence from the calls of one host to the servers of one service."""

import math
from collections import Counter

import msgspec

from teaselcove import evidence
from teaselcove.attempts import Attempt
from teaselcove.events import AttemptResult
from teaselcove.ids import AttemptId, BackendServerId, Instant
from teaselcove.scores import GOOD_RATIO, Tally

SERVER_ERROR_STATUS = 500
MS_PER_S = 1000
# A call in flight is overdue at this multiple of the scale. Below it, calls in
# flight add less evidence than their completion removes.
OVERDUE_RATIO = 3.2
# If a request that failed at one server fails at another within this many
# seconds, the request is the cause.
FAILED_REQUEST_LIFETIME_S = 30

# Faults caused by the server; the network path may cause the others.
SERVER_FAULTS = frozenset((AttemptResult.BROKEN, AttemptResult.MISMATCHED))


class FailedRequest(msgspec.Struct, frozen=True):
    """Server at which a request failed and the time of the failure."""

    server: BackendServerId
    failed_at: Instant


class Collector:
    """Turns the attempts of a host into tallies.

    Attributes:
        in_flight: Attempts in flight.
        pending: Tallies since they were last taken.
        buckets: Latencies of good calls since then.
        good_starts: Latest start of a good call by server.
        resumed_at: End of the last pause of this process; durations that
            include a pause are no evidence about servers.
        stalled: Servers whose last tally had overdue calls.
    """

    def __init__(self) -> None:
        self.in_flight: dict[AttemptId, Attempt] = {}
        self.pending: dict[BackendServerId, Tally] = {}
        self.buckets: Counter[int] = Counter()
        self.good_starts: dict[BackendServerId, Instant] = {}
        self.failed_requests: dict[bytes, FailedRequest] = {}
        self.resumed_at = Instant(0)
        self.stalled: set[BackendServerId] = set()

    def attempt_started(self, attempt: Attempt) -> None:
        """Records the start of an attempt."""
        self.in_flight[attempt.attempt_id] = attempt

    def attempt_finished(
        self,
        attempt: Attempt,
        result: AttemptResult,
        status: int | None,
        scale: float | None,
        now: Instant,
    ) -> None:
        """Records the result of an attempt.

        Args:
            attempt: The attempt.
            result: Its result.
            status: HTTP status of a complete answer.
            scale: Scale of the latencies of the service, if known.
            now: Current time.
        """
        self.in_flight.pop(attempt.attempt_id, None)
        error = (status or 0) >= SERVER_ERROR_STATUS
        if result in SERVER_FAULTS or error:
            self.add_failure(attempt, now)
        elif result is AttemptResult.COMPLETE:
            self.add_good(attempt, scale, now)
        elif result is AttemptResult.SHED:
            self.tally(attempt.server).shed += 1
        else:
            self.add_lost(attempt, result, scale, now)

    def add_failure(self, attempt: Attempt, now: Instant) -> None:
        """Counts a failure unless the request is the cause."""
        if not self.is_request_at_fault(attempt, now):
            self.tally(attempt.server).failed += 1

    def add_lost(
        self,
        attempt: Attempt,
        result: AttemptResult,
        scale: float | None,
        now: Instant,
    ) -> None:
        """Counts an attempt that was not sent or was given up."""
        if result is AttemptResult.NOT_SENT:
            self.tally(attempt.server).unreachable += 1
        if scale and self.is_overdue(attempt, scale, now):
            tally = self.tally(attempt.server)
            age = self.counted_age(attempt, scale, now)
            tally.lost += age
            self.add_age(tally, age)

    def add_good(
        self, attempt: Attempt, scale: float | None, now: Instant
    ) -> None:
        """Counts a good call unless its duration includes a pause."""
        if attempt.started_at < self.resumed_at:
            return
        duration = now - attempt.started_at
        self.buckets[evidence.bucket_of(duration)] += 1
        if scale is None:
            return
        tally = self.tally(attempt.server)
        tally.good += 1
        limited = min(duration, evidence.MAX_RATIO * scale)
        tally.latency += round(limited * MS_PER_S)
        if duration <= GOOD_RATIO * scale:
            latest = self.good_starts.get(attempt.server, attempt.started_at)
            self.good_starts[attempt.server] = max(latest, attempt.started_at)
            age = now - self.good_starts[attempt.server]
            tally.good_age = round(age * MS_PER_S)

    def is_request_at_fault(self, attempt: Attempt, now: Instant) -> bool:
        """Returns whether a request has failed at another server before."""
        digest = attempt.body_digest
        earlier = self.failed_requests.get(digest)
        if earlier and now - earlier.failed_at > FAILED_REQUEST_LIFETIME_S:
            earlier = None
        if earlier is None:
            self.remove_expired(now)
            self.failed_requests[digest] = FailedRequest(attempt.server, now)
        return earlier is not None and earlier.server != attempt.server

    def remove_expired(self, now: Instant) -> None:
        """Removes failed requests older than their lifetime."""
        self.failed_requests = {
            digest: failed
            for digest, failed in self.failed_requests.items()
            if now - failed.failed_at <= FAILED_REQUEST_LIFETIME_S
        }

    def tally(self, server: BackendServerId) -> Tally:
        """Returns the pending tally of a server; creates it if needed."""
        return self.pending.setdefault(server, Tally(server))

    def age(self, attempt: Attempt, now: Instant) -> float:
        """Returns the age of an attempt in seconds, without pauses."""
        return now - max(attempt.started_at, self.resumed_at)

    def add_age(self, tally: Tally, age: int) -> None:
        """Adds the age of a call that shows a fault."""
        tally.newest = min(tally.newest or age, age)
        tally.oldest = max(tally.oldest, age)

    def counted_age(self, attempt: Attempt, scale: float, now: Instant) -> int:
        """Returns the age in milliseconds, limited by `MAX_RATIO`."""
        limit = evidence.MAX_RATIO * scale
        return round(min(self.age(attempt, now), limit) * MS_PER_S)

    def is_overdue(
        self, attempt: Attempt, scale: float | None, now: Instant
    ) -> bool:
        """Returns whether an attempt is overdue and its server may be at fault.

        If a call that was started later was good, the connection or the
        request is at fault.
        """
        if scale is None or self.age(attempt, now) < OVERDUE_RATIO * scale:
            return False
        good_start = self.good_starts.get(attempt.server)
        return good_start is None or good_start < attempt.started_at

    def overdue(self, scale: float | None, now: Instant) -> list[Attempt]:
        """Returns the attempts in flight that are overdue."""
        return [
            attempt
            for attempt in self.in_flight.values()
            if self.is_overdue(attempt, scale, now)
        ]

    def take(self, scale: float | None, now: Instant) -> list[Tally]:
        """Returns the tallies since the last call and starts new ones."""
        if scale is not None:
            for server in self.stalled:
                self.tally(server)
            for attempt in self.overdue(scale, now):
                age = self.counted_age(attempt, scale, now)
                tally = self.tally(attempt.server)
                tally.stalled += age
                self.add_age(tally, age)
        taken = list(self.pending.values())
        self.stalled = {tally.server for tally in taken if tally.stalled}
        self.pending = {}
        return taken

    def is_busy(self) -> bool:
        """Returns whether there are calls in flight or unreported evidence."""
        return bool(
            self.in_flight or self.pending or self.stalled or self.buckets
        )

    def has_faults(
        self, scale: float | None, suspects: frozenset[BackendServerId]
    ) -> bool:
        """Returns whether there is evidence to report at once.

        Args:
            scale: Scale of the latencies of the service, if known.
            suspects: Servers whose good calls are also reported at once.
        """
        slow = MS_PER_S * GOOD_RATIO * (scale or 0)
        return any(
            tally.server in suspects
            or tally.faults
            or tally.latency > slow * max(tally.good, 1)
            for tally in self.pending.values()
        )

    def stall_levels(
        self,
        overdue: list[Attempt],
        scale: float | None,
        step: float,
        now: Instant,
    ) -> dict[BackendServerId, int]:
        """Returns the evidence from overdue attempts in whole steps."""
        ratios: Counter[BackendServerId] = Counter()
        for attempt in overdue:
            ratio = min(
                self.age(attempt, now) / (scale or 1), evidence.MAX_RATIO
            )
            ratios[attempt.server] += ratio  # type: ignore[assignment]
        return {
            server: math.floor(evidence.stall_evidence(ratio) / step)
            for server, ratio in ratios.items()
        }

    def take_buckets(self) -> dict[int, int]:
        """Returns the latencies since the last call and clears them."""
        taken = dict(self.buckets)
        self.buckets.clear()
        return taken
