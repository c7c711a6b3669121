"""Passive health of backend servers, from the results of attempts.

Load: servers that fail most of their requests for seconds while their health
check passes. A server is suspect after one failure and ejected after two in a
row. Non-idempotent requests go to healthy servers; idempotent requests serve as
trials of the others, since a failure there costs only a retry.

Broken connections and overdue answers count in full only at the host that saw
them, since its network path may be the cause. The other hosts mark the server
as suspect, so that the first connection that breaks there ejects it.
"""

from collections import deque

import msgspec

from teaselcove.events import AttemptResult
from teaselcove.ids import BackendServerId, Instant, ServiceId
from teaselcove.ingress.findings import Evidence, Finding, Outcome
from teaselcove.ingress.kernel import ingress_services
from teaselcove.ingress.server_record import (
    EJECT_FAILURES,
    Condition,
    ServerRecord,
)
from teaselcove.kernel import Kernel

SERVER_ERROR_STATUS = 500
# Age in seconds up to which a success is sent to a host that has come into use.
RECENT_SUCCESS_S = 1
# Seconds after the last failure from which a server counts as healthy again for
# any request.
FAILURE_LIFETIME_S = 4
# An attempt is overdue after this multiple of the median service time. One
# request in a hundred takes five times the mean.
OVERDUE_FACTOR = 5
MIN_OVERDUE_S = 1
# Latest answers of a service from which its present service time is taken. The
# averages of the servers follow a general slowdown only after seconds.
RECENT_ANSWERS = 9
# Service time in seconds assumed until one has been measured.
DEFAULT_LATENCY_S = 0.2
# Seconds for which a server gets no requests after a connection attempt was
# refused or timed out, times the path failures in a row.
CONNECT_PAUSE_S = 0.5
# Seconds for which a server gets no requests after a result. One that shed a
# request has a free slot after about a short request. One whose address belongs
# to another server now was removed: its entry expires after three heartbeats of
# 1.5 s.
UNAVAILABLE_S = {AttemptResult.SHED: 0.1, AttemptResult.MISDIRECTED: 5}


PATH_FAILURES = frozenset(
    (AttemptResult.BROKEN, AttemptResult.TIMED_OUT, AttemptResult.MISMATCHED)
)


class RunningAttempt(msgspec.Struct, eq=False):
    """An attempt that has not ended."""

    server: BackendServerId
    service: ServiceId
    started_at: Instant
    is_overdue: bool = False


