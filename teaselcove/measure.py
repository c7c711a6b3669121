"""Runs scenarios with a policy and its baselines.

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

UNLIMITED = PolicySettings(limiter='unlimited')

bundles: Registry[PolicySettings] = Registry('policy')
bundles.register('default')(UNLIMITED)
bundles.register('none')(
    msgspec.structs.replace(
        UNLIMITED, ejection='none', balancer='round-robin', queue='fifo'
    )
)
bundles.register('consecutive-failures')(
    msgspec.structs.replace(
        UNLIMITED,
        ejection='consecutive-failures',
        balancer='least-in-flight',
        queue='fifo',
    )
)
BASELINES = ('none', 'consecutive-failures')


class Measured(msgspec.Struct):
    """An experiment that has ended, with its figures."""

    policy: str
    run: Experiment
    watcher: Watcher
    figures: Figures


def measure(
    scenario: Scenario, conditions: Conditions, policy: str
) -> Measured:
    """Runs a scenario with a policy."""
    if conditions.duration is None:
        conditions = msgspec.structs.replace(
            conditions, duration=scenario.duration
        )
    run = Experiment(conditions, available(bundles.get(policy)))
    scenario.prepare(run)
    run.start()
    watcher = Watcher(run)
    run.run()
    return Measured(policy, run, watcher, collect(run, watcher))


def available(policies: PolicySettings) -> PolicySettings:
    """Replaces entries that are not registered by those that always are."""
    changes = {}
    if policies.balancer not in balancers.entries:
        changes['balancer'] = 'least-in-flight'
    if policies.ejection not in ejection_policies.entries:
        changes['ejection'] = 'none'
    return msgspec.structs.replace(policies, **changes)


if __name__ == '__main__':
    from teaselcove.commands.measure import main

    sys.exit(main())
