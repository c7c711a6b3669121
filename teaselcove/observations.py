"""Evidence that hosts pool through one aggregator for each service.

Each host sends sparse differences to the aggregator of a service and receives
verdicts from it. The aggregator is the usable host that rendezvous hashing
selects, so hosts with different views may use different aggregators for a
while; each of these then decides with less evidence. Lost messages have the
same effect.
"""

from teaselcove.attempts import Attempt
from teaselcove.collector import Collector
from teaselcove.effects import Send
from teaselcove.events import AttemptResult, PauseDetected
from teaselcove.ids import BackendServerId, HostId, Instant, ServiceId
from teaselcove.kernel import Kernel, on, services
from teaselcove.placement import rendezvous_score
from teaselcove.pools import EvidencePool
from teaselcove.scores import IN_USE_STAGES, MAX_SLOW_SHARE, Stage
from teaselcove.views import (
    US_PER_S,
    CallsOverdue,
    Report,
    ServersSuspected,
    ServiceView,
    Verdict,
    standings_of,
)

MS_PER_S = 1000
# Seconds between checks of the calls in flight.
CHECK_INTERVAL_S = 0.1
REPORT_INTERVAL_S = 0.3
# Evidence from calls in flight is reported at once when it grows by this much.
REPORT_STEP = 2
VERDICT_INTERVAL_S = 2
# At a low call rate, verdicts direct the next calls and must be newer.
LOW_RATE_INTERVAL_S = 1
# Shortest time between verdicts that only name suspects; without it, an
# overload would cause a verdict for each overdue call.
SUSPECT_INTERVAL_S = 0.3
# Seconds after its last report at which a host gets no more verdicts.
REPORTER_LIFETIME_S = 120
# Up to this many hosts, all hosts get verdicts, so that the first call of a
# host after a long time does not go to an ejected server.
SMALL_FLEET_HOSTS = 64
POOLED = 'pooled'


