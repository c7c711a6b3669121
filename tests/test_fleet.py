"""Tests of the simulated fleet that other tests rely on."""

import msgspec

from standins.fleet import Fleet
from teaselcove.configuration import STREAM, ApplyRecord
from tests.support import ENTITIES, make_settings


def make_fleet(count: int, seed: int = 1) -> Fleet:
    """Returns a fleet in three zones with an initial configuration."""
    fleet = Fleet(seed)
    record = ApplyRecord('first', 0, ENTITIES)
    fleet.log.append(STREAM, msgspec.json.encode(record))
    for index in range(1, count + 1):
        settings = msgspec.structs.replace(
            make_settings(),
            host=f'host-{index}',
            zone='abc'[index % 3],
            address=f'127.0.1.{index}',
        )
        fleet.add_host(settings)
    return fleet


class TestFleet:
    """Hosts read the log and the list in virtual time."""

    def test_configuration_reaches_all(self) -> None:
        """Guards against hosts that cannot read the fake log."""
        fleet = make_fleet(3)
        fleet.run_until(5)
        versions = [
            host.kernel.service('configuration').version
            for host in fleet.hosts.values()
        ]
        assert versions == [1, 1, 1]

    def test_pause(self) -> None:
        """Guards against a paused host that goes on working."""
        fleet = make_fleet(2)
        fleet.run_until(1)
        fleet.pause('host-1', 3)
        fleet.log.append(
            STREAM, msgspec.json.encode(ApplyRecord('second', 1, ENTITIES))
        )
        fleet.run_until(3)
        configuration = fleet.hosts['host-1'].kernel.service('configuration')
        assert configuration.version == 1
        fleet.run_until(5)
        assert configuration.version == 2
