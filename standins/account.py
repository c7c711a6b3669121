"""Checks the guarantees of the fleet against caller and server records."""

from collections import Counter, defaultdict
from pathlib import Path
from typing import Any

import msgspec

from standins.caller import Line

RATE_REASON = 'rate'
COMPLETE = 'complete'
NOT_RUN = 'not-run'
# Maximum time from the acceptance of a key's withdrawal until no host accepts
# the key any more.
WITHDRAWAL_LIMIT_S = 5
DECISION_LOGGER = 'teaselcove.decisions'


class DemoSummary(msgspec.Struct):
    """Results of a demo run, printed as its last line.

    Attributes:
        detection_seconds: Time from the fault to the first ejection.
        worst_served: Organisation with the smallest share of answered calls,
            and that share. Leaves out the organisation whose key is withdrawn
            and the one that exceeds its rate.
        wrongful_refusals: Number of calls of each organisation that were
            refused for their rate although one ideal bucket would have
            admitted them.
        promises_broken: One sentence for each violated guarantee.
    """

    outcomes: dict[str, int]
    detection_seconds: float | None
    false_ejections: int
    worst_served: tuple[str, float]
    wrongful_refusals: dict[str, int]
    rate_overruns: int
    repeated_runs: int
    withdrawal_seconds: float
    promises_broken: list[str]


def read_lines(paths: list[Path]) -> list[Line]:
    """Returns the calls recorded in the output files of all callers."""
    return [
        msgspec.json.decode(raw, type=Line)
        for path in paths
        for raw in path.read_bytes().splitlines()
    ]


def largest_overrun(lines: list[Line], rate: float, burst: int) -> float:
    """Returns the largest excess of any time window over burst and rate.

    A window counts only calls that were both sent and answered inside it, so
    a positive result is always a real overrun.
    """
    admitted = sorted(
        (line.done_at, line.sent_at)
        for line in lines
        if line.outcome == COMPLETE
    )
    worst = float(0)
    starts = sorted(sent_at for _, sent_at in admitted)
    for start in starts:
        count = 0
        for done_at, sent_at in admitted:
            if sent_at >= start:
                count += 1
                allowed = burst + rate * (done_at - start)
                worst = max(worst, count - allowed)
    return worst


def wrongful_refusals(lines: list[Line], rate: float, burst: int) -> int:
    """Counts calls refused by rate that an ideal bucket would have admitted."""
    level = float(burst)
    last = float(0)
    wrongful = 0
    for line in sorted(lines, key=lambda call: call.sent_at):
        level = min(burst, level + (line.sent_at - last) * rate)
        last = line.sent_at
        if level >= 1:
            level -= 1
            wrongful += line.reason == RATE_REASON
    return wrongful


def worst_served(lines: list[Line], excluded: set[str]) -> tuple[str, float]:
    """Returns the organisation with the smallest share of answered calls."""
    total: Counter[str] = Counter()
    answered: Counter[str] = Counter()
    for line in lines:
        total[line.organisation] += 1
        answered[line.organisation] += line.outcome == COMPLETE
    shares = {
        name: answered[name] / total[name]
        for name in total
        if name not in excluded
    }
    name = min(shares, key=lambda candidate: shares[candidate])
    return name, round(shares[name], 4)


def find_violations(
    lines: list[Line], runs: Counter[str], executed: set[str]
) -> list[str]:
    """Describes repeated runs, false refusals and mixed-up answers."""
    violations = []
    for line in lines:
        run_count = runs[line.call]
        if line.booking and run_count > 1:
            violations.append(f'booking {line.call} ran {run_count} times')
        all_not_run = all(result[0] == NOT_RUN for result in line.outcomes)
        if line.outcomes and all_not_run and line.call in executed:
            violations.append(
                f'{line.call} ran although every refusal says that it did not'
            )
        if not line.own:
            violations.append(f'{line.call} got the answer to another call')
    return violations


def group_by_organisation(lines: list[Line]) -> dict[str, list[Line]]:
    """Groups calls by organisation."""
    grouped: defaultdict[str, list[Line]] = defaultdict(list)
    for line in lines:
        grouped[line.organisation].append(line)
    return grouped


def read_decisions(directory: Path, kind: str) -> list[dict[str, Any]]:
    """Returns the decisions of one kind from the logs of all hosts."""
    matching = []
    for path in sorted(directory.glob('host-*.log')):
        for raw in path.read_bytes().splitlines():
            if raw.startswith(b'{'):
                line = msgspec.json.decode(raw)
                if (
                    line['logger'] == DECISION_LOGGER
                    and line['message'] == kind
                ):
                    matching.append(line)
    return matching
