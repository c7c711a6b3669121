"""Statistics that compare the servers of a service.

Durations are compared with the scale of the service: the mean of the
exponential distribution that fits the pooled latencies. Evidence is the
log-likelihood ratio of an unhealthy to a healthy server, so that evidence from
several calls and hosts can be added up.
"""

import math
from collections import Counter

from teaselcove.ids import Instant

# An unhealthy server is assumed to be this many times slower. With 20, a call
# adds evidence from 3.2 times the scale on, so a server that is cold or queues
# some calls stays in use.
SLOW_FACTOR = 20
# An unhealthy server is assumed to fail this share of its calls.
UNHEALTHY_FAILURE_SHARE = 0.3
# Lower bound of the failure share of the peers. Without it, a single failure
# among healthy peers would be enough to eject a server.
MIN_PEER_FAILURE_SHARE = 0.01
# Above this failure share of the peers, failures are no evidence.
MAX_PEER_FAILURE_SHARE = 0.2
# Longest duration that counts for one call, in multiples of the scale. One
# call that never ends must be enough to eject a server: a score of 8 needs 8.4,
# and more if there is some evidence against the peers too.
MAX_RATIO = 14

BUCKETS_PER_OCTAVE = 4
HALF_LIFE_S = 10
MIN_SAMPLES = 8
# Quantiles to which the scale is fitted. Without the median, stalls are
# detected 0.2 s sooner at calls of 0.05 s, but servers are ejected falsely when
# all become slow. Higher quantiles are not robust: one unhealthy server among
# 18 gets 5% of the calls.
FITTED_QUANTILES = (0.5, 0.9)


def latency_evidence(calls: int, total_ratio: float) -> float:
    """Returns the evidence from completed calls.

    Args:
        calls: Number of calls.
        total_ratio: Sum of their durations in multiples of the scale.
    """
    return stall_evidence(total_ratio) - calls * math.log(SLOW_FACTOR)


def stall_evidence(total_ratio: float) -> float:
    """Returns the evidence from calls that have not ended yet."""
    return total_ratio * (1 - 1 / SLOW_FACTOR)


def failure_evidence(
    good: int, failed: int, peer_failure_share: float
) -> float:
    """Returns the evidence from failures.

    Args:
        good: Number of calls that succeeded.
        failed: Number of calls that failed.
        peer_failure_share: Share of calls that fail at the peers.
    """
    if peer_failure_share > MAX_PEER_FAILURE_SHARE:
        return 0
    expected = max(peer_failure_share, MIN_PEER_FAILURE_SHARE)
    per_good_call = math.log((1 - UNHEALTHY_FAILURE_SHARE) / (1 - expected))
    return (
        failed * math.log(UNHEALTHY_FAILURE_SHARE / expected)
        + good * per_good_call
    )


def bucket_of(duration: float) -> int:
    """Returns the histogram bucket of a duration in seconds."""
    octaves = math.log2(max(duration, 1e-4))
    return math.ceil(octaves * BUCKETS_PER_OCTAVE)


def duration_of(bucket: int) -> float:
    """Returns the upper bound of a bucket in seconds."""
    return 2 ** (bucket / BUCKETS_PER_OCTAVE)


class LatencyReference:
    """Histogram of the latencies of a service with exponential decay."""

    def __init__(self) -> None:
        self.counts: Counter[int] = Counter()
        self.updated_at: Instant | None = None

    def add(self, counts: dict[int, int], now: Instant) -> None:
        """Adds the number of calls in each bucket."""
        if self.updated_at is not None:
            factor = 0.5 ** ((now - self.updated_at) / HALF_LIFE_S)
            for bucket in self.counts:
                self.counts[bucket] *= factor  # type: ignore[assignment]
        self.updated_at = now
        self.counts.update(counts)

    def scale(self) -> float | None:
        """Returns the scale in seconds, or None if there are too few calls."""
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
