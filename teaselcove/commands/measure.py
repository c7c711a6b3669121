"""The command that runs an experiment."""

from pathlib import Path
from typing import Any

import fire
import msgspec

from teaselcove import plot as plots
from teaselcove import report
from teaselcove.deployments import deployments
from teaselcove.experiment import Conditions
from teaselcove.measure import BASELINES, measure
from teaselcove.scenarios import scenarios


class MeasureOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Options of the `measure` command.

    Attributes:
        policy: Name of the set of policies.
        deployment: Name of the deployment.
        load: Offered load as a share of the capacity.
        rate: Offered load in calls per second, in place of `load`.
        seed: Seed of all random numbers.
        duration: Virtual seconds, in place of the scenario's duration.
        limited: Whether rate limits are enforced exactly.
        baselines: Whether to run the baseline policies as well.
        json: Path of a JSON file for the metrics.
        plot: Path of a PNG file for a plot.
        markdown: Whether to print rows of a Markdown table.
    """

    policy: str = 'default'
    deployment: str = 'brunnwerk'
    load: float = 0.7
    rate: float | None = None
    seed: int = 1
    duration: float | None = None
    limited: bool = False
    baselines: bool = True
    json: str | None = None
    plot: str | None = None
    markdown: bool = False

    @property
    def conditions(self) -> Conditions:
        """The conditions of the experiment."""
        return Conditions(
            deployments.get(self.deployment),
            self.load,
            self.rate,
            self.duration,
            self.seed,
            self.limited,
        )


def run_measure(scenario: str, **options: Any) -> None:
    """Runs a scenario in virtual time and prints its metrics.

    Args:
        scenario: Name of the scenario.
        options: The fields of `MeasureOptions`.

    Raises:
        msgspec.ValidationError: If an option is unknown or not valid.
    """
    chosen = msgspec.convert(options, MeasureOptions)
    names = [chosen.policy]
    if chosen.baselines:
        names.extend(BASELINES)
    measured = [
        measure(scenarios.get(scenario), chosen.conditions, name)
        for name in dict.fromkeys(names)
    ]
    columns = {item.policy: item.figures for item in measured}
    if chosen.markdown:
        for policy, figures in columns.items():
            print(report.row(scenario, policy, figures))
    else:
        print(report.table(columns))
        print(report.organisations(measured[0].figures))
    if chosen.json:
        Path(chosen.json).write_bytes(msgspec.json.encode(columns))
    if chosen.plot:
        plots.draw(measured, Path(chosen.plot))


def main() -> None:
    """Runs the `measure` command on its own."""
    fire.Fire(run_measure)
