"""Tests of the experiment tool."""

import msgspec
import pytest

from teaselcove.deployments import Deployment
from teaselcove.experiment import Conditions
from teaselcove.measure import Measured, measure
from teaselcove.scenarios import scenarios

SMALL = Deployment('small', hosts=6, servers=9, zone_delay=0.001)
QUIET = Conditions(SMALL, rate=30, duration=12)


def run(name: str, **changes: object) -> Measured:
    """Runs a scenario with few calls."""
    conditions = msgspec.structs.replace(QUIET, **changes)
    return measure(scenarios.get(name), conditions, 'default')


class TestMeasure:
    """Runs are repeatable and their figures are consistent."""

    def test_repeatable(self) -> None:
        """Guards against randomness without a seed."""
        assert run('stall').figures == run('stall').figures

    def test_each_call_ends_once(self) -> None:
        """Guards against calls that the tool loses."""
        measured = run('steady')
        outcomes = measured.run.fleet.outcomes
        assert all(len(found) == 1 for found in outcomes.values())
        assert measured.figures.reasons['no-outcome'] == 0
        assert measured.figures.worst.success == 1

    @pytest.mark.parametrize('name', scenarios.names())
    def test_scenario(self, name: str) -> None:
        """Guards against a scenario that cannot run."""
        measured = run(name, rate=10, duration=11)
        assert measured.figures.calls > 0
