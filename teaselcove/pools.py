"""Evidence about one service, from one host or from many."""

import math
from collections.abc import Iterable

from teaselcove.evidence import LatencyReference
from teaselcove.ids import BackendServerId, HostId, Instant
from teaselcove.judge import Judge
from teaselcove.scores import Tally

# The smallest scale in seconds: shorter latencies are dominated by the hosts.
MIN_SCALE_S = 0.005
HALF_LIFE_S = 5
# Calls per server and second up to which they are few.
FEW_CALLS = 2
# When the scale grows by this factor, the cause is common to the service.
COMMON_SLOWDOWN = 1.5


class CallCount:
    """Calls at a server, older ones counting less."""

    def __init__(self) -> None:
        self.good = float(0)
        self.failed = float(0)
        self.updated_at = Instant(0)

    def decay(self, now: Instant) -> None:
        """Halves old calls with time."""
        kept = 0.5 ** ((now - self.updated_at) / HALF_LIFE_S)
        self.good *= kept
        self.failed *= kept
        self.updated_at = now


class Pool:
    """Adds up the tallies of hosts and judges servers by them."""

    def __init__(self) -> None:
        self.judge = Judge()
        self.reference = LatencyReference()
        self.scale_used = math.inf
        self.seen_at: dict[BackendServerId, Instant] = {}
        self.counts: dict[BackendServerId, CallCount] = {}

    def add(
        self,
        host: HostId,
        tallies: Iterable[Tally],
        buckets: dict[int, int],
        now: Instant,
        scale: float | None = None,
    ) -> None:
        """Adds what a host saw.

        Args:
            host: The host.
            tallies: What it saw of each server.
            buckets: Latencies of its good calls by histogram bucket.
            now: Present time.
            scale: Scale of the service in seconds; by default that of the
                latencies in this pool.
        """
        self.reference.add(buckets, now)
        scale = scale or self.scale()
        if scale is not None:
            self.compare_scale(scale)
        for tally in tallies:
            self.count(tally, now)
            self.seen_at[tally.server] = now
            if scale is not None:
                peer_failures = self.peer_failures(tally.server, now)
                self.judge.add(host, tally, scale, peer_failures, now)

    def compare_scale(self, scale: float) -> None:
        """Drops evidence that was judged by a much smaller scale."""
        if scale > self.scale_used * COMMON_SLOWDOWN:
            self.judge.drop_latencies()
            self.scale_used = scale
        self.scale_used = min(self.scale_used, scale)

    def count(self, tally: Tally, now: Instant) -> None:
        """Counts the calls of a tally."""
        count = self.counts.setdefault(tally.server, CallCount())
        count.decay(now)
        count.good += tally.good
        count.failed += tally.failed + tally.unreachable

    def scale(self) -> float | None:
        """Returns the scale of the latencies in seconds, if known."""
        scale = self.reference.scale()
        return None if scale is None else max(scale, MIN_SCALE_S)

    def peer_failures(self, server: BackendServerId, now: Instant) -> float:
        """Returns the share of calls that fail at the other servers."""
        good = float(0)
        failed = float(0)
        for other, count in self.counts.items():
            if other != server:
                count.decay(now)
                good += count.good
                failed += count.failed
        return failed / max(good + failed, 1)

    def quiet(
        self, servers: list[BackendServerId], now: Instant
    ) -> tuple[int, ...]:
        """Returns the servers without a call for longest, if calls are few.

        A stall shows only when a call arrives, so with few calls no server
        may be left without one for long.

        Args:
            servers: The servers of the service that are not leaving.
            now: Present time.

        Returns:
            Positions in the order of the ids.
        """
        if self.rate(now) > FEW_CALLS * len(servers):
            return ()
        ranked = sorted(
            enumerate(sorted(servers)),
            key=lambda entry: self.seen_at.get(entry[1], 0),
        )
        return tuple(index for index, _ in ranked[: len(servers) // 2])

    def rate(self, now: Instant) -> float:
        """Returns the calls per second."""
        total = float(0)
        for count in self.counts.values():
            count.decay(now)
            total += count.good + count.failed
        return total * math.log(2) / HALF_LIFE_S
