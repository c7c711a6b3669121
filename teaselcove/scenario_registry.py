"""Registry of experiment scenarios."""

from collections.abc import Callable

import msgspec

from teaselcove.experiment import Experiment
from teaselcove.registry import Registry


class Scenario(msgspec.Struct, frozen=True):
    """A named scenario.

    Attributes:
        prepare: Schedules faults and load changes before the start.
        duration: Virtual seconds.
    """

    name: str
    prepare: Callable[[Experiment], None]
    duration: float


scenarios: Registry[Scenario] = Registry('scenario')
Prepare = Callable[[Experiment], None]


def scenario(name: str, duration: float = 20) -> Callable[[Prepare], Prepare]:
    """Returns a decorator that registers a scenario."""

    def decorator(prepare: Prepare) -> Prepare:  # noqa: WPS430
        scenarios.register(name)(Scenario(name, prepare, duration))
        return prepare

    return decorator
