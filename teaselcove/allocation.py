"""Allocation of slices to hosts."""

import heapq
from collections import defaultdict

from teaselcove.events import HostEntry
from teaselcove.ids import HostId, Incarnation, SliceId, ZoneName
from teaselcove.placement import rendezvous_score
from teaselcove.slices import OWNER_COUNT, OwnerChange, OwnerKey, SliceTable


class Allocator:
    """Selects hosts with few places, in zones that a slice does not use.

    Attributes:
        zones: Hosts by availability zone, as heaps of (places, score, host).
        assigned: Host of each place that this allocator has assigned.
    """

    def __init__(
        self,
        table: SliceTable,
        hosts: list[HostEntry],
        incarnations: dict[HostId, Incarnation],
    ) -> None:
        self.table = table
        self.incarnations = incarnations
        self.zone_of = {entry.host: entry.zone for entry in hosts}
        self.zones: dict[ZoneName, list[tuple[int, int, HostId]]]
        self.zones = defaultdict(list)
        self.assigned: dict[OwnerKey, HostId] = {}
        for entry in hosts:
            places = len(table.places_of(entry.host))
            score = rendezvous_score('places', entry.host)
            heapq.heappush(self.zones[entry.zone], (places, score, entry.host))

    def allocate(self, vacant: list[OwnerKey]) -> list[OwnerChange]:
        """Returns the changes that assign an owner to each vacant place."""
        changes = []
        open_places = set(vacant)
        for place in vacant:
            used = self.used_hosts(place.slice_id, open_places)
            host = self.choose(used)
            if host is not None:
                open_places.discard(place)
                self.assigned[place] = host
                changes.append(self.change(place, host))
        return changes

    def used_hosts(
        self, slice_id: SliceId, vacant: set[OwnerKey]
    ) -> set[HostId]:
        """Returns the hosts that own a slice or were selected for it."""
        places = [OwnerKey(slice_id, index) for index in range(OWNER_COUNT)]
        return {
            self.assigned.get(place, self.table.slice_owners[place].host)
            for place in places
            if place not in vacant
        }

    def choose(self, used: set[HostId]) -> HostId | None:
        """Returns the best host for a place, or None if there are no hosts.

        Prefers a host in an unused zone, then any unused host. With fewer
        hosts than owners, a host owns several places of a slice.
        """
        used_zones = {self.zone_of.get(host) for host in used}
        free = [zone for zone in self.zones if zone not in used_zones]
        if free:
            return self.take_least_loaded(free, set())
        chosen = self.take_least_loaded(list(self.zones), used)
        if chosen is None:
            chosen = self.take_least_loaded(list(self.zones), set())
        return chosen

    def take_least_loaded(
        self, zones: list[ZoneName], excluded: set[HostId]
    ) -> HostId | None:
        """Returns the host with the fewest places and increments its count."""
        # The heap may contain all excluded hosts before the first other host.
        limit = len(excluded) + 1
        best = min(
            (
                (entry, zone)
                for zone in zones
                for entry in heapq.nsmallest(limit, self.zones[zone])
                if entry[2] not in excluded
            ),
            default=None,
        )
        if best is None:
            return None
        (places, score, host), chosen_zone = best
        heap = self.zones[chosen_zone]
        heap.remove((places, score, host))
        heap.append((places + 1, score, host))
        heapq.heapify(heap)
        return host

    def change(self, place: OwnerKey, host: HostId) -> OwnerChange:
        """Returns the change that assigns a host to a place."""
        return OwnerChange(
            place.slice_id,
            place.index,
            self.table.slice_owners[place].epoch,
            host,
            self.incarnations.get(host, Incarnation(0)),
        )


def misplaced(
    table: SliceTable, host: HostId, zones: dict[HostId, ZoneName]
) -> list[OwnerKey]:
    """Returns the places that a host should hand over.

    These are its second and third place in a slice if another host is free,
    and places in the zone of an owner with a lower index if another zone is
    free.
    """
    found = []
    for place in sorted(table.places_of(host)):
        slice_owners = table.owners(place.slice_id)
        earlier = [
            slice_owner.host
            for slice_owner in slice_owners
            if slice_owner.index < place.index
        ]
        used = {slice_owner.host for slice_owner in slice_owners}
        used_zones = {
            zones.get(slice_owner.host) for slice_owner in slice_owners
        }
        free_host = any(other not in used for other in zones)
        free_zone = any(zone not in used_zones for zone in zones.values())
        shares_zone = zones.get(host) in {zones.get(one) for one in earlier}
        if (host in earlier and free_host) or (shares_zone and free_zone):
            found.append(place)
    return found
