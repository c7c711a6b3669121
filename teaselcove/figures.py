"""Metrics of an experiment."""

import math
from collections import Counter, defaultdict

import msgspec

from teaselcove.callers import CallRecord
from teaselcove.errors import Outcome, Reason
from teaselcove.events import AttemptResult
from teaselcove.experiment import DRAIN_S, FIRST_CALL_AT_S, Experiment, Span
from teaselcove.ids import BackendServerId, HostId
from teaselcove.watcher import Watcher

# A faulty server still counts as getting new work while it gets more than this
# share of the calls of an average server, trial calls excluded.
NEW_WORK_SHARE = 0.1
NEW_WORK_WINDOW_S = 0.5
RETRY_WINDOW_S = 5
NOT_STARTED = frozenset(
    (AttemptResult.NOT_SENT.value, AttemptResult.SHED.value)
)
# Seconds of calls left out of the metrics, while caches and averages fill.
WARM_UP_S = 1


class OrganisationFigures(msgspec.Struct, frozen=True):
    """Outcomes of an organisation's calls within its rate.

    Attributes:
        success: Share of calls that got their complete own answer.
        p99_ms: 99th percentile of the latency of successful calls.
        refused: Calls refused without being run.
    """

    organisation: str
    greedy: bool
    calls: int
    success: float
    p99_ms: float
    refused: int


class Figures(msgspec.Struct, frozen=True):
    """All metrics of an experiment; times are in seconds.

    Attributes:
        detection_p50: Median time to detection over hosts and faults.
        undetected: Pairs of host and fault that were not detected.
        no_new_work: Time until no faulty server gets new work.
        false_ejections: Ejections of healthy servers, over all hosts.
        false_servers: Servers that were falsely ejected.
        least_healthy: Fewest healthy servers in use at any host.
        worst: The worst-served organisation that keeps to its rate.
        wrongful: Share of calls within rate that were refused.
        retries: Retries and hedges as a share of all calls.
        worst_retries: The highest such share over five seconds.
        repeats: Non-idempotent calls that ran more than once.
        hurt: Most servers crashed by one request.
        blamed: Harmless requests refused as crashing servers.
        messages: Control messages per host and second.
        bytes: Bytes of control messages per host and second.
    """

    calls: int
    detection_p50: float | None
    detection_worst: float | None
    undetected: int
    no_new_work: float | None
    false_ejections: int
    false_servers: tuple[str, ...]
    least_healthy: int
    floor: int
    floor_violations: int
    worst: OrganisationFigures
    organisations: tuple[OrganisationFigures, ...]
    wrongful: float
    wrong_answers: int
    retries: float
    worst_retries: float
    hedges: int
    repeats: int
    hurt: int
    blamed: int
    messages: float
    bytes: float
    reasons: dict[str, int]


def percentile(values: list[float], share: float) -> float:
    """Returns a percentile, or NaN if there are no values."""
    if not values:
        return math.nan
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(share * len(ranked)))]


def measured_calls(run: Experiment) -> list[CallRecord]:
    """Returns the calls after the warm-up, without crashing ones."""
    return [
        record
        for record in run.callers.records
        if record.sent_at >= FIRST_CALL_AT_S + WARM_UP_S and not record.crashing
    ]


def organisation_figures(
    run: Experiment, name: str, records: list[CallRecord]
) -> OrganisationFigures:
    """Returns the metrics of one organisation."""
    greedy = name in run.greedy
    counted = [record for record in records if record.within_rate]
    took = [
        record.ended_at - record.sent_at
        for record in counted
        if record.succeeded and record.ended_at is not None
    ]
    refused = sum(record.outcome is Outcome.NOT_RUN for record in counted)
    return OrganisationFigures(
        name,
        greedy,
        len(counted),
        len(took) / len(counted) if counted else 1,
        percentile(took, 0.99) * 1000,
        refused,
    )


def by_organisation(run: Experiment) -> tuple[OrganisationFigures, ...]:
    """Returns the metrics of all organisations."""
    records: defaultdict[str, list[CallRecord]] = defaultdict(list)
    for record in measured_calls(run):
        records[record.organisation].append(record)
    return tuple(
        organisation_figures(run, name, records[name])
        for name in run.callers.callers
    )


def first_spans(run: Experiment) -> dict[tuple[str, HostId], Span]:
    """Returns the first fault to detect by server and host."""
    first: dict[tuple[str, HostId], Span] = {}
    for span in sorted(run.fault_spans, key=lambda known: known.start):
        for host in run.fleet.hosts:
            if span.expected and span.affects(host):
                first.setdefault((span.server, host), span)
    return first


