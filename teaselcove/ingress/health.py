"""Health of backend servers, judged by what real work shows.

Load: servers that fail most of their requests for seconds while their health
check is good. A server is suspect after one failure and out after two in a
row. Requests that may run once go to servers that are well; requests that may
be repeated try the others again, since a failure there costs a retry only.

Broken connections and silence count for the host that met them, since its path
may be the cause. The other hosts only suspect the server, so that the first
request that breaks off there puts it out.
"""

import msgspec

from teaselcove.events import AttemptResult
from teaselcove.ids import BackendServerId, Instant, ServiceId
from teaselcove.ingress.findings import Evidence, Finding, Outcome
from teaselcove.ingress.kernel import ingress_services
from teaselcove.ingress.server_record import OUT_FAILURES, Condition, Record
from teaselcove.kernel import Kernel

SERVER_ERROR_STATUS = 500
# A success within this time is worth telling a host that has just started.
RECENT_S = 1
# A server that nobody has tried for this long is tried by any request.
FORGIVE_S = 4
# Weight of a new latency in the moving average.
LATENCY_GAIN = 0.2
# An attempt is overdue after this multiple of the usual service time. One
# call in a hundred takes five times the mean.
OVERDUE_FACTOR = 5
MIN_OVERDUE_S = 1
# Assumed service time in seconds while none has been measured.
FIRST_LATENCY_S = 0.2
# A refused or silent connection keeps a server out for this long; it doubles
# with each in a row up to the maximum trial pause.
CONNECT_PAUSE_S = 0.5
# A server that had no slot for a request has one after about a short call. One
# whose address another server has taken is gone: its entry lapses after three
# heartbeats of 1.5 s.
CLOSED_PAUSES_S = {AttemptResult.SHED: 0.1, AttemptResult.MISDIRECTED: 5}


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
    """Keeps a record of each server and decides who may be tried.

    Attributes:
        running: Attempts that have not ended.
        unsent_findings: Findings that the other hosts have not been told.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.records: dict[BackendServerId, Record] = {}
        self.running: set[RunningAttempt] = set()
        self.unsent_findings: list[Finding] = []

    def record(self, server: BackendServerId) -> Record:
        """Returns the record of a server."""
        return self.records.setdefault(server, Record())

    def forget(self, server: BackendServerId) -> None:
        """Forgets a server that is gone or has started anew."""
        self.records.pop(server, None)

    def condition(self, server: BackendServerId) -> Condition:
        """Returns what is believed of a server."""
        record = self.records.get(server)
        return Condition.WELL if record is None else record.condition

    def is_closed(self, server: BackendServerId, now: Instant) -> bool:
        """Returns whether a server would refuse a request now."""
        record = self.records.get(server)
        return record is not None and now < record.closed_until

    def may_try(
        self, server: BackendServerId, relaxed: bool, now: Instant
    ) -> bool:
        """Returns whether a repeatable request should try the server.

        Args:
            server: The server.
            relaxed: Whether there are slots enough without it.
            now: Present time.
        """
        record = self.records.get(server)
        if record is None:
            return False
        return now >= record.tried_at + record.pause(relaxed)

    def is_forgiven(self, server: BackendServerId, now: Instant) -> bool:
        """Returns whether the last failure is long ago."""
        record = self.records.get(server)
        return record is None or now - record.last_failure > FORGIVE_S

    def silence(self, server: BackendServerId, now: Instant) -> float:
        """Returns the seconds since a server last began what it completed."""
        record = self.records.get(server)
        last = Instant(0) if record is None else record.last_success
        return now - last

    def started(
        self, server: BackendServerId, service: ServiceId, now: Instant
    ) -> RunningAttempt:
        """Notes an attempt; the next test of its server has to wait."""
        record = self.record(server)
        record.tried_at = now
        attempt = RunningAttempt(server, service, now)
        self.running.add(attempt)
        return attempt

    def check_overdue(self, now: Instant) -> None:
        """Takes silence for a failure of the path, once for an attempt.

        A server that hangs is found before the caller's deadline.
        """
        for attempt in self.running:
            if attempt.is_overdue:
                continue
            usual = self.usual_latency(attempt.service)
            limit = max(MIN_OVERDUE_S, OVERDUE_FACTOR * usual)
            if now - attempt.started_at > limit:
                attempt.is_overdue = True
                self.note_broken(attempt, now)

    def finished(
        self,
        attempt: RunningAttempt,
        result: AttemptResult,
        status: int | None,
        now: Instant,
    ) -> None:
        """Notes how an attempt ended.

        A failure that the server itself reports counts for all hosts. One of
        the path counts for this host, since others may reach the server.
        """
        self.running.discard(attempt)
        server = attempt.server
        if result is AttemptResult.COMPLETE:
            self.note_answer(attempt, status or 0, now)
        elif result is AttemptResult.NOT_SENT:
            self.note_path_failure(attempt, now)
            pause = CONNECT_PAUSE_S * self.record(server).path_failures
            self.record(server).closed_until = Instant(now + pause)
        elif result in PATH_FAILURES:
            if not attempt.is_overdue:
                self.note_broken(attempt, now)
        else:
            pause = CLOSED_PAUSES_S.get(result, 0)
            self.record(server).closed_until = Instant(now + pause)

    def note_answer(
        self, attempt: RunningAttempt, status: int, now: Instant
    ) -> None:
        """Notes a whole answer, also for the other hosts."""
        well = status < SERVER_ERROR_STATUS
        outcome = Outcome.SUCCESS if well else Outcome.FAILED
        finding = Finding(attempt.server, outcome, attempt.started_at)
        record = self.record(attempt.server)
        record.note_reached(attempt.started_at)
        self.record_finding(finding, now)
        self.unsent_findings.append(finding)
        if well:
            self.note_latency(record, now - attempt.started_at)

    def note_latency(self, record: Record, elapsed: float) -> None:
        """Updates the moving average of the service time."""
        if record.latency is None:
            record.latency = elapsed
        record.latency += LATENCY_GAIN * (elapsed - record.latency)

    def note_broken(self, attempt: RunningAttempt, now: Instant) -> None:
        """Notes that a server took a request and did not answer it."""
        self.note_path_failure(attempt, now)
        self.unsent_findings.append(
            Finding(attempt.server, Outcome.BROKEN, attempt.started_at)
        )

    def note_path_failure(self, attempt: RunningAttempt, now: Instant) -> None:
        """Notes that a server could not be reached or broke off."""
        before = self.condition(attempt.server)
        record = self.record(attempt.server)
        record.note_path_failure(attempt.started_at, now)
        self.log_change(attempt.server, before)

    def log_change(self, server: BackendServerId, before: Condition) -> None:
        """Writes a line if the condition of a server has changed."""
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
        """Notes what an attempt of this host or another one has shown."""
        record = self.record(finding.server)
        before = self.condition(finding.server)
        if finding.outcome is Outcome.SUCCESS:
            record.note_success(finding.started_at)
        else:
            record.note_failure(finding, now)
        self.log_change(finding.server, before)

    def usual_latency(self, service: ServiceId) -> float:
        """Returns the median service time of a service in seconds."""
        known = self.kernel.service('discovery').by_service.get(service, ())
        records = [self.record(item.server.id) for item in known]
        latencies = sorted(
            record.latency for record in records if record.latency is not None
        )
        if not latencies:
            return FIRST_LATENCY_S
        return latencies[len(latencies) // 2]

    def current_evidence(self, now: Instant) -> list[Evidence]:
        """Returns evidence that tells a new host what this one believes.

        Args:
            now: Present time.
        """
        findings = []
        for server, record in self.records.items():
            failures = min(record.failures, OUT_FAILURES)
            failed = Finding(server, Outcome.FAILED, record.failed_start)
            findings.extend(failed for _ in range(failures))
            if not failures and now - record.last_success < RECENT_S:
                success = Finding(server, Outcome.SUCCESS, record.last_success)
                findings.append(success)
        return [Evidence.of(finding, now) for finding in findings]

    def take_evidence(self, now: Instant) -> list[Evidence]:
        """Returns the findings for the other hosts and forgets them."""
        news = [Evidence.of(finding, now) for finding in self.unsent_findings]
        self.unsent_findings = []
        return news
