"""Tables of experiment metrics."""

from typing import Any

from teaselcove.figures import Figures

COLUMN_WIDTH = 22
LABEL_WIDTH = 26


def seconds(duration: float | None) -> str:
    """Formats a duration."""
    return '-' if duration is None else f'{duration:.2f} s'


def rows(figures: Figures) -> dict[str, Any]:
    """Returns the formatted metrics by label."""
    worst = figures.worst
    return {
        'calls': figures.calls,
        'detection p50': seconds(figures.detection_p50),
        'detection worst': seconds(figures.detection_worst),
        'undetected (host, fault)': figures.undetected,
        'no new work after': seconds(figures.no_new_work),
        'false ejections': figures.false_ejections,
        'falsely ejected servers': len(figures.false_servers),
        'least healthy in use': figures.least_healthy,
        'floor': figures.floor,
        'floor violations': figures.floor_violations,
        'worst-served': worst.organisation,
        '  its success': f'{worst.success:.4f}',
        '  its p99': f'{worst.p99_ms:.0f} ms',
        'wrongful refusals': f'{figures.wrongful:.4%}',
        'wrong answers given': figures.wrong_answers,
        'retries, share of calls': f'{figures.retries:.2%}',
        '  in the worst 5 s': f'{figures.worst_retries:.2%}',
        'hedges': figures.hedges,
        'non-idempotent repeats': figures.repeats,
        'servers hurt by a request': figures.hurt,
        'falsely blamed requests': figures.blamed,
        'messages/host/s': f'{figures.messages:.2f}',
        'bytes/host/s': f'{figures.bytes:.0f}',
    }


def table(columns: dict[str, Figures]) -> str:
    """Returns a table with a column for each set of policies."""
    texts = {policy: rows(figures) for policy, figures in columns.items()}
    header = ''.join(f'{policy:>{COLUMN_WIDTH}}' for policy in texts)
    lines = [' ' * LABEL_WIDTH + header]
    for label in next(iter(texts.values())):
        cells = ''.join(
            f'{column[label]!s:>{COLUMN_WIDTH}}' for column in texts.values()
        )
        lines.append(f'{label:<{LABEL_WIDTH}}{cells}')
    return '\n'.join(lines)


def organisations(figures: Figures) -> str:
    """Returns a table with a line for each organisation."""
    lines = [f'{"organisation":<18}{"calls":>8}{"success":>9}{"p99 ms":>8}']
    for item in figures.organisations:
        mark = ' exceeds its rate' if item.greedy else ''
        lines.append(
            f'{item.organisation:<18}{item.calls:>8}{item.success:>9.4f}'
            f'{item.p99_ms:>8.0f}{mark}'
        )
    return '\n'.join(lines)


ROW_HEADER = (
    'scenario',
    'policy',
    'detection p50 / worst',
    'undetected',
    'no new work',
    'false ejections',
    'below floor',
    'worst-served: success, p99',
    'wrongful',
    'retries, worst 5 s',
    'repeats',
    'hurt',
    'bytes/host/s',
)


def header() -> str:
    """Returns the header of a Markdown table of runs."""
    return f'| {" | ".join(ROW_HEADER)} |\n{"|---" * len(ROW_HEADER)}|'


def row(name: str, policy: str, figures: Figures) -> str:
    """Returns a run as a row of a Markdown table."""
    worst = figures.worst
    first = seconds(figures.detection_p50)
    last = seconds(figures.detection_worst)
    cells = (
        name,
        policy,
        f'{first} / {last}',
        figures.undetected,
        seconds(figures.no_new_work),
        figures.false_ejections,
        figures.floor_violations,
        f'{worst.organisation}: {worst.success:.4f}, {worst.p99_ms:.0f} ms',
        f'{figures.wrongful:.3%}',
        f'{figures.worst_retries:.1%}',
        figures.repeats,
        figures.hurt,
        f'{figures.bytes:.0f}',
    )
    return f'| {" | ".join(map(str, cells))} |'
