"""Statistics by which the servers of a service are compared.

Durations are compared with the scale of the service: the mean of the
exponential distribution that fits the pooled latencies. Evidence is the
logarithm of a likelihood ratio between a sick and a healthy server, so that
evidence from several calls and hosts adds up.
"""

import math
from collections import Counter

from teaselcove.ids import Instant

# A sick server is assumed to be this many times slower. With 20, a call adds
# evidence from 3.2 times the scale on, so a server that is cold or queues some
# calls is left in use.
SLOW_FACTOR = 20
# A sick server is assumed to fail this share of its calls.
SICK_FAILURES = 0.3
# Without this limit, one failure among healthy peers would be decisive.
MIN_PEER_FAILURES = 0.01
# With this share of failures at the peers, failures say nothing.
MAX_PEER_FAILURES = 0.2
# Longest duration that counts for one call, in multiples of the scale. One
# call that never ends must be enough to eject: score 8 needs 8.4, and more
# if peers have some evidence against them too.
MAX_RATIO = 14

BUCKETS_PER_OCTAVE = 4
HALF_LIFE_S = 10
MIN_SAMPLES = 8
# The quantiles that are fitted. Without the median, stalls are found 0.2 s
# sooner at calls of 0.05 s, but servers are ejected falsely when all become
# slow. Higher ones are not robust: a sick server among 18 has 5% of the calls.
FITTED_QUANTILES = (0.5, 0.9)


def latency_evidence(calls: int, total_ratio: float) -> float:
    """Returns the evidence of completed calls.

    Args:
        calls: Number of calls.
        total_ratio: Sum of their durations in multiples of the scale.
    """
    return stall_evidence(total_ratio) - calls * math.log(SLOW_FACTOR)


def stall_evidence(total_ratio: float) -> float:
    """Returns the evidence of calls that have not ended yet."""
    return total_ratio * (1 - 1 / SLOW_FACTOR)


def failure_evidence(good: int, failed: int, peer_failures: float) -> float:
    """Returns the evidence of failures.

    Args:
        good: Calls that succeeded.
        failed: Calls that failed.
        peer_failures: Share of calls that fail at the peers.
    """
    if peer_failures > MAX_PEER_FAILURES:
        return 0
    expected = max(peer_failures, MIN_PEER_FAILURES)
    against = math.log((1 - SICK_FAILURES) / (1 - expected))
    return failed * math.log(SICK_FAILURES / expected) + good * against


def bucket_of(duration: float) -> int:
    """Returns the histogram bucket of a duration in seconds."""
    octaves = math.log2(max(duration, 1e-4))
    return math.ceil(octaves * BUCKETS_PER_OCTAVE)


def duration_of(bucket: int) -> float:
    """Returns the upper limit of a bucket in seconds."""
    return 2 ** (bucket / BUCKETS_PER_OCTAVE)


class LatencyReference:
    """Histogram of the latencies of a service that forgets with time."""

    def __init__(self) -> None:
        self.counts: Counter[int] = Counter()
        self.updated_at: Instant | None = None

    def add(self, counts: dict[int, int], now: Instant) -> None:
        """Adds calls by bucket."""
        if self.updated_at is not None:
            kept = 0.5 ** ((now - self.updated_at) / HALF_LIFE_S)
            for bucket in self.counts:
                self.counts[bucket] *= kept  # type: ignore[assignment]
        self.updated_at = now
        self.counts.update(counts)

    def scale(self) -> float | None:
        """Returns the scale in seconds, or None with too few calls."""
        total = sum(self.counts.values())
        if total < MIN_SAMPLES:
            return None
        return max(
            self.quantile(share, total) / -math.log(1 - share)
            for share in FITTED_QUANTILES
        )

    def quantile(self, share: float, total: float) -> float:
        """Returns a quantile in seconds."""
        below = float(0)
        for bucket in sorted(self.counts):
            below += self.counts[bucket]
            if below >= share * total:
                return duration_of(bucket)
        return duration_of(max(self.counts))
