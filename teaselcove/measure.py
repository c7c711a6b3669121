"""Runs scenarios with a set of policies and its baselines.

`python -m teaselcove.measure SCENARIO [--policy NAME] [--seed N]`
"""

import sys

import msgspec

from teaselcove.experiment import Conditions, Experiment
from teaselcove.figures import Figures, collect
from teaselcove.health import ejection_policies
from teaselcove.registry import Registry
from teaselcove.routing import balancers
from teaselcove.scenarios import Scenario
from teaselcove.settings import PolicySettings
from teaselcove.watcher import Watcher

DEFAULT_POLICIES = PolicySettings(
    limiter='unlimited', ejection='peer-comparison', balancer='two-choices'
)

policy_sets: Registry[PolicySettings] = Registry('policy')
policy_sets.register('default')(DEFAULT_POLICIES)
policy_sets.register('none')(
    msgspec.structs.replace(
        DEFAULT_POLICIES, ejection='none', balancer='round-robin', queue='fifo'
    )
)
policy_sets.register('consecutive-failures')(
    msgspec.structs.replace(
        DEFAULT_POLICIES,
        ejection='consecutive-failures',
        balancer='least-in-flight',
        queue='fifo',
    )
)
BASELINES = ('none', 'consecutive-failures')


class Measurement(msgspec.Struct):
    """A finished experiment with its metrics."""

    policy: str
    run: Experiment
    watcher: Watcher
    figures: Figures


def measure(
    scenario: Scenario, conditions: Conditions, policy: str
) -> Measurement:
    """Runs a scenario with a named set of policies."""
    if conditions.duration is None:
        conditions = msgspec.structs.replace(
            conditions, duration=scenario.duration
        )
    run = Experiment(conditions, replace_unregistered(policy_sets.get(policy)))
    scenario.prepare(run)
    run.start()
    watcher = Watcher(run)
    run.run()
    return Measurement(policy, run, watcher, collect(run, watcher))


def replace_unregistered(policies: PolicySettings) -> PolicySettings:
    """Replaces unregistered policies by ones that are always registered."""
    changes = {}
    if policies.balancer not in balancers.entries:
        changes['balancer'] = 'least-in-flight'
    if policies.ejection not in ejection_policies.entries:
        changes['ejection'] = 'none'
    return msgspec.structs.replace(policies, **changes)


if __name__ == '__main__':
    from teaselcove.commands.measure import main

    sys.exit(main())
