"""Owners of slices, from the records of the stream `ownership`."""

import msgspec

from teaselcove.effects import ReadLog
from teaselcove.events import (
    OwnershipChanged,
    PauseDetected,
    RecordsRead,
    StoreFailed,
)
from teaselcove.ids import (
    HostId,
    Incarnation,
    Instant,
    Offset,
    OrganisationId,
    SliceId,
    StreamName,
)
from teaselcove.kernel import Kernel, on, services
from teaselcove.slices import (
    OwnerKey,
    OwnershipRecord,
    SliceOwner,
    SliceTable,
    slice_of,
)

STREAM = StreamName('ownership')


@services.register('ownership')
class Ownership:
    """Reads the owners of slices; the service `proposals` writes them.

    Each `ReadLog` of the stream is answered by one event before the next is
    sent. A reply to a read from before a pause is therefore never mistaken
    for one from after it.

    Attributes:
        has_authority: Whether the stream was read since start and the last
            pause.
        read_is_stale: Whether the read in progress began before a pause.
        handed_over: Epochs of the places that this host has handed over; it
            no longer acts for them in these epochs.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.table = SliceTable()
        self.next_offset = Offset(0)
        self.has_authority = False
        self.is_reading = False
        self.read_is_stale = False
        self.handed_over: dict[OwnerKey, int] = {}

    @property
    def host(self) -> HostId:
        """The id of this host."""
        return self.kernel.settings.host

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation of this process."""
        return self.kernel.service('membership').incarnation

    def start(self, now: Instant) -> None:
        """Starts the periodic reads of the stream."""
        self.read_at_intervals(now)

    def slice_of(self, organisation: OrganisationId) -> SliceId:
        """Returns the slice of an organisation."""
        return slice_of(organisation)

    def owners(self, slice_id: SliceId) -> tuple[SliceOwner, ...]:
        """Returns the owners of a slice by index; fewer before allocation."""
        return self.table.owners(slice_id)

    def owned(self, slice_id: SliceId, now: Instant) -> tuple[SliceOwner, ...]:
        """Returns the owners of a slice that this process may act as."""
        if not self.has_authority:
            return ()
        return tuple(
            slice_owner
            for slice_owner in self.table.owners(slice_id)
            if slice_owner.host == self.host
            and slice_owner.incarnation == self.incarnation
            and self.handed_over.get(OwnerKey(slice_id, slice_owner.index))
            != slice_owner.epoch
        )

    def first_owned_index(self, slice_id: SliceId, now: Instant) -> int | None:
        """Returns the first index that this process may act for, or None."""
        slice_owners = self.owned(slice_id, now)
        return slice_owners[0].index if slice_owners else None

    def read_at_intervals(self, now: Instant) -> None:
        """Reads the stream periodically."""
        self.read(now)
        interval = self.kernel.settings.log_read_interval
        self.kernel.call_at(Instant(now + interval), self.read_at_intervals)

    def read(self, now: Instant) -> None:
        """Requests new records unless a read is in progress."""
        if not self.is_reading:
            self.is_reading = True
            self.kernel.emit(ReadLog(STREAM, self.next_offset))

    @on(RecordsRead)
    def records_read(self, event: RecordsRead, now: Instant) -> None:
        """Folds new records and restores authority after a current read."""
        if event.stream != STREAM:
            return
        self.is_reading = False
        changed: set[SliceId] = set()
        for offset, payload in event.records:
            if offset >= self.next_offset:
                self.next_offset = Offset(offset + 1)
                record = msgspec.msgpack.decode(payload, type=OwnershipRecord)
                changed |= self.table.fold(record)
        if self.read_is_stale:
            self.read_is_stale = False
            self.read(now)
        else:
            self.has_authority = True
        if changed:
            self.kernel.publish(OwnershipChanged(frozenset(changed)), now)

    @on(StoreFailed)
    def store_failed(self, event: StoreFailed, now: Instant) -> None:
        """Ends the failed read; the next interval reads again."""
        if event.stream == STREAM:
            self.is_reading = False
            self.read_is_stale = False

    @on(PauseDetected)
    def pause_detected(self, event: PauseDetected, now: Instant) -> None:
        """Suspends authority until a read that starts after the pause."""
        self.has_authority = False
        self.read_is_stale = self.is_reading
        self.read(now)

    def own_places(self) -> list[OwnerKey]:
        """Returns the places of this process."""
        return sorted(
            place
            for place in self.table.places_of(self.host)
            if self.table.slice_owners[place].incarnation == self.incarnation
        )
