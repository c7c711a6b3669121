"""Evidence that hosts pool through one aggregator for each service.

Each host reports sparse differences to the aggregator of a service and gets
verdicts back. The aggregator is the usable host that rendezvous hashing
selects, so hosts with different views may use different ones for a while;
each then judges by less evidence. Lost messages have the same effect.
"""

from teaselcove.attempts import Attempt
from teaselcove.collector import Collector
from teaselcove.effects import Send
from teaselcove.events import AttemptResult, PauseDetected
from teaselcove.ids import BackendServerId, HostId, Instant, ServiceId
from teaselcove.kernel import Kernel, on, services
from teaselcove.placement import rendezvous_score
from teaselcove.pools import Pool
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
# Interval at which calls in flight are looked at.
TICK_S = 0.1
REPORT_INTERVAL_S = 0.3
# Evidence of calls in flight is reported at once when it has grown by this.
REPORT_STEP = 2
VERDICT_INTERVAL_S = 2
# With few calls, verdicts steer the next calls and must be newer.
QUIET_INTERVAL_S = 1
# Verdicts that only name suspects are limited to this interval, or an overload
# would cause one for each overdue call.
SUSPECT_INTERVAL_S = 0.3
# A host that has not reported for this long gets no verdicts.
REPORTER_LIFETIME_S = 120
# In a fleet of up to this many hosts, all get verdicts, so that the first
# call of a host after a long time does not go to an ejected server.
SMALL_FLEET = 64
POOLED = 'pooled'