@ingress_services.register('health')
class Health:
    """Keeps a record of each server and decides when a trial is due.

    Attributes:
        running: Attempts that have not ended.
        unsent_findings: Findings not yet sent to the other hosts.
        recent_latencies: Service times of the latest answers by service.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.records: dict[BackendServerId, ServerRecord] = {}
        self.running: set[RunningAttempt] = set()
        self.unsent_findings: list[Finding] = []
        self.recent_latencies: dict[ServiceId, deque[float]] = {}

    def record(self, server: BackendServerId) -> ServerRecord:
        """Returns the record of a server."""
        return self.records.setdefault(server, ServerRecord())

    def forget(self, server: BackendServerId) -> None:
        """Forgets a server that was removed or restarted."""
        self.records.pop(server, None)

    def condition(self, server: BackendServerId) -> Condition:
        """Returns the current condition of a server."""
        record = self.records.get(server)
        return Condition.HEALTHY if record is None else record.condition

    def is_unavailable(self, server: BackendServerId, now: Instant) -> bool:
        """Returns whether a server would currently refuse a request."""
        record = self.records.get(server)
        return record is not None and now < record.unavailable_until

    def is_due_for_trial(
        self, server: BackendServerId, has_spare_slots: bool, now: Instant
    ) -> bool:
        """Returns whether a server is due for a trial.

        Args:
            server: The server.
            has_spare_slots: Whether the healthy servers have slots to spare.
            now: Present time.
        """
        record = self.records.get(server)
        if record is None:
            return False
        return now >= record.tried_at + record.pause(has_spare_slots)

    def failure_expired(self, server: BackendServerId, now: Instant) -> bool:
        """Returns whether the last failure no longer counts."""
        record = self.records.get(server)
        return record is None or now - record.last_failure > FAILURE_LIFETIME_S

    def time_since_success(
        self, server: BackendServerId, now: Instant
    ) -> float:
        """Returns the seconds since the start of the last success."""
        record = self.records.get(server)
        last = Instant(0) if record is None else record.last_success
        return now - last

    def started(
        self, server: BackendServerId, service: ServiceId, now: Instant
    ) -> RunningAttempt:
        """Records the start of an attempt and postpones the next trial."""
        record = self.record(server)
        record.tried_at = now
        attempt = RunningAttempt(server, service, now)
        self.running.add(attempt)
        return attempt

    def check_overdue(self, now: Instant) -> None:
        """Records a path failure for each newly overdue attempt.

        This detects a server that hangs before the caller's deadline.
        """
        candidates = [
            attempt
            for attempt in self.running
            if not attempt.is_overdue
            and now - attempt.started_at > MIN_OVERDUE_S
        ]
        services = {attempt.service for attempt in candidates}
        limits = {service: self.overdue_after(service) for service in services}
        for attempt in candidates:
            if now - attempt.started_at > limits[attempt.service]:
                attempt.is_overdue = True
                self.record_broken(attempt, now)

    def overdue_after(self, service: ServiceId) -> float:
        """Returns the age in seconds at which an attempt is overdue.

        If the latest answers were slow too, the cause is not a single server.
        """
        recent = sorted(self.recent_latencies.get(service, ()))
        typical = self.median_latency(service)
        if recent:
            typical = max(typical, recent[len(recent) // 2])
        return max(MIN_OVERDUE_S, OVERDUE_FACTOR * typical)

    def finished(
        self,
        attempt: RunningAttempt,
        result: AttemptResult,
        status: int | None,
        now: Instant,
    ) -> None:
        """Records the result of an attempt.

        A server error counts at all hosts. A path failure counts at this host,
        since others may reach the server.
        """
        self.running.discard(attempt)
        server = attempt.server
        if result is AttemptResult.COMPLETE:
            self.record_answer(attempt, status or 0, now)
        elif result is AttemptResult.NOT_SENT:
            self.record_path_failure(attempt, now)
            pause = CONNECT_PAUSE_S * self.record(server).path_failures
            self.record(server).unavailable_until = Instant(now + pause)
        elif result in PATH_FAILURES:
            if not attempt.is_overdue:
                self.record_broken(attempt, now)
        else:
            pause = UNAVAILABLE_S.get(result, 0)
            self.record(server).unavailable_until = Instant(now + pause)

    def record_answer(
        self, attempt: RunningAttempt, status: int, now: Instant
    ) -> None:
        """Records a complete answer and queues it for the other hosts."""
        succeeded = status < SERVER_ERROR_STATUS
        outcome = Outcome.SUCCESS if succeeded else Outcome.FAILED
        finding = Finding(attempt.server, outcome, attempt.started_at)
        record = self.record(attempt.server)
        record.record_answer(attempt.started_at)
        self.record_finding(finding, now)
        self.unsent_findings.append(finding)
        if succeeded:
            elapsed = now - attempt.started_at
            record.record_latency(elapsed)
            recent = self.recent_latencies.setdefault(
                attempt.service, deque(maxlen=RECENT_ANSWERS)
            )
            recent.append(elapsed)

    def record_broken(self, attempt: RunningAttempt, now: Instant) -> None:
        """Records that a server took a request and did not answer it."""
        self.record_path_failure(attempt, now)
        self.unsent_findings.append(
            Finding(attempt.server, Outcome.BROKEN, attempt.started_at)
        )

    def record_path_failure(
        self, attempt: RunningAttempt, now: Instant
    ) -> None:
        """Records an unreachable server or a broken connection."""
        before = self.condition(attempt.server)
        record = self.record(attempt.server)
        record.record_path_failure(attempt.started_at, now)
        self.log_condition_change(attempt.server, before)

    def log_condition_change(
        self, server: BackendServerId, before: Condition
    ) -> None:
        """Logs a change of the condition of a server."""
        after = self.condition(server)
        if after is not before:
            record = self.record(server)
            self.kernel.decide(
                'condition',
                server=server,
                before=before.value,
                after=after.value,
                failures=record.failures,
                path_failures=record.path_failures,
                broken_elsewhere=record.broken_elsewhere,
            )

    def record_finding(self, finding: Finding, now: Instant) -> None:
        """Records a finding of this host or another one."""
        record = self.record(finding.server)
        before = self.condition(finding.server)
        if finding.outcome is Outcome.SUCCESS:
            record.record_success(finding.started_at)
        else:
            record.record_failure(finding, now)
        self.log_condition_change(finding.server, before)

    def median_latency(self, service: ServiceId) -> float:
        """Returns the median service time of a service in seconds."""
        known = self.kernel.service('discovery').by_service.get(service, ())
        records = [self.record(item.server.id) for item in known]
        latencies = sorted(
            record.latency for record in records if record.latency is not None
        )
        if not latencies:
            return DEFAULT_LATENCY_S
        return latencies[len(latencies) // 2]

    def current_evidence(self, now: Instant) -> list[Evidence]:
        """Returns evidence that brings a new host to the same conditions.

        Path failures are left out, since they concern this host's path.

        Args:
            now: Present time.
        """
        findings = []
        for server, record in self.records.items():
            failures = min(record.failures, EJECT_FAILURES)
            failed = Finding(server, Outcome.FAILED, record.failed_start)
            findings.extend(failed for _ in range(failures))
            if not failures and now - record.last_success < RECENT_SUCCESS_S:
                success = Finding(server, Outcome.SUCCESS, record.last_success)
                findings.append(success)
        return [Evidence.of(finding, now) for finding in findings]

    def take_evidence(self, now: Instant) -> list[Evidence]:
        """Returns the findings for the other hosts and clears them."""
        news = [Evidence.of(finding, now) for finding in self.unsent_findings]
        self.unsent_findings = []
        return news
