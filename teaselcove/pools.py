"""Evidence about one service from one or more hosts."""

import math
from collections.abc import Iterable

from teaselcove.evidence import LatencyReference
from teaselcove.ids import BackendServerId, HostId, Instant
from teaselcove.judge import StageTracker
from teaselcove.scores import Tally

# Smallest scale in seconds: shorter latencies are dominated by the hosts.
MIN_SCALE_S = 0.005
HALF_LIFE_S = 5
# Calls per server and second up to which the rate is low.
LOW_RATE_PER_SERVER = 2
# If the scale grows by this factor, the cause is common to the service.
COMMON_SLOWDOWN_FACTOR = 1.5


class CallCount:
    """Number of calls at a server with exponential decay."""

    def __init__(self) -> None:
        self.good = float(0)
        self.failed = float(0)
        self.updated_at = Instant(0)

    def decay(self, now: Instant) -> None:
        """Applies the exponential decay to the counts."""
        factor = 0.5 ** ((now - self.updated_at) / HALF_LIFE_S)
        self.good *= factor
        self.failed *= factor
        self.updated_at = now


class EvidencePool:
    """Adds up the tallies of hosts and scores the servers."""

    def __init__(self) -> None:
        self.tracker = StageTracker()
        self.reference = LatencyReference()
        self.lowest_scale = math.inf
        self.last_tally_at: dict[BackendServerId, Instant] = {}
        self.counts: dict[BackendServerId, CallCount] = {}

    def add(
        self,
        host: HostId,
        tallies: Iterable[Tally],
        buckets: dict[int, int],
        now: Instant,
        scale: float | None = None,
    ) -> None:
        """Adds the tallies of a host.

        Args:
            host: The host.
            tallies: Its tally of each server.
            buckets: Latencies of its good calls by histogram bucket.
            now: Current time.
            scale: Scale of the service in seconds; by default that of the
                latencies in this pool.
        """
        self.reference.add(buckets, now)
        scale = scale or self.scale()
        if scale is not None:
            self.compare_scale(scale)
        for tally in tallies:
            self.count_calls(tally, now)
            self.last_tally_at[tally.server] = now
            if scale is not None:
                peer_failure_share = self.peer_failure_share(tally.server, now)
                self.tracker.add(host, tally, scale, peer_failure_share, now)

    def compare_scale(self, scale: float) -> None:
        """Clears evidence that was computed with a much smaller scale."""
        if scale > self.lowest_scale * COMMON_SLOWDOWN_FACTOR:
            self.tracker.clear_latency_evidence()
            self.lowest_scale = scale
        self.lowest_scale = min(self.lowest_scale, scale)

    def count_calls(self, tally: Tally, now: Instant) -> None:
        """Adds the calls of a tally to the counts of its server."""
        count = self.counts.setdefault(tally.server, CallCount())
        count.decay(now)
        count.good += tally.good
        count.failed += tally.failed + tally.unreachable

    def scale(self) -> float | None:
        """Returns the scale of the latencies in seconds, if known."""
        scale = self.reference.scale()
        return None if scale is None else max(scale, MIN_SCALE_S)

    def peer_failure_share(
        self, server: BackendServerId, now: Instant
    ) -> float:
        """Returns the share of calls that fail at the other servers."""
        good = float(0)
        failed = float(0)
        for other, count in self.counts.items():
            if other != server:
                count.decay(now)
                good += count.good
                failed += count.failed
        return failed / max(good + failed, 1)

    def idle_servers(
        self, servers: list[BackendServerId], now: Instant
    ) -> tuple[int, ...]:
        """Returns the servers idle for longest if the call rate is low.

        A stall is detected only when a call arrives, so at a low rate no
        server may be left without a call for long.

        Args:
            servers: The servers of the service that are not leaving.
            now: Current time.

        Returns:
            Positions in the order of the ids.
        """
        if self.rate(now) > LOW_RATE_PER_SERVER * len(servers):
            return ()
        ranked = sorted(
            enumerate(sorted(servers)),
            key=lambda entry: self.last_tally_at.get(entry[1], 0),
        )
        return tuple(index for index, _ in ranked[: len(servers) // 2])

    def rate(self, now: Instant) -> float:
        """Returns the calls per second of the service."""
        total = float(0)
        for count in self.counts.values():
            count.decay(now)
            total += count.good + count.failed
        return total * math.log(2) / HALF_LIFE_S
