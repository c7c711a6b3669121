"""Messages about evidence, and a host's view of one service."""

import msgspec

from teaselcove.attempts import Attempt
from teaselcove.collector import Collector
from teaselcove.ids import BackendServerId, HostId, Instant, ServiceId
from teaselcove.messages import message
from teaselcove.pools import Pool
from teaselcove.scores import Stage, Tally

US_PER_S = 1_000_000
PERCENT = 100
# A verdict that is older is void, and hosts rely on their own evidence.
VERDICT_LIFETIME_S = 6


@message('observations.report')
class Report(msgspec.Struct, frozen=True, array_like=True):
    """What a host saw of a service since its last report.

    Attributes:
        stamp: Time of the sender in milliseconds; orders its reports.
        buckets: Histogram buckets and counts of the good calls.
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
    """What an aggregator found out about a service.

    Attributes:
        stamp: Time of the sender in milliseconds; orders its verdicts.
        scale_us: Scale of the latencies in microseconds, or 0 if unknown.
        rate: Calls per second of the service.
        standings: Servers not in full use, strongest evidence first.
        quiet: Servers that should get the next calls, as positions in the
            order of their ids.
    """

    service: ServiceId
    stamp: int
    scale_us: int
    rate: int
    standings: tuple[Standing, ...]
    quiet: tuple[int, ...] = ()

    def suspects(self) -> tuple[BackendServerId, ...]:
        """Returns the servers that may be sick but are in use."""
        return tuple(
            standing.server
            for standing in self.standings
            if standing.stage is Stage.SUSPECT
        )


class CallsOverdue(msgspec.Struct, frozen=True):
    """Published when calls in flight at a service are late."""

    service: ServiceId
    attempts: tuple[Attempt, ...]


class ServersSuspected(msgspec.Struct, frozen=True):
    """Published when a verdict names servers that may be sick."""

    servers: tuple[BackendServerId, ...]


class ServiceView(msgspec.Struct):
    """State of a service on one host.

    Attributes:
        local: Evidence of this host alone.
        pooled: Evidence of all reporters, if this host is the aggregator.
        reporters: When each host last reported, by host.
        stamps: Latest stamp by sender.
    """

    collector: Collector
    local: Pool
    pooled: Pool
    verdict: Verdict | None = None
    quiet: set[BackendServerId] = set()
    verdict_from: HostId | None = None
    verdict_at: Instant = Instant(0)
    verdict_sent_at: Instant = Instant(0)
    reported_at: Instant = Instant(0)
    reporters: dict[HostId, Instant] = {}
    stamps: dict[HostId, int] = {}
    stall_levels: dict[BackendServerId, int] = {}
    is_ticking: bool = False

    def fresh_verdict(self, now: Instant) -> Verdict | None:
        """Returns the verdict unless it is too old."""
        if now - self.verdict_at > VERDICT_LIFETIME_S:
            return None
        return self.verdict

    def suspects(self, now: Instant) -> frozenset[BackendServerId]:
        """Returns the servers that the verdict does not show in full use."""
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


def standings_of(pool: Pool, now: Instant) -> tuple[Standing, ...]:
    """Returns the servers not in full use, strongest evidence first."""
    found = [
        (record.weight_of_ejection, server, record)
        for server, record in pool.judge.records.items()
        if record.stage is not Stage.IN_USE
    ]
    found.sort(key=lambda entry: (-entry[0], entry[1]))
    return tuple(
        Standing(
            server,
            record.stage,
            round(pool.judge.weight(server, now) * PERCENT),
        )
        for _, server, record in found
    )