@services.register('observations')
class Observations:
    """Collects, reports and pools evidence."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.views: dict[ServiceId, ServiceView] = {}
        self.is_pooled = kernel.settings.policies.evidence == POOLED

    def view(self, service: ServiceId) -> ServiceView:
        """Returns the state of a service."""
        if service not in self.views:
            self.views[service] = ServiceView(
                Collector(),
                Pool(),
                Pool(),
                reporters={},
                stamps={},
                stall_levels={},
            )
        return self.views[service]

    def attempt_started(self, attempt: Attempt, now: Instant) -> None:
        """Notes that an attempt is in flight."""
        view = self.view(attempt.service)
        view.collector.attempt_started(attempt)
        view.quiet.discard(attempt.server)
        self.schedule(attempt.service, view, now)

    def attempt_finished(
        self,
        attempt: Attempt,
        result: AttemptResult,
        status: int | None,
        now: Instant,
    ) -> None:
        """Notes how an attempt ended."""
        view = self.view(attempt.service)
        scale = view.scale(now)
        view.collector.attempt_finished(attempt, result, status, scale, now)
        self.schedule(attempt.service, view, now)

    @on(PauseDetected)
    def pause_detected(self, event: PauseDetected, now: Instant) -> None:
        """Drops the ages of calls that include a pause of this process."""
        for view in self.views.values():
            view.collector.resumed_at = now

    def schedule(
        self, service: ServiceId, view: ServiceView, now: Instant
    ) -> None:
        """Makes sure that the service is looked at soon."""
        if not view.is_ticking:
            view.is_ticking = True
            self.kernel.call_at(
                Instant(now + TICK_S), lambda later: self.tick(service, later)
            )

    def tick(self, service: ServiceId, now: Instant) -> None:
        """Looks at the calls in flight, reports and judges."""
        view = self.view(service)
        view.is_ticking = False
        overdue = view.collector.overdue(view.scale(now), now)
        if overdue:
            self.kernel.publish(CallsOverdue(service, tuple(overdue)), now)
        due = now - view.reported_at >= REPORT_INTERVAL_S
        if due or self.is_urgent(view, overdue, now):
            self.report(service, view, now)
        self.judge(service, view, now)
        if view.collector.is_busy() or view.local.judge.is_busy():
            self.schedule(service, view, now)
        elif self.is_aggregator(service, now):
            self.schedule(service, view, now)

    def is_urgent(
        self, view: ServiceView, overdue: list[Attempt], now: Instant
    ) -> bool:
        """Returns whether there is evidence that must not wait."""
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
        """Gives what was seen to the local pool and to the aggregator."""
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
        """Adds the evidence of a host to the pool."""
        view = self.view(report.service)
        if report.stamp <= view.stamps.get(sender, -1):
            return
        view.stamps[sender] = report.stamp
        view.reporters[sender] = now
        if view.verdict_from not in {None, self.kernel.settings.host}:
            self.take_over(view, now)
        view.pooled.add(sender, report.tallies, dict(report.buckets), now)
        self.judge_pooled(report.service, view, now)
        self.schedule(report.service, view, now)

    def take_over(self, view: ServiceView, now: Instant) -> None:
        """Adopts the verdict of the previous aggregator."""
        verdict = view.fresh_verdict(now)
        if verdict is not None:
            for standing in verdict.standings:
                view.pooled.judge.adopt(standing.server, standing.stage, now)
        view.verdict_from = self.kernel.settings.host

    def judge(
        self, service: ServiceId, view: ServiceView, now: Instant
    ) -> None:
        """Judges by the evidence of this host, and as aggregator."""
        servers = self.servers(service, now)
        common = MAX_SLOW_SHARE * len(servers)
        may_eject = len(view.suspects(now)) <= max(common, 1)
        for server in view.local.judge.evaluate(servers, now, may_eject):
            self.log_stage(service, server, view.local, 'local', now)
        if self.is_aggregator(service, now):
            self.judge_pooled(service, view, now)

    def judge_pooled(
        self, service: ServiceId, view: ServiceView, now: Instant
    ) -> None:
        """Judges as aggregator; sends a verdict if it changed or is due."""
        moved = view.pooled.judge.evaluate(self.servers(service, now), now)
        for server in moved:
            self.log_stage(service, server, view.pooled, 'pooled', now)
        judge = view.pooled.judge
        stages = {judge.record(name).stage for name in moved}
        interval = VERDICT_INTERVAL_S
        if view.verdict is not None and view.verdict.quiet:
            interval = QUIET_INTERVAL_S
        if Stage.SUSPECT in stages:
            interval = SUSPECT_INTERVAL_S
        urgent = bool(stages - IN_USE_STAGES)
        if urgent or now - view.verdict_sent_at >= interval:
            self.send_verdict(service, view, now)

    def log_stage(
        self,
        service: ServiceId,
        server: BackendServerId,
        pool: Pool,
        scope: str,
        now: Instant,
    ) -> None:
        """Logs that a server moved to another stage."""
        record = pool.judge.record(server)
        self.kernel.decide(
            'stage',
            service=service,
            server=server,
            scope=scope,
            stage=record.stage.value,
            strikes=len(record.strikes),
            evidence=record.weight_of_ejection,
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
        """Sends what the pool shows to the hosts that use the service."""
        view.verdict_sent_at = now
        verdict = Verdict(
            service,
            round(now * MS_PER_S),
            round((view.pooled.scale() or 0) * US_PER_S),
            round(view.pooled.rate(now)),
            standings_of(view.pooled, now),
            view.pooled.quiet(self.servers(service, now), now),
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
        if len(usable) <= SMALL_FLEET:
            found.update(entry.host for entry in usable)
        return sorted(found)

    @on(Verdict)
    def accept_verdict(
        self, sender: HostId, verdict: Verdict, now: Instant
    ) -> None:
        """Takes over a verdict of the aggregator unless it is old."""
        if sender != self.aggregator(verdict.service, now):
            return
        view = self.view(verdict.service)
        known = view.fresh_verdict(now)
        if known and sender == view.verdict_from:
            if verdict.stamp < known.stamp:
                return
        for standing in verdict.standings:
            if standing.stage is Stage.RAMP:
                view.local.judge.adopt(standing.server, standing.stage, now)
        view.verdict = verdict
        names = sorted(self.servers(verdict.service, now))
        view.quiet = {
            names[index] for index in verdict.quiet if index < len(names)
        }
        view.verdict_from = sender
        view.verdict_at = now
        suspects = verdict.suspects()
        if suspects:
            self.kernel.publish(ServersSuspected(suspects), now)
