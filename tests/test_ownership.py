"""Tests of slice ownership."""

from itertools import product

import msgspec

from standins.fleet import Fleet
from teaselcove.events import DrainRequested
from teaselcove.ownership import STREAM, Ownership
from teaselcove.slices import (
    SLICE_COUNT,
    OwnerChange,
    OwnershipRecord,
    SliceTable,
    all_places,
)
from tests.test_fleet import make_fleet


def ownership(fleet: Fleet, name: str) -> Ownership:
    return fleet.hosts[name].kernel.service('ownership')


def active_places(fleet: Fleet) -> list[tuple[int, int]]:
    """Returns all places with an active owner, including duplicates."""
    owned = [
        (slice_id, ownership(fleet, name).owned(slice_id, fleet.now))
        for name, slice_id in product(fleet.hosts, range(SLICE_COUNT))
    ]
    return sorted(
        (slice_id, slice_owner.index)
        for slice_id, slice_owners in owned
        for slice_owner in slice_owners
    )


ALL_PLACES = [(place.slice_id, place.index) for place in all_places()]


class TestFold:
    """A record applies only if its base epoch is current."""

    def test_first_record_wins(self) -> None:
        """Guards against two owners after a race of proposers."""
        table = SliceTable()
        first = OwnerChange(7, 1, 0, 'host-1', 1)
        second = OwnerChange(7, 1, 0, 'host-2', 2)
        assert table.fold(OwnershipRecord((first, second))) == {7}
        assert not table.fold(OwnershipRecord((second,)))
        assert [slice_owner.host for slice_owner in table.owners(7)] == [
            'host-1'
        ]


class TestOwnership:
    """A fleet assigns owners and replaces those that left."""

    def test_first_allocation(self) -> None:
        """Guards against owners in the same zone and against many appends."""
        fleet = make_fleet(6)
        fleet.run_until(8)
        assert active_places(fleet) == ALL_PLACES
        assert len(fleet.log.streams[STREAM]) <= 2
        for slice_id in range(SLICE_COUNT):
            slice_owners = ownership(fleet, 'host-1').owners(slice_id)
            zones = {
                fleet.hosts[slice_owner.host].entry.zone
                for slice_owner in slice_owners
            }
            assert len(zones) == 3

    def test_single_host(self) -> None:
        """Guards against a small fleet with places that stay vacant."""
        fleet = make_fleet(1)
        fleet.run_until(6)
        assert active_places(fleet) == ALL_PLACES

    def test_crashed_owner(self) -> None:
        """Guards against replacing an owner before the list lag has passed."""
        fleet = make_fleet(6)
        fleet.run_until(8)
        fleet.crash('host-3')
        fleet.run_until(19)
        assert active_places(fleet) != ALL_PLACES
        fleet.run_until(25)
        assert active_places(fleet) == ALL_PLACES

    def test_restart(self) -> None:
        """Guards against waiting for a list that always contains the host."""
        fleet = make_fleet(6)
        fleet.run_until(8)
        fleet.add_host(fleet.hosts['host-3'].kernel.settings)
        fleet.run_until(11)
        assert active_places(fleet) == ALL_PLACES

    def test_drain(self) -> None:
        """Guards against a drain that needs many appends or two owners."""
        fleet = make_fleet(6)
        fleet.run_until(8)
        before = len(fleet.log.streams[STREAM])
        fleet.handle('host-3', DrainRequested())
        leaving = ownership(fleet, 'host-3')
        assert leaving.own_places()
        for place in leaving.own_places():
            assert leaving.first_owned_index(place.slice_id, fleet.now) is None
        fleet.run_until(10)
        assert len(fleet.log.streams[STREAM]) == before + 1
        assert active_places(fleet) == ALL_PLACES
        assert not leaving.own_places()

    def test_pause(self) -> None:
        """Guards against authority from a read that began before a pause."""
        fleet = make_fleet(6)
        fleet.run_until(8.005)
        owner = ownership(fleet, 'host-3')
        kernel = fleet.hosts['host-3'].kernel
        stale = fleet.log.read(STREAM, owner.next_offset)
        owner.is_reading = True
        kernel.handle(stale, 12)
        assert not owner.has_authority
        kernel.handle(stale, 12.1)
        assert owner.has_authority

    def test_zero_incarnation(self) -> None:
        """Guards against missing owners when the list has no incarnations."""
        fleet = make_fleet(3)
        fleet.listed = [
            (
                0,
                {
                    name: msgspec.structs.replace(host.entry, incarnation=0)
                    for name, host in fleet.hosts.items()
                },
            )
        ]
        fleet.run_until(9)
        assert active_places(fleet) == ALL_PLACES
