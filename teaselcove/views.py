"""Messages that carry evidence, and the state of a service on a host."""

import msgspec

from teaselcove.attempts import Attempt
from teaselcove.collector import Collector
from teaselcove.ids import BackendServerId, HostId, Instant, ServiceId
from teaselcove.messages import message
from teaselcove.pools import EvidencePool
from teaselcove.scores import Stage, Tally

US_PER_S = 1_000_000
PERCENT = 100
# Seconds after which a verdict expires and a host uses its own evidence only.
VERDICT_LIFETIME_S = 6


@message('observations.report')
class Report(msgspec.Struct, frozen=True, array_like=True):
    """Evidence of a host about a service since its last report.

    Attributes:
        stamp: Time at the sender in milliseconds; orders its reports.
        buckets: Latency histogram of the good calls, as buckets and counts.
    """

    service: ServiceId
    stamp: int
    tallies: tuple[Tally, ...]
    buckets: tuple[tuple[int, int], ...]


class Standing(msgspec.Struct, frozen=True, array_like=True):
    """Stage of a server that is not in full use.

    Attributes:
        percent: Share of work at the time of the verdict.
    """

    server: BackendServerId
    stage: Stage
    percent: int


@message('observations.verdict')
class Verdict(msgspec.Struct, frozen=True, array_like=True):
    """State of a service according to its aggregator.

    Attributes:
        stamp: Time at the sender in milliseconds; orders its verdicts.
        scale_us: Scale of the latencies in microseconds, or 0 if unknown.
        rate: Calls per second of the service.
        standings: Servers not in full use, strongest evidence first.
        idle: Servers that should get the next calls, as positions in the
            order of their ids.
    """

    service: ServiceId
    stamp: int
    scale_us: int
    rate: int
    standings: tuple[Standing, ...]
    idle: tuple[int, ...] = ()

    def suspects(self) -> tuple[BackendServerId, ...]:
        """Returns the servers that may be unhealthy but are in use."""
        return tuple(
            standing.server
            for standing in self.standings
            if standing.stage is Stage.SUSPECT
        )


class CallsOverdue(msgspec.Struct, frozen=True):
    """Published when calls in flight at a service are overdue."""

    service: ServiceId
    attempts: tuple[Attempt, ...]


class ServersSuspected(msgspec.Struct, frozen=True):
    """Published when a verdict names servers that may be unhealthy."""

    servers: tuple[BackendServerId, ...]


class ServiceView(msgspec.Struct):
    """State of a service on one host.

    Attributes:
        local: Evidence of this host only.
        pooled: Evidence of all reporters, if this host is the aggregator.
        reporters: Time of the last report by host.
        stamps: Latest stamp by sender.
    """

    collector: Collector
    local: EvidencePool
    pooled: EvidencePool
    verdict: Verdict | None = None
    idle: set[BackendServerId] = set()
    verdict_from: HostId | None = None
    verdict_at: Instant = Instant(0)
    verdict_sent_at: Instant = Instant(0)
    reported_at: Instant = Instant(0)
    reporters: dict[HostId, Instant] = {}
    stamps: dict[HostId, int] = {}
    stall_levels: dict[BackendServerId, int] = {}
    is_check_scheduled: bool = False

    def fresh_verdict(self, now: Instant) -> Verdict | None:
        """Returns the verdict, or None if it has expired."""
        if now - self.verdict_at > VERDICT_LIFETIME_S:
            return None
        return self.verdict

    def suspects(self, now: Instant) -> frozenset[BackendServerId]:
        """Returns the servers that the verdict lists as not in full use."""
        verdict = self.fresh_verdict(now)
        if verdict is None:
            return frozenset()
        return frozenset(standing.server for standing in verdict.standings)

    def scale(self, now: Instant) -> float | None:
        """Returns the scale of the latencies in seconds, if known."""
        verdict = self.fresh_verdict(now)
        if verdict is not None and verdict.scale_us:
            return verdict.scale_us / US_PER_S
        return self.local.scale()


def standings_of(pool: EvidencePool, now: Instant) -> tuple[Standing, ...]:
    """Returns the servers not in full use, strongest evidence first."""
    found = [
        (record.ejection_score, server, record)
        for server, record in pool.tracker.records.items()
        if record.stage is not Stage.IN_USE
    ]
    found.sort(key=lambda entry: (-entry[0], entry[1]))
    return tuple(
        Standing(
            server,
            record.stage,
            round(pool.tracker.weight(server, now) * PERCENT),
        )
        for _, server, record in found
    )
