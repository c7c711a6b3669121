"""Recent latencies of a service, as one host sees them."""

from collections import deque

WINDOW = 256
# Fewer latencies say little about the slowest ones.
MIN_KNOWN = 20
RECOMPUTE_EVERY = 16
QUANTILE = 0.95


class LatencyWindow:
    """A quantile of the latest latencies in seconds."""

    def __init__(self) -> None:
        self.known: deque[float] = deque(maxlen=WINDOW)
        self.fresh = 0
        self.cached: float | None = None

    def add(self, latency: float) -> None:
        """Adds a latency."""
        self.known.append(latency)
        self.fresh += 1

    def quantile(self) -> float | None:
        """Returns the quantile, or None while too little is known."""
        if len(self.known) < MIN_KNOWN:
            return None
        if self.cached is None or self.fresh >= RECOMPUTE_EVERY:
            ranked = sorted(self.known)
            self.cached = ranked[int(QUANTILE * len(ranked))]
            self.fresh = 0
        return self.cached
