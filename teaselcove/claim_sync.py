"""Readiness of an owner to vote: it first needs the claims before it."""

import msgspec

from teaselcove.claim_messages import ClaimKey, ClaimsPage, ClaimsWanted, send
from teaselcove.claim_store import CLAIM_LIFETIME_S
from teaselcove.events import OwnershipChanged
from teaselcove.ids import HostId, Instant, SliceId
from teaselcove.kernel import Kernel, on, services
from teaselcove.slices import Seat, SeatKey

SYNC_INTERVAL_S = 0.2
PAGE_BYTES = 256 * 1024
# Claims may have been granted until the earlier owner was replaced, and their
# age is counted by other clocks; 1% covers the drift of these.
SYNC_LIMIT_S = CLAIM_LIFETIME_S * 1.01


class Sync(msgspec.Struct):
    """Progress of one place towards its vote.

    Attributes:
        epoch: Epoch of the place.
        since: When this process learned that it has the place.
        term: Term of the slice for which the pages were received.
        received: Other places of the slice whose claims are complete.
        after: Last key received by place.
    """

    epoch: int
    since: Instant
    term: int = 0
    received: set[int] = msgspec.field(default_factory=set)
    after: dict[int, ClaimKey] = msgspec.field(default_factory=dict)


@services.register('claim_sync')
class ClaimSync:
    """Copies claims to new owners.

    A new owner votes only after it has the claims of both other owners, read
    while these vote in the term that names it. Each majority of an earlier
    term contains one of the two; each majority of this or a later term
    intersects with its own votes. Otherwise it waits until all earlier claims
    have expired. A place that never had an owner has nothing to wait for.

    Attributes:
        ready: Epoch at which this process may vote for a place.
        syncs: Places that cannot vote yet.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.ready: dict[SeatKey, int] = {}
        self.syncs: dict[SeatKey, Sync] = {}
        self.is_ticking = False

    def term(self, slice_id: SliceId) -> int:
        """Returns the term of a slice: the sum of its owners' epochs.

        Each change of an owner raises one epoch by one, and all hosts fold
        the changes in the same order, so a term names one set of owners.
        """
        seats = self.kernel.service('ownership').owners(slice_id)
        return sum(seat.epoch for seat in seats)

    def voting_indices(
        self, slice_id: SliceId, now: Instant
    ) -> tuple[int, ...]:
        """Returns the places that this process may vote for."""
        owned = self.kernel.service('ownership').owned(slice_id, now)
        return tuple(
            seat.index for seat in owned if self.is_ready(slice_id, seat)
        )

    def is_ready(self, slice_id: SliceId, seat: Seat) -> bool:
        """Returns whether this process has the claims for a place."""
        place = SeatKey(slice_id, seat.index)
        return self.ready.get(place) == seat.epoch

    @on(OwnershipChanged)
    def ownership_changed(self, event: OwnershipChanged, now: Instant) -> None:
        """Starts to copy the claims of places that this process got."""
        own = self.kernel.service('membership').incarnation
        host = self.kernel.settings.host
        ownership = self.kernel.service('ownership')
        for slice_id in sorted(event.slices):
            for seat in ownership.owners(slice_id):
                if seat.host == host and seat.incarnation == own:
                    self.begin(SeatKey(slice_id, seat.index), seat, now)
        if self.syncs and not self.is_ticking:
            self.tick(now)

    def begin(self, place: SeatKey, seat: Seat, now: Instant) -> None:
        """Notes a place that this process got."""
        if not seat.succeeds:
            self.ready[place] = seat.epoch
        if self.ready.get(place) == seat.epoch:
            return
        sync = self.syncs.get(place)
        if sync is None or sync.epoch != seat.epoch:
            self.syncs[place] = Sync(seat.epoch, now)

    def tick(self, now: Instant) -> None:
        """Asks for claims at intervals while places cannot vote."""
        for place in sorted(self.syncs):
            self.advance(place, now)
        self.is_ticking = bool(self.syncs)
        if self.is_ticking:
            self.kernel.call_at(Instant(now + SYNC_INTERVAL_S), self.tick)

    def advance(self, place: SeatKey, now: Instant) -> None:
        """Ends the copy for a place, or asks for what is missing."""
        sync = self.syncs[place]
        ownership = self.kernel.service('ownership')
        owned = ownership.owned(place.slice_id, now)
        if not ownership.has_authority:
            return
        if not any(
            seat.index == place.index and seat.epoch == sync.epoch
            for seat in owned
        ):
            self.syncs.pop(place)
            return
        self.refresh_term(place, sync)
        others = [
            seat
            for seat in ownership.owners(place.slice_id)
            if seat.index != place.index
        ]
        missing = [seat for seat in others if seat.index not in sync.received]
        if not missing or now - sync.since >= SYNC_LIMIT_S:
            self.finish(place, now)
        for seat in missing:
            self.ask(place, sync, seat, now)

    def refresh_term(self, place: SeatKey, sync: Sync) -> None:
        """Starts again if the owners of the slice have changed."""
        term = self.term(place.slice_id)
        if sync.term != term:
            sync.term = term
            sync.received.clear()
            sync.after.clear()

    def finish(self, place: SeatKey, now: Instant) -> None:
        """Lets a place vote."""
        sync = self.syncs.pop(place)
        self.ready[place] = sync.epoch
        self.kernel.decide(
            'claims-ready',
            slice=place.slice_id,
            index=place.index,
            waited=now - sync.since,
        )

    def ask(self, place: SeatKey, sync: Sync, seat: Seat, now: Instant) -> None:
        """Asks the owner of another place for its claims."""
        wanted = ClaimsWanted(
            place.slice_id,
            sync.term,
            seat.incarnation,
            sync.after.get(seat.index),
        )
        send(self.kernel, seat.host, wanted, now)

    @on(ClaimsWanted)
    def claims_wanted(
        self, sender: HostId, wanted: ClaimsWanted, now: Instant
    ) -> None:
        """Gives a page of claims to an owner of the same term.

        From now on this process votes in that term or a later one, so no
        claim of an earlier term can be missing from the pages.
        """
        own = self.kernel.service('membership').incarnation
        indices = self.voting_indices(wanted.slice_id, now)
        if wanted.owner != own or wanted.term != self.term(wanted.slice_id):
            return
        if not indices:
            return
        store = self.kernel.service('claim_owner').store
        claims, is_last = store.page(
            wanted.slice_id, wanted.after, PAGE_BYTES, now
        )
        page = ClaimsPage(
            wanted.slice_id,
            wanted.term,
            indices,
            wanted.after,
            tuple(claims),
            is_last,
        )
        send(self.kernel, sender, page, now)

    @on(ClaimsPage)
    def page_received(
        self, sender: HostId, page: ClaimsPage, now: Instant
    ) -> None:
        """Stores the claims of another owner of the present term."""
        owner = self.kernel.service('claim_owner')
        senders = {
            seat.index
            for seat in self.kernel.service('ownership').owners(page.slice_id)
            if seat.host == sender and seat.index in page.indices
        }
        if page.term != self.term(page.slice_id) or not senders:
            return
        stored = [
            owner.take_over(page.slice_id, copy, now) for copy in page.claims
        ]
        if all(stored):
            self.note_page(page, senders, now)

    def note_page(
        self, page: ClaimsPage, senders: set[int], now: Instant
    ) -> None:
        """Notes which claims have been received, and goes on at once."""
        for place in sorted(self.syncs):
            sync = self.syncs[place]
            if place.slice_id != page.slice_id or sync.term != page.term:
                continue
            for index in senders - {place.index}:
                if sync.after.get(index) == page.after:
                    self.note_place(sync, index, page)
            self.advance(place, now)

    def note_place(self, sync: Sync, index: int, page: ClaimsPage) -> None:
        """Notes the page of one place."""
        if page.claims:
            sync.after[index] = page.claims[-1].key
        if page.is_last:
            sync.received.add(index)
