"""Figures of an experiment."""

import math
from collections import Counter, defaultdict

import msgspec

from teaselcove.callers import CallRecord
from teaselcove.errors import Outcome, Reason
from teaselcove.events import AttemptResult
from teaselcove.experiment import CALLS_FROM_S, DRAIN_S, Experiment, Span
from teaselcove.ids import BackendServerId, HostId
from teaselcove.watcher import Watcher

# A faulty server that gets more than this share of the calls of an average
# server, beside trial calls, still gets new work.
LATE_SHARE = 0.1
WINDOW_S = 0.5
BUDGET_WINDOW_S = 5
NOT_STARTED = frozenset(
    (AttemptResult.NOT_SENT.value, AttemptResult.SHED.value)
)
# The first second of an experiment is left out: caches and averages fill.
SETTLE_S = 1


class OrganisationFigures(msgspec.Struct, frozen=True):
    """How the calls of one organisation within its rate ended.

    Attributes:
        success: Share of calls with the complete answer to their own call.
        p99_ms: 99th percentile of the time until an answer.
        refused: Calls refused as not run, though within the rate.
    """

    organisation: str
    greedy: bool
    calls: int
    success: float
    p99_ms: float
    refused: int


class Figures(msgspec.Struct, frozen=True):
    """All figures of an experiment; times are in seconds.

    Attributes:
        detection_p50: Median time to detection over hosts and faults.
        undetected: Pairs of host and fault without detection.
        no_new_work: Time until the last faulty server got no new work.
        false_ejections: Ejections of well servers, summed over hosts.
        false_servers: Servers that were falsely ejected.
        least_healthy: Fewest healthy servers in use at any host.
        worst: The worst-served organisation that keeps its rate.
        wrongful: Share of calls within rate that were refused.
        retries: Share of calls; hedges and retries together.
        worst_retries: The same in the worst five seconds.
        repeats: Calls that may not be repeated but ran more than once.
        hurt: Most servers crashed by one request.
        blamed: Refusals as crashing of requests that crash nothing.
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
    """Returns a percentile, or NaN of nothing."""
    if not values:
        return math.nan
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(share * len(ranked)))]


def settled(run: Experiment) -> list[CallRecord]:
    """Returns the calls that count, without those that crash servers."""
    return [
        record
        for record in run.callers.records
        if record.sent_at >= CALLS_FROM_S + SETTLE_S and not record.crashing
    ]


def organisation_figures(
    run: Experiment, name: str, records: list[CallRecord]
) -> OrganisationFigures:
    """Returns the figures of one organisation."""
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
    """Returns the figures of all organisations."""
    records: defaultdict[str, list[CallRecord]] = defaultdict(list)
    for record in settled(run):
        records[record.organisation].append(record)
    return tuple(
        organisation_figures(run, name, records[name])
        for name in run.callers.callers
    )


def first_spans(run: Experiment) -> dict[tuple[str, HostId], Span]:
    """Returns the first fault of each server that a host has to detect."""
    first: dict[tuple[str, HostId], Span] = {}
    for span in sorted(run.spans, key=lambda known: known.start):
        for host in run.fleet.hosts:
            if span.expected and span.concerns(host):
                first.setdefault((span.server, host), span)
    return first


def detection(run: Experiment, watcher: Watcher) -> tuple[list[float], int]:
    """Returns the times to detection and how many are missing."""
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


def no_new_work(run: Experiment) -> float | None:
    """Returns when the last faulty server got no new work any more."""
    worst: float | None = None
    for span in run.spans:
        if run.duration - span.end > 0 or span.start >= run.duration:
            continue
        took = work_ends(run, span)
        worst = took if worst is None else max(worst, took)
    return worst


def work_ends(run: Experiment, span: Span) -> float:
    """Returns the seconds until a faulty server got trial calls at most."""
    window: Counter[int] = Counter()
    total: Counter[int] = Counter()
    trials = trial_calls(run)
    for at, host, server, _ in run.model.dials:
        if at >= span.start and span.concerns(host):
            index = int((at - span.start) / WINDOW_S)
            total[index] += 1
            if server == span.server and (at, host, server) not in trials:
                window[index] += 1
    busy = [
        index
        for index, dials in window.items()
        if dials > LATE_SHARE * total[index] / len(run.servers)
    ]
    return (max(busy) + 1) * WINDOW_S if busy else float(0)


def trial_calls(
    run: Experiment,
) -> frozenset[tuple[float, HostId, BackendServerId]]:
    """Returns when, by which host and at which server trials were made."""
    return frozenset(
        (at, host, decision.figures['server'])
        for at, host, decision in run.decisions
        if decision.kind == 'trial'
    )


def retry_shares(run: Experiment) -> tuple[float, float]:
    """Returns retries and hedges as a share of calls, overall and at worst."""
    calls: Counter[int] = Counter()
    again: Counter[int] = Counter()
    for record in run.callers.records:
        calls[int(record.sent_at / BUDGET_WINDOW_S)] += 1
    for at, _, decision in run.decisions:
        if decision.kind == 'hedge' or (
            decision.kind == 'retry'
            and decision.figures['result'] not in NOT_STARTED
        ):
            again[int(at / BUDGET_WINDOW_S)] += 1
    shares = [again[index] / calls[index] for index in calls]
    return sum(again.values()) / max(1, calls.total()), max(shares, default=0)


def repeats(run: Experiment) -> int:
    """Returns how many calls ran again although they may not."""
    return sum(
        not record.idempotent
        and len(run.model.executions.get(record.request_id, ())) > 1
        for record in run.callers.records
    )


def hurt(run: Experiment) -> int:
    """Returns the most servers that one crashing request has crashed."""
    crashed: Counter[bytes] = Counter()
    for _, _, request_id in run.model.crashes:
        crashed[run.callers.by_id[request_id].digest] += 1
    return max(crashed.values(), default=0)


def worst_served(
    figures: tuple[OrganisationFigures, ...],
) -> OrganisationFigures:
    """Returns the worst-served organisation that keeps its rate."""
    kept = [item for item in figures if not item.greedy]
    return min(kept, key=lambda item: item.success)


def wrongful(figures: tuple[OrganisationFigures, ...]) -> float:
    """Returns the share of calls refused although within the rate."""
    kept = [item for item in figures if not item.greedy]
    calls = sum(item.calls for item in kept)
    return sum(item.refused for item in kept) / max(1, calls)


def collect(run: Experiment, watcher: Watcher) -> Figures:
    """Returns the figures of an experiment that has ended."""
    times, missing = detection(run, watcher)
    organisations = by_organisation(run)
    retries, worst_retries = retry_shares(run)
    records = settled(run)
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
        no_new_work(run),
        len(watcher.false_ejections),
        tuple(sorted({item.server for item in watcher.false_ejections})),
        min(sample.least for sample in watcher.samples),
        run.service.floor,
        watcher.floor_violations,
        worst_served(organisations),
        organisations,
        wrongful(organisations),
        sum(record.status == 0 for record in records),
        retries,
        worst_retries,
        sum(decision.kind == 'hedge' for _, _, decision in run.decisions),
        repeats(run),
        hurt(run),
        reasons[Reason.CRASHING_REQUEST.value],
        run.fleet.sent.total() / host_seconds,
        run.fleet.sent_bytes.total() / host_seconds,
        dict(reasons),
    )
