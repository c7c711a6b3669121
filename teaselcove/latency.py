"""Recent latencies of a service as measured by one host."""

from collections import deque

WINDOW_SIZE = 256
# With fewer latencies, the estimate of the quantile is too rough.
MIN_LATENCIES = 20
RECOMPUTE_EVERY = 16
QUANTILE = 0.95


class LatencyWindow:
    """Quantile of the latest latencies in seconds."""

    def __init__(self) -> None:
        self.latencies: deque[float] = deque(maxlen=WINDOW_SIZE)
        self.added = 0
        self.cached: float | None = None

    def add(self, latency: float) -> None:
        """Adds a latency."""
        self.latencies.append(latency)
        self.added += 1

    def quantile(self) -> float | None:
        """Returns the quantile, or None if there are too few latencies."""
        if len(self.latencies) < MIN_LATENCIES:
            return None
        if self.cached is None or self.added >= RECOMPUTE_EVERY:
            ranked = sorted(self.latencies)
            self.cached = ranked[int(QUANTILE * len(ranked))]
            self.added = 0
        return self.cached
