"""Slices of the organisations, and their owners folded from records."""

import hashlib
from collections import defaultdict

import msgspec

from teaselcove.ids import HostId, Incarnation, OrganisationId, SliceId

# All hosts of a fleet must use the same number of slices.
SLICE_COUNT = 256
OWNER_COUNT = 3
NO_HOST = HostId('')
NO_INCARNATION = Incarnation(0)


class SliceOwner(msgspec.Struct, frozen=True):
    """One owner of a slice.

    Attributes:
        index: Position among the owners of the slice, from 0.
        incarnation: The process that is the owner, or 0 if it is not known
            yet; then no process has authority.
        epoch: Number of times that an owner was assigned; 0 if never.
        has_predecessor: Whether an earlier process had authority for the place.
    """

    index: int
    host: HostId = NO_HOST
    incarnation: Incarnation = NO_INCARNATION
    epoch: int = 0
    has_predecessor: bool = False


class OwnerKey(msgspec.Struct, frozen=True, order=True):
    """Identifies a place, the position of one owner: slice and index."""

    slice_id: SliceId
    index: int


class OwnerChange(msgspec.Struct, frozen=True, array_like=True):
    """Assigns an owner to one place.

    Attributes:
        base: Epoch that the place must have for the change to apply.
    """

    slice_id: SliceId
    index: int
    base: int
    host: HostId
    incarnation: Incarnation


class OwnershipRecord(msgspec.Struct, frozen=True, array_like=True):
    """A record of the stream `ownership`; its changes apply independently."""

    changes: tuple[OwnerChange, ...]


def slice_of(organisation: OrganisationId) -> SliceId:
    """Returns the slice of an organisation."""
    digest = hashlib.blake2b(organisation.encode(), digest_size=8).digest()
    return SliceId(int.from_bytes(digest, 'big') % SLICE_COUNT)


def all_places() -> list[OwnerKey]:
    """Returns all places of all slices."""
    return [
        OwnerKey(SliceId(slice_id), index)
        for slice_id in range(SLICE_COUNT)
        for index in range(OWNER_COUNT)
    ]


class SliceTable:
    """The owners of all slices, folded from the records in order.

    Attributes:
        slice_owners: Owner of each place.
        by_host: Places by assigned host.
        by_slice: Assigned owners by slice, in order of index.
    """

    def __init__(self) -> None:
        self.slice_owners = {
            place: SliceOwner(place.index) for place in all_places()
        }
        self.by_host: dict[HostId, set[OwnerKey]] = defaultdict(set)
        self.by_host[NO_HOST].update(self.slice_owners)
        self.by_slice: dict[SliceId, tuple[SliceOwner, ...]] = {}

    def owners(self, slice_id: SliceId) -> tuple[SliceOwner, ...]:
        """Returns the owners of a slice by index, without empty places."""
        return self.by_slice.get(slice_id, ())

    def places_of(self, host: HostId) -> set[OwnerKey]:
        """Returns the places assigned to a host."""
        return self.by_host.get(host, set())

    def fold(self, record: OwnershipRecord) -> frozenset[SliceId]:
        """Applies the winning changes; returns the slices that changed."""
        changed = set()
        for change in record.changes:
            if self.wins(change):
                self.apply(change)
                changed.add(change.slice_id)
        for slice_id in changed:
            slice_owners = [
                self.slice_owners[OwnerKey(slice_id, index)]
                for index in range(OWNER_COUNT)
            ]
            self.by_slice[slice_id] = tuple(
                slice_owner for slice_owner in slice_owners if slice_owner.epoch
            )
        return frozenset(changed)

    def wins(self, change: OwnerChange) -> bool:
        """Returns whether a change is based on the current epoch."""
        slice_owner = self.slice_owners.get(
            OwnerKey(change.slice_id, change.index)
        )
        return slice_owner is not None and slice_owner.epoch == change.base

    def apply(self, change: OwnerChange) -> None:
        """Assigns an owner to a place."""
        place = OwnerKey(change.slice_id, change.index)
        previous = self.slice_owners[place]
        self.by_host[previous.host].discard(place)
        self.by_host[change.host].add(place)
        self.slice_owners[place] = SliceOwner(
            change.index,
            change.host,
            change.incarnation,
            change.base + 1,
            previous.has_predecessor or previous.incarnation != NO_INCARNATION,
        )
