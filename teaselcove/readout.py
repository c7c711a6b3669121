"""Counters and latency histograms of a host."""

from collections import Counter
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from teaselcove.errors import Outcome

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000
PERCENTILES = (50, 90, 99, 99.9)


class LatencySummary(msgspec.Struct, frozen=True):
    """Summary of a histogram; all times in microseconds."""

    count: int
    mean: float
    maximum: int
    percentiles: dict[str, int]


class Histogram:
    """Latency histogram with two significant digits."""

    def __init__(self) -> None:
        self.histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)

    def record(self, seconds: float) -> None:
        """Adds a latency."""
        micros = int(max(0, seconds) * US_PER_S)
        self.histogram.record_value(min(HIGHEST_US, max(LOWEST_US, micros)))

    def summary(self) -> LatencySummary:
        """Returns a summary of the recorded latencies."""
        histogram = self.histogram
        percentiles = {
            f'p{percentile}': histogram.get_value_at_percentile(percentile)
            for percentile in PERCENTILES
        }
        return LatencySummary(
            histogram.get_total_count(),
            round(histogram.get_mean_value(), 1),
            histogram.get_max_value(),
            percentiles,
        )


class HostMetrics:
    """Metrics that a host exposes at its metrics endpoint.

    Attributes:
        total: Time from a request's arrival to its answer.
        added: The part of `total` outside attempts.
        outcomes: Requests by outcome.
        reasons: Refusals by reason.
        decisions: Decision log lines by kind.
    """

    def __init__(self) -> None:
        self.total = Histogram()
        self.added = Histogram()
        self.outcomes: Counter[str] = Counter()
        self.reasons: Counter[str] = Counter()
        self.decisions: Counter[str] = Counter()

    def record_answer(self, total: float, running: float) -> None:
        """Counts an answered request.

        Args:
            total: Seconds from its arrival to its answer.
            running: Total duration of its attempts in seconds.
        """
        self.outcomes[Outcome.COMPLETE.value] += 1
        self.total.record(total)
        self.added.record(total - running)

    def record_refusal(self, outcome: str, reason: str) -> None:
        """Counts a refusal."""
        self.outcomes[outcome] += 1
        self.reasons[reason] += 1

    def snapshot(self, **counters: Any) -> dict[str, Any]:
        """Returns all metrics and the given counters as plain data."""
        return {
            'latency_us': self.total.summary(),
            'added_latency_us': self.added.summary(),
            'outcomes': dict(self.outcomes),
            'reasons': dict(self.reasons),
            'decisions': dict(self.decisions),
            **counters,
        }