def detection_times(
    run: Experiment, watcher: Watcher
) -> tuple[list[float], int]:
    """Returns the times to detection and the number of undetected faults."""
    found: dict[tuple[str, HostId], float] = {}
    for (span, host), at in watcher.detected.items():
        pair = (span.server, host)
        found[pair] = min(at, found.get(pair, at))
    first = first_spans(run)
    times = [
        found[pair] - fault.start
        for pair, fault in first.items()
        if pair in found
    ]
    return times, len(first) - len(times)


def time_to_no_new_work(run: Experiment) -> float | None:
    """Returns the longest time in which a faulty server got new work."""
    worst: float | None = None
    for span in run.fault_spans:
        if run.duration - span.end > 0 or span.start >= run.duration:
            continue
        took = seconds_of_new_work(run, span)
        worst = took if worst is None else max(worst, took)
    return worst


def seconds_of_new_work(run: Experiment, span: Span) -> float:
    """Returns the seconds until a faulty server gets only trial calls."""
    window: Counter[int] = Counter()
    total: Counter[int] = Counter()
    trials = trial_calls(run)
    for at, host, server, _ in run.model.dials:
        if at >= span.start and span.affects(host):
            index = int((at - span.start) / NEW_WORK_WINDOW_S)
            total[index] += 1
            if server == span.server and (at, host, server) not in trials:
                window[index] += 1
    busy = [
        index
        for index, dials in window.items()
        if dials > NEW_WORK_SHARE * total[index] / len(run.servers)
    ]
    return (max(busy) + 1) * NEW_WORK_WINDOW_S if busy else float(0)


def trial_calls(
    run: Experiment,
) -> frozenset[tuple[float, HostId, BackendServerId]]:
    """Returns the time, host and server of each trial."""
    return frozenset(
        (at, host, decision.figures['server'])
        for at, host, decision in run.decisions
        if decision.kind == 'trial'
    )


def retry_shares(run: Experiment) -> tuple[float, float]:
    """Returns the mean and the highest share of retries and hedges."""
    calls: Counter[int] = Counter()
    retries: Counter[int] = Counter()
    for record in run.callers.records:
        calls[int(record.sent_at / RETRY_WINDOW_S)] += 1
    for at, _, decision in run.decisions:
        if decision.kind == 'hedge' or (
            decision.kind == 'retry'
            and decision.figures['result'] not in NOT_STARTED
        ):
            retries[int(at / RETRY_WINDOW_S)] += 1
    shares = [retries[index] / calls[index] for index in calls]
    return sum(retries.values()) / max(1, calls.total()), max(shares, default=0)


def count_repeats(run: Experiment) -> int:
    """Returns how many non-idempotent calls ran more than once."""
    return sum(
        not record.idempotent
        and len(run.model.executions.get(record.request_id, ())) > 1
        for record in run.callers.records
    )


def most_crashed_servers(run: Experiment) -> int:
    """Returns the largest number of servers crashed by one request."""
    crashed: Counter[bytes] = Counter()
    for _, _, request_id in run.model.crashes:
        crashed[run.callers.by_id[request_id].digest] += 1
    return max(crashed.values(), default=0)


def worst_served(
    figures: tuple[OrganisationFigures, ...],
) -> OrganisationFigures:
    """Returns the worst-served organisation that keeps to its rate."""
    kept = [item for item in figures if not item.greedy]
    return min(kept, key=lambda item: item.success)


def wrongful_share(figures: tuple[OrganisationFigures, ...]) -> float:
    """Returns the share of calls refused despite being within the rate."""
    kept = [item for item in figures if not item.greedy]
    calls = sum(item.calls for item in kept)
    return sum(item.refused for item in kept) / max(1, calls)


def collect(run: Experiment, watcher: Watcher) -> Figures:
    """Returns the metrics of a finished experiment."""
    times, missing = detection_times(run, watcher)
    organisations = by_organisation(run)
    retries, worst_retries = retry_shares(run)
    records = measured_calls(run)
    reasons = Counter(
        record.reason.value for record in records if record.reason is not None
    )
    reasons['no-outcome'] = sum(record.outcome is None for record in records)
    host_seconds = run.conditions.deployment.hosts * (run.duration + DRAIN_S)
    return Figures(
        len(records),
        percentile(times, 0.5) if times else None,
        max(times, default=None),
        missing,
        time_to_no_new_work(run),
        len(watcher.false_ejections),
        tuple(sorted({item.server for item in watcher.false_ejections})),
        min(sample.min_in_use for sample in watcher.samples),
        run.service.floor,
        watcher.floor_violations,
        worst_served(organisations),
        organisations,
        wrongful_share(organisations),
        sum(record.status == 0 for record in records),
        retries,
        worst_retries,
        sum(decision.kind == 'hedge' for _, _, decision in run.decisions),
        count_repeats(run),
        most_crashed_servers(run),
        reasons[Reason.CRASHING_REQUEST.value],
        run.fleet.sent.total() / host_seconds,
        run.fleet.sent_bytes.total() / host_seconds,
        dict(reasons),
    )
