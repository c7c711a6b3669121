"""Tests of the hosts that callers are told to use."""

from teaselcove.events import DrainRequested
from teaselcove.fleet import Fleet
from teaselcove.ids import OrganisationId
from teaselcove.placement import HostAnswer
from tests.test_fleet import make_fleet

ORGANISATION = OrganisationId('village')
HOSTS = 9


def answer(fleet: Fleet, name: str) -> HostAnswer:
    """Returns the placement answer of a host."""
    placement = fleet.hosts[name].kernel.service('placement')
    return placement.hosts_for(ORGANISATION, fleet.now)


def owner_addresses(fleet: Fleet) -> set[str]:
    """Returns the addresses of the owners of the organisation's slice."""
    ownership = fleet.hosts['host-1'].kernel.service('ownership')
    owners = ownership.owners(ownership.slice_of(ORGANISATION))
    return {fleet.hosts[owner.host].entry.address for owner in owners}


class TestOwnersFirst:
    """The owners of the organisation's slice come first."""

    def test_owners(self) -> None:
        """Guards against answers that do not start with the owners."""
        fleet = make_fleet(HOSTS)
        fleet.run_until(8)
        for name in fleet.hosts:
            first = answer(fleet, name).addresses[:3]
            assert set(first) == owner_addresses(fleet)

    def test_own_zone(self) -> None:
        """Guards against unnecessary traffic between zones."""
        fleet = make_fleet(HOSTS)
        fleet.run_until(8)
        zones = {
            host.entry.address: host.entry.zone for host in fleet.hosts.values()
        }
        for name, host in fleet.hosts.items():
            first = answer(fleet, name).addresses[0]
            assert zones[first] == host.entry.zone

    def test_draining_host_leaves(self) -> None:
        """Guards against sending new callers to a draining host."""
        fleet = make_fleet(HOSTS)
        fleet.run_until(8)
        leaving = fleet.hosts['host-4'].entry.address
        fleet.handle('host-4', DrainRequested())
        fleet.run_until(11)
        for name in fleet.hosts:
            assert leaving not in answer(fleet, name).addresses
