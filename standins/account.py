"""Checks the promises against what callers and backend servers saw."""

from collections import Counter, defaultdict
from pathlib import Path
from typing import Any

import msgspec

from standins.caller import Line

RATE_REASON = 'rate'
COMPLETE = 'complete'
NOT_RUN = 'not-run'
# Calls that a key's withdrawal may still let through: acceptance to force.
WITHDRAWAL_LIMIT_S = 5
DECISIONS = 'teaselcove.decisions'


class Account(msgspec.Struct):
    """Figures of a run; the last line of the demo.

    Attributes:
        detection_seconds: Time from the fault to the first ejection.
        worst_served: Organisation and its share of answers, without the one
            whose key is withdrawn and the one that overruns its rate.
        wrongful_refusals: Calls of each organisation that were refused for
            its rate although one ideal bucket would have admitted them.
        promises_broken: One sentence for each broken promise.
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
    """Returns the calls of all callers."""
    return [
        msgspec.json.decode(raw, type=Line)
        for path in paths
        for raw in path.read_bytes().splitlines()
    ]


def largest_overrun(lines: list[Line], rate: float, burst: int) -> float:
    """Returns by how many calls a window exceeds burst and rate.

    Only calls that were sent and answered inside a window count for it, so
    that a positive figure is always a real overrun.
    """
    admitted = sorted(
        (line.done_at, line.sent_at)
        for line in lines
        if line.outcome == COMPLETE
    )
    worst = float(0)
    starts = sorted(sent_at for _, sent_at in admitted)
    for start in starts:
        inside = 0
        for done_at, sent_at in admitted:
            if sent_at >= start:
                inside += 1
                allowed = burst + rate * (done_at - start)
                worst = max(worst, inside - allowed)
    return worst


def wrongful_refusals(lines: list[Line], rate: float, burst: int) -> int:
    """Counts calls refused although an ideal bucket would admit them."""
    level = float(burst)
    last = float(0)
    wrongful = 0
    for line in sorted(lines, key=lambda found: found.sent_at):
        level = min(burst, level + (line.sent_at - last) * rate)
        last = line.sent_at
        if level >= 1:
            level -= 1
            wrongful += line.reason == RATE_REASON
    return wrongful


def worst_served(lines: list[Line], left_out: set[str]) -> tuple[str, float]:
    """Returns the organisation with the smallest share of answers."""
    total: Counter[str] = Counter()
    answered: Counter[str] = Counter()
    for line in lines:
        total[line.organisation] += 1
        answered[line.organisation] += line.outcome == COMPLETE
    shares = {
        name: answered[name] / total[name]
        for name in total
        if name not in left_out
    }
    name = min(shares, key=lambda found: shares[found])
    return name, round(shares[name], 4)


def broken_runs(
    lines: list[Line], runs: Counter[str], executed: set[str]
) -> list[str]:
    """Returns what is wrong with runs and refusals of calls."""
    broken = []
    for line in lines:
        times = runs[line.call]
        if line.booking and times > 1:
            broken.append(f'booking {line.call} ran {times} times')
        said_not_run = all(found[0] == NOT_RUN for found in line.outcomes)
        if line.outcomes and said_not_run and line.call in executed:
            broken.append(f'{line.call} ran although all refusals deny it')
        if not line.own:
            broken.append(f'{line.call} got the answer to another call')
    return broken


def by_organisation(lines: list[Line]) -> dict[str, list[Line]]:
    """Returns the calls of each organisation."""
    grouped: defaultdict[str, list[Line]] = defaultdict(list)
    for line in lines:
        grouped[line.organisation].append(line)
    return grouped


def read_decisions(directory: Path, kind: str) -> list[dict[str, Any]]:
    """Returns the log lines of all hosts about decisions of a kind."""
    found = []
    for path in sorted(directory.glob('host-*.log')):
        for raw in path.read_bytes().splitlines():
            if raw.startswith(b'{'):
                line = msgspec.json.decode(raw)
                if line['logger'] == DECISIONS and line['message'] == kind:
                    found.append(line)
    return found
