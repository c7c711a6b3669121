"""Registers all scenarios on import."""

from teaselcove import scenarios_load, scenarios_platform, scenarios_servers
from teaselcove.scenario_registry import Scenario, scenarios

SCENARIO_MODULES = (scenarios_load, scenarios_platform, scenarios_servers)

__all__ = ('SCENARIO_MODULES', 'Scenario', 'scenarios')
