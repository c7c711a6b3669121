"""Plots of experiments over time."""

from collections import Counter
from pathlib import Path

from teaselcove.measure import Measurement

BIN_S = 0.5


def draw(measured: list[Measurement], path: Path) -> None:
    """Writes a PNG with calls, success and healthy servers over time."""
    from matplotlib.backends.backend_agg import FigureCanvasAgg
    from matplotlib.figure import Figure

    figure = Figure(figsize=(9, 3 * len(measured)))
    FigureCanvasAgg(figure)
    axes = figure.subplots(len(measured), 2, squeeze=False)
    for (left, right), item in zip(axes, measured, strict=True):
        draw_calls(left, item)
        draw_servers(right, item)
    figure.tight_layout()
    figure.savefig(path)


def draw_calls(axis: object, measured: Measurement) -> None:
    """Draws the rates of successful and failed calls."""
    succeeded: Counter[int] = Counter()
    failed: Counter[int] = Counter()
    for record in measured.run.callers.records:
        count = succeeded if record.succeeded else failed
        count[int(record.sent_at / BIN_S)] += 1
    bins = sorted(succeeded.keys() | failed.keys())
    times = [index * BIN_S for index in bins]
    axis.plot(times, [succeeded[index] / BIN_S for index in bins], label='ok')
    axis.plot(times, [failed[index] / BIN_S for index in bins], label='failed')
    axis.set_title(f'{measured.policy}: calls/s')
    axis.legend()


def draw_servers(axis: object, measured: Measurement) -> None:
    """Draws the healthy servers, those in use, and the floor."""
    samples = measured.watcher.samples
    times = [sample.at for sample in samples]
    axis.plot(times, [sample.healthy for sample in samples], label='healthy')
    axis.plot(times, [sample.min_in_use for sample in samples], label='in use')
    axis.axhline(measured.figures.floor, linestyle='--', label='floor')
    axis.set_title(f'{measured.policy}: servers')
    axis.legend()
