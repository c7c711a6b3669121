"""Slices of the organisations and the pure fold of their owners."""

import hashlib
from collections import defaultdict

import msgspec

from teaselcove.ids import HostId, Incarnation, OrganisationId, SliceId

# All hosts of a fleet must use the same number of slices.
SLICE_COUNT = 256
OWNER_COUNT = 3
NO_HOST = HostId('')
NO_INCARNATION = Incarnation(0)


class Seat(msgspec.Struct, frozen=True):
    """One of the owners of a slice.

    Attributes:
        index: Place among the owners of the slice, from 0.
        incarnation: The process that owns, or 0 while the host has not named
            its process; nobody has authority then.
        epoch: Number of times that this owner was named; 0 if never.
        succeeds: Whether an earlier process had authority for the place.
    """

    index: int
    host: HostId = NO_HOST
    incarnation: Incarnation = NO_INCARNATION
    epoch: int = 0
    succeeds: bool = False


class SeatKey(msgspec.Struct, frozen=True, order=True):
    """Identifies an owner's place: slice and index."""

    slice_id: SliceId
    index: int


class SeatChange(msgspec.Struct, frozen=True, array_like=True):
    """Names the owner of one place.

    Attributes:
        base: Epoch that the place must have for the change to win.
    """

    slice_id: SliceId
    index: int
    base: int
    host: HostId
    incarnation: Incarnation


class OwnershipRecord(msgspec.Struct, frozen=True, array_like=True):
    """A record of the stream `ownership`; each change wins or loses alone."""

    changes: tuple[SeatChange, ...]


def slice_of(organisation: OrganisationId) -> SliceId:
    """Returns the slice of an organisation."""
    digest = hashlib.blake2b(organisation.encode(), digest_size=8).digest()
    return SliceId(int.from_bytes(digest, 'big') % SLICE_COUNT)


def all_places() -> list[SeatKey]:
    """Returns the places of all owners of all slices."""
    return [
        SeatKey(SliceId(slice_id), index)
        for slice_id in range(SLICE_COUNT)
        for index in range(OWNER_COUNT)
    ]


class SliceTable:
    """The owners of all slices, as folded from the records in order.

    Attributes:
        seats: Owner by place.
        by_host: Places by the host that is named for them.
        by_slice: Owners that were named, by slice and in order of index.
    """

    def __init__(self) -> None:
        self.seats = {place: Seat(place.index) for place in all_places()}
        self.by_host: dict[HostId, set[SeatKey]] = defaultdict(set)
        self.by_host[NO_HOST].update(self.seats)
        self.by_slice: dict[SliceId, tuple[Seat, ...]] = {}

    def owners(self, slice_id: SliceId) -> tuple[Seat, ...]:
        """Returns the owners of a slice by index, without empty places."""
        return self.by_slice.get(slice_id, ())

    def places_of(self, host: HostId) -> set[SeatKey]:
        """Returns the places that a host is named for."""
        return self.by_host.get(host, set())

    def fold(self, record: OwnershipRecord) -> frozenset[SliceId]:
        """Applies the winning changes; returns the slices that changed."""
        changed = set()
        for change in record.changes:
            if self.wins(change):
                self.apply(change)
                changed.add(change.slice_id)
        for slice_id in changed:
            seats = [
                self.seats[SeatKey(slice_id, index)]
                for index in range(OWNER_COUNT)
            ]
            self.by_slice[slice_id] = tuple(
                seat for seat in seats if seat.epoch
            )
        return frozenset(changed)

    def wins(self, change: SeatChange) -> bool:
        """Returns whether a change is based on the present epoch."""
        seat = self.seats.get(SeatKey(change.slice_id, change.index))
        return seat is not None and seat.epoch == change.base

    def apply(self, change: SeatChange) -> None:
        """Names an owner."""
        place = SeatKey(change.slice_id, change.index)
        previous = self.seats[place]
        self.by_host[previous.host].discard(place)
        self.by_host[change.host].add(place)
        self.seats[place] = Seat(
            change.index,
            change.host,
            change.incarnation,
            change.base + 1,
            previous.succeeds or previous.incarnation != NO_INCARNATION,
        )