@services.register('observations')
class Observations:
    """Collects, reports and pools evidence."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.views: dict[ServiceId, ServiceView] = {}
        self.is_pooled = kernel.settings.policies.evidence == POOLED

    def view(self, service: ServiceId) -> ServiceView:
        """Returns the state of a service; creates it if there is none."""
        if service not in self.views:
            self.views[service] = ServiceView(
                Collector(),
                EvidencePool(),
                EvidencePool(),
                reporters={},
                stamps={},
                stall_levels={},
            )
        return self.views[service]

    def attempt_started(self, attempt: Attempt, now: Instant) -> None:
        """Records the start of an attempt."""
        view = self.view(attempt.service)
        view.collector.attempt_started(attempt)
        view.idle.discard(attempt.server)
        self.schedule_check(attempt.service, view, now)

    def attempt_finished(
        self,
        attempt: Attempt,
        result: AttemptResult,
        status: int | None,
        now: Instant,
    ) -> None:
        """Records the result of an attempt."""
        view = self.view(attempt.service)
        scale = view.scale(now)
        view.collector.attempt_finished(attempt, result, status, scale, now)
        self.schedule_check(attempt.service, view, now)

    @on(PauseDetected)
    def pause_detected(self, event: PauseDetected, now: Instant) -> None:
        """Excludes a pause of this process from the ages of calls."""
        for view in self.views.values():
            view.collector.resumed_at = now

    def schedule_check(
        self, service: ServiceId, view: ServiceView, now: Instant
    ) -> None:
        """Schedules the next check of a service unless one is scheduled."""
        if not view.is_check_scheduled:
            view.is_check_scheduled = True
            self.kernel.call_at(
                Instant(now + CHECK_INTERVAL_S),
                lambda later: self.check_service(service, later),
            )

    def check_service(self, service: ServiceId, now: Instant) -> None:
        """Checks the calls in flight, reports evidence and updates stages."""
        view = self.view(service)
        view.is_check_scheduled = False
        overdue = view.collector.overdue(view.scale(now), now)
        if overdue:
            self.kernel.publish(CallsOverdue(service, tuple(overdue)), now)
        due = now - view.reported_at >= REPORT_INTERVAL_S
        if due or self.is_urgent(view, overdue, now):
            self.report(service, view, now)
        self.evaluate(service, view, now)
        if view.collector.is_busy() or view.local.tracker.is_busy():
            self.schedule_check(service, view, now)
        elif self.is_aggregator(service, now):
            self.schedule_check(service, view, now)

    def is_urgent(
        self, view: ServiceView, overdue: list[Attempt], now: Instant
    ) -> bool:
        """Returns whether there is evidence to report at once."""
        levels = view.collector.stall_levels(
            overdue, view.scale(now), REPORT_STEP, now
        )
        changed = levels != view.stall_levels
        view.stall_levels = levels
        return changed or view.collector.has_faults(
            view.scale(now), view.suspects(now)
        )

    def report(
        self, service: ServiceId, view: ServiceView, now: Instant
    ) -> None:
        """Adds new evidence to the local pool and reports it."""
        scale = view.scale(now)
        tallies = tuple(view.collector.take(scale, now))
        buckets = view.collector.take_buckets()
        view.reported_at = now
        host = self.kernel.settings.host
        view.local.add(host, tallies, buckets, now, scale)
        if not self.is_pooled or not (tallies or buckets):
            return
        report = Report(
            service, round(now * MS_PER_S), tallies, tuple(buckets.items())
        )
        aggregator = self.aggregator(service, now)
        if aggregator == host:
            self.report_received(host, report, now)
        elif aggregator is not None:
            self.kernel.emit(Send(aggregator, report))

    def aggregator(self, service: ServiceId, now: Instant) -> HostId | None:
        """Returns the host that pools the evidence about a service."""
        if not self.is_pooled:
            return None
        hosts = self.kernel.service('membership').usable_hosts(now)
        if not hosts:
            return None
        return max(
            (entry.host for entry in hosts),
            key=lambda host: rendezvous_score(service, host),
        )

    def is_aggregator(self, service: ServiceId, now: Instant) -> bool:
        """Returns whether this host pools the evidence about a service."""
        return self.aggregator(service, now) == self.kernel.settings.host

    @on(Report)
    def report_received(
        self, sender: HostId, report: Report, now: Instant
    ) -> None:
        """Adds the report of a host to the pool unless it is outdated."""
        view = self.view(report.service)
        if report.stamp <= view.stamps.get(sender, -1):
            return
        view.stamps[sender] = report.stamp
        view.reporters[sender] = now
        if view.verdict_from not in {None, self.kernel.settings.host}:
            self.adopt_verdict(view, now)
        view.pooled.add(sender, report.tallies, dict(report.buckets), now)
        self.evaluate_pooled(report.service, view, now)
        self.schedule_check(report.service, view, now)

    def adopt_verdict(self, view: ServiceView, now: Instant) -> None:
        """Adopts the verdict of the previous aggregator."""
        verdict = view.fresh_verdict(now)
        if verdict is not None:
            for standing in verdict.standings:
                view.pooled.tracker.adopt(standing.server, standing.stage, now)
        view.verdict_from = self.kernel.settings.host

    def evaluate(
        self, service: ServiceId, view: ServiceView, now: Instant
    ) -> None:
        """Updates stages by local evidence, and as aggregator by all of it."""
        servers = self.servers(service, now)
        common = MAX_SLOW_SHARE * len(servers)
        may_eject = len(view.suspects(now)) <= max(common, 1)
        for server in view.local.tracker.evaluate(servers, now, may_eject):
            self.log_stage(service, server, view.local, 'local', now)
        if self.is_aggregator(service, now):
            self.evaluate_pooled(service, view, now)

    def evaluate_pooled(
        self, service: ServiceId, view: ServiceView, now: Instant
    ) -> None:
        """Updates stages as aggregator and sends a verdict if one is due."""
        moved = view.pooled.tracker.evaluate(self.servers(service, now), now)
        for server in moved:
            self.log_stage(service, server, view.pooled, 'pooled', now)
        tracker = view.pooled.tracker
        stages = {tracker.record(name).stage for name in moved}
        interval = VERDICT_INTERVAL_S
        if view.verdict is not None and view.verdict.idle:
            interval = LOW_RATE_INTERVAL_S
        if Stage.SUSPECT in stages:
            interval = SUSPECT_INTERVAL_S
        urgent = bool(stages - IN_USE_STAGES)
        if urgent or now - view.verdict_sent_at >= interval:
            self.send_verdict(service, view, now)

    def log_stage(
        self,
        service: ServiceId,
        server: BackendServerId,
        pool: EvidencePool,
        scope: str,
        now: Instant,
    ) -> None:
        """Logs the move of a server to another stage."""
        record = pool.tracker.record(server)
        self.kernel.decide(
            'stage',
            service=service,
            server=server,
            scope=scope,
            stage=record.stage.value,
            strikes=len(record.recent_ejections),
            evidence=record.ejection_score,
        )

    def servers(
        self, service: ServiceId, now: Instant
    ) -> list[BackendServerId]:
        """Returns the declared servers that are not leaving."""
        declared = self.kernel.service('configuration').service(service)
        if declared is None:
            return []
        routing = self.kernel.service('routing')
        return [
            server.id
            for server in declared.servers
            if not routing.is_leaving(server.id, now)
        ]

    def send_verdict(
        self, service: ServiceId, view: ServiceView, now: Instant
    ) -> None:
        """Sends a verdict from the pooled evidence to all recipients."""
        view.verdict_sent_at = now
        verdict = Verdict(
            service,
            round(now * MS_PER_S),
            round((view.pooled.scale() or 0) * US_PER_S),
            round(view.pooled.rate(now)),
            standings_of(view.pooled, now),
            view.pooled.idle_servers(self.servers(service, now), now),
        )
        for host in self.recipients(view, now):
            if host != self.kernel.settings.host:
                self.kernel.emit(Send(host, verdict))
            else:
                self.accept_verdict(host, verdict, now)

    def recipients(self, view: ServiceView, now: Instant) -> list[HostId]:
        """Returns the hosts that need a verdict."""
        view.reporters = {
            host: reported_at
            for host, reported_at in view.reporters.items()
            if now - reported_at <= REPORTER_LIFETIME_S
        }
        found = set(view.reporters)
        usable = self.kernel.service('membership').usable_hosts(now)
        if len(usable) <= SMALL_FLEET_HOSTS:
            found.update(entry.host for entry in usable)
        return sorted(found)

    @on(Verdict)
    def accept_verdict(
        self, sender: HostId, verdict: Verdict, now: Instant
    ) -> None:
        """Accepts a verdict of the aggregator unless it is outdated."""
        if sender != self.aggregator(verdict.service, now):
            return
        view = self.view(verdict.service)
        current = view.fresh_verdict(now)
        if current and sender == view.verdict_from:
            if verdict.stamp < current.stamp:
                return
        for standing in verdict.standings:
            if standing.stage is Stage.RAMP:
                view.local.tracker.adopt(standing.server, standing.stage, now)
        view.verdict = verdict
        names = sorted(self.servers(verdict.service, now))
        view.idle = {
            names[index] for index in verdict.idle if index < len(names)
        }
        view.verdict_from = sender
        view.verdict_at = now
        suspects = verdict.suspects()
        if suspects:
            self.kernel.publish(ServersSuspected(suspects), now)
