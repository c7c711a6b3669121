"""Request counters and latency histogram of a host."""

from collections import Counter
from collections.abc import Mapping

from hdrh.histogram import HdrHistogram

from teaselcove.ingress.clock import boot_time

US_PER_S = 1_000_000
# Upper bound of the histogram; exceeds any route's timeout.
MAX_LATENCY_US = 60 * US_PER_S
PERCENTILES = (50, 90, 99)


def labelled(
    name: str, label: str, counts: Mapping[str, int]
) -> dict[str, int]:
    """Returns counts as metrics that differ in one label."""
    return {
        f'{name}{{{label}="{kind}"}}': count for kind, count in counts.items()
    }


class RequestMetrics:
    """Counts requests by outcome and records their latency."""

    def __init__(self) -> None:
        self.outcomes: Counter[str] = Counter()
        self.latency = HdrHistogram(1, MAX_LATENCY_US, 2)

    def record_end(self, outcome: str, arrived_at: float) -> None:
        """Records the outcome and latency of a request."""
        self.outcomes[outcome] += 1
        elapsed = max(0, boot_time() - arrived_at)
        self.latency.record_value(int(elapsed * US_PER_S))

    def render(self, gauges: dict[str, float]) -> str:
        """Returns all metrics in the Prometheus text format.

        Args:
            gauges: Values by name, which may end in labels.
        """
        lines = ['# TYPE teaselcove_requests_total counter']
        for outcome, count in sorted(self.outcomes.items()):
            labels = f'{{outcome="{outcome}"}}'
            lines.append(f'teaselcove_requests_total{labels} {count}')
        lines.append('# TYPE teaselcove_request_seconds summary')
        for percentile in PERCENTILES:
            value = self.latency.get_value_at_percentile(percentile) / US_PER_S
            labels = f'{{quantile="{percentile / 100}"}}'
            lines.append(f'teaselcove_request_seconds{labels} {value}')
        for name, gauge in sorted(gauges.items()):
            if '{' not in name:
                lines.append(f'# TYPE teaselcove_{name} gauge')
            lines.append(f'teaselcove_{name} {gauge}')
        return '\n'.join([*lines, ''])
