"""Tests of experiments and their metrics."""

import msgspec
import pytest

from teaselcove.deployments import Deployment, deployments
from teaselcove.experiment import Conditions
from teaselcove.figures import Figures, trial_calls
from teaselcove.measure import Measurement, measure
from teaselcove.scenarios import scenarios

MIN_SUCCESS = 0.99
MAX_WRONGFUL = 0.001
MAX_RETRIES = 0.2
MAX_DETECTION_S = 2
MAX_NEW_WORK_S = 3
SMALL = Deployment('small', hosts=6, servers=9, zone_delay=0.001)
LOW_LOAD = Conditions(SMALL, rate=30, duration=12)


def run(name: str, **changes: object) -> Measurement:
    """Runs a scenario at a low load."""
    conditions = msgspec.structs.replace(LOW_LOAD, **changes)
    return measure(scenarios.get(name), conditions, 'default')


class TestMeasure:
    """Runs are repeatable and their metrics are consistent."""

    def test_repeatable(self) -> None:
        """Guards against randomness without a seed."""
        assert run('stall').figures == run('stall').figures

    def test_each_call_ends_once(self) -> None:
        """Guards against calls with no outcome or with several."""
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


class TestTargets:
    """Stated targets, checked on a deployment with fixed seeds."""

    def measured(self, name: str, **changes: object) -> Figures:
        """Returns the metrics of a scenario, by default at 0.7 of capacity."""
        fields = {'duration': 15, 'seed': 3, **changes}
        conditions = Conditions(deployments.get('brunnwerk'), **fields)
        return measure(scenarios.get(name), conditions, 'default').figures

    @pytest.mark.parametrize(
        ('name', 'limited'), [('greedy', False), ('greedy-overload', True)]
    )
    def test_fairness(self, name: str, limited: bool) -> None:
        """Guards against an organisation that crowds out the others."""
        figures = self.measured(name, limited=limited)
        assert figures.worst.success >= MIN_SUCCESS
        assert figures.wrongful < MAX_WRONGFUL

    def test_crashing_requests(self) -> None:
        """Guards against a third crash and refusals of harmless requests."""
        figures = self.measured('crashing-requests')
        assert 0 < figures.hurt <= 2
        assert figures.wrongful < MAX_WRONGFUL
        assert figures.repeats == 0

    def test_retries_when_all_fail(self) -> None:
        """Guards against retries that amplify an outage."""
        figures = self.measured('all-fail')
        assert 0 < figures.worst_retries <= MAX_RETRIES
        assert figures.repeats == 0

    @pytest.mark.parametrize('name', ['stall', 'slow'])
    @pytest.mark.parametrize('rate', [None, 10])
    def test_detection(self, name: str, rate: float | None) -> None:
        """Guards against faulty servers found late or still given work."""
        figures = self.measured(name, rate=rate, seed=1, duration=None)
        assert figures.undetected == 0
        assert figures.detection_worst <= MAX_DETECTION_S
        assert figures.no_new_work <= MAX_NEW_WORK_S
        assert figures.false_ejections == 0
        assert figures.floor_violations == 0

    @pytest.mark.parametrize('seed', [1, 2])
    def test_trial_calls_are_answered(self, seed: int) -> None:
        """Guards against refusing calls whose failed trial isn't retried."""
        conditions = Conditions(
            deployments.get('brunnwerk'), rate=10, seed=seed
        )
        run = measure(scenarios.get('stall'), conditions, 'default').run
        trials = trial_calls(run)
        tried = {
            request
            for at, host, server, request in run.model.dials
            if (at, host, server) in trials
        }
        refused = {
            decision.figures['request']
            for _, _, decision in run.decisions
            if decision.kind == 'refuse'
        }
        assert tried
        assert not tried & refused

    @pytest.mark.parametrize('name', ['overload', 'cold-start'])
    def test_no_false_ejection(self, name: str) -> None:
        """Guards against ejecting servers that are all slow or cold."""
        figures = self.measured(name, limited=True, seed=1)
        assert figures.false_ejections == 0
        assert figures.floor_violations == 0

    def test_crashing_request(self) -> None:
        """Guards against refusals while crashed servers recover."""
        figures = self.measured('crashing-request', seed=1)
        assert 0 < figures.hurt <= 2
        assert figures.wrongful < MAX_WRONGFUL

    def test_zone_lost(self) -> None:
        """Guards against refusals after the loss of a zone."""
        figures = self.measured('zone-lost', duration=20, seed=1)
        assert figures.wrongful < MAX_WRONGFUL
