"""Copying of existing claims to a new owner, before it may vote."""

import msgspec

from teaselcove.claim_messages import ClaimKey, ClaimsPage, ClaimsWanted, send
from teaselcove.claim_store import CLAIM_LIFETIME_S
from teaselcove.events import OwnershipChanged
from teaselcove.ids import HostId, Instant, SliceId
from teaselcove.kernel import Kernel, on, services
from teaselcove.slices import OwnerKey, SliceOwner

SYNC_INTERVAL_S = 0.2
PAGE_BYTES = 256 * 1024
# Claims may have been granted until the previous owner was replaced, and
# their age is measured by other hosts' clocks; 1% covers the clock drift.
SYNC_LIMIT_S = CLAIM_LIFETIME_S * 1.01


class Sync(msgspec.Struct):
    """Progress of the copy of claims for one place.

    Attributes:
        epoch: Epoch of the place.
        since: When this process learned that it owns the place.
        term: Term of the slice for which the pages were received.
        received: Other places of the slice whose claims were all received.
        after: Last key received from each place.
    """

    epoch: int
    since: Instant
    term: int = 0
    received: set[int] = msgspec.field(default_factory=set)
    after: dict[int, ClaimKey] = msgspec.field(default_factory=dict)


@services.register('claim_sync')
class ClaimSync:
    """Copies claims to new owners.

    A new owner votes only after it has received the claims of both other
    owners, read while these vote in the term that names it. Each majority of
    an earlier term contains one of the two, and each majority of this or a
    later term intersects with its own votes. If it cannot get them, it waits
    until all earlier claims have expired. A place that never had an owner is
    ready at once.

    Attributes:
        ready: Epoch at which this process may vote for a place.
        syncs: Places that cannot vote yet.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.ready: dict[OwnerKey, int] = {}
        self.syncs: dict[OwnerKey, Sync] = {}
        self.is_ticking = False

    def term(self, slice_id: SliceId) -> int:
        """Returns the term of a slice: the sum of its owners' epochs.

        Each change of an owner increments one epoch, and all hosts fold the
        changes in the same order, so a term identifies one set of owners.
        """
        slice_owners = self.kernel.service('ownership').owners(slice_id)
        return sum(slice_owner.epoch for slice_owner in slice_owners)

    def voting_indices(
        self, slice_id: SliceId, now: Instant
    ) -> tuple[int, ...]:
        """Returns the indices of the places that this process may vote for."""
        owned = self.kernel.service('ownership').owned(slice_id, now)
        return tuple(
            slice_owner.index
            for slice_owner in owned
            if self.is_ready(slice_id, slice_owner)
        )

    def is_ready(self, slice_id: SliceId, slice_owner: SliceOwner) -> bool:
        """Returns whether this process has all claims for a place."""
        place = OwnerKey(slice_id, slice_owner.index)
        return self.ready.get(place) == slice_owner.epoch

    @on(OwnershipChanged)
    def ownership_changed(self, event: OwnershipChanged, now: Instant) -> None:
        """Starts to copy the claims for newly owned places."""
        own = self.kernel.service('membership').incarnation
        host = self.kernel.settings.host
        ownership = self.kernel.service('ownership')
        for slice_id in sorted(event.slices):
            for slice_owner in ownership.owners(slice_id):
                if slice_owner.host == host and slice_owner.incarnation == own:
                    self.begin(
                        OwnerKey(slice_id, slice_owner.index), slice_owner, now
                    )
        if self.syncs and not self.is_ticking:
            self.tick(now)

    def begin(
        self, place: OwnerKey, slice_owner: SliceOwner, now: Instant
    ) -> None:
        """Starts the copy for a newly owned place, unless it is ready."""
        if not slice_owner.has_predecessor:
            self.ready[place] = slice_owner.epoch
        if self.ready.get(place) == slice_owner.epoch:
            return
        sync = self.syncs.get(place)
        if sync is None or sync.epoch != slice_owner.epoch:
            self.syncs[place] = Sync(slice_owner.epoch, now)

    def tick(self, now: Instant) -> None:
        """Requests missing claims periodically until all places are ready."""
        for place in sorted(self.syncs):
            self.advance(place, now)
        self.is_ticking = bool(self.syncs)
        if self.is_ticking:
            self.kernel.call_at(Instant(now + SYNC_INTERVAL_S), self.tick)

    def advance(self, place: OwnerKey, now: Instant) -> None:
        """Ends the copy for a place, or requests the missing claims."""
        sync = self.syncs[place]
        ownership = self.kernel.service('ownership')
        owned = ownership.owned(place.slice_id, now)
        if not ownership.has_authority:
            return
        if not any(
            slice_owner.index == place.index and slice_owner.epoch == sync.epoch
            for slice_owner in owned
        ):
            self.syncs.pop(place)
            return
        self.refresh_term(place, sync)
        missing = self.missing(place, sync)
        if not missing or now - sync.since >= SYNC_LIMIT_S:
            self.finish(place, now)
            return
        for slice_owner in missing:
            self.ask(place, sync, slice_owner, now)

    def missing(self, place: OwnerKey, sync: Sync) -> list[SliceOwner]:
        """Returns the other owners whose claims were not all received."""
        owners = self.kernel.service('ownership').owners(place.slice_id)
        return [
            slice_owner
            for slice_owner in owners
            if slice_owner.index != place.index
            and slice_owner.index not in sync.received
        ]

    def refresh_term(self, place: OwnerKey, sync: Sync) -> None:
        """Restarts the copy if the owners of the slice have changed."""
        term = self.term(place.slice_id)
        if sync.term != term:
            sync.term = term
            sync.received.clear()
            sync.after.clear()

    def finish(self, place: OwnerKey, now: Instant) -> None:
        """Marks a place as ready to vote."""
        sync = self.syncs.pop(place)
        self.ready[place] = sync.epoch
        self.kernel.decide(
            'claims-ready',
            slice=place.slice_id,
            index=place.index,
            waited=now - sync.since,
        )

    def ask(
        self, place: OwnerKey, sync: Sync, slice_owner: SliceOwner, now: Instant
    ) -> None:
        """Requests the next page of claims from another owner."""
        wanted = ClaimsWanted(
            place.slice_id,
            sync.term,
            slice_owner.incarnation,
            sync.after.get(slice_owner.index),
        )
        send(self.kernel, slice_owner.host, wanted, now)

    @on(ClaimsWanted)
    def claims_wanted(
        self, sender: HostId, wanted: ClaimsWanted, now: Instant
    ) -> None:
        """Sends a page of claims to an owner of the same term.

        From now on, this process votes only in that term or a later one, so
        the pages contain all claims of earlier terms.
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
        """Stores the claims received from another owner of the same term."""
        owner = self.kernel.service('claim_owner')
        senders = {
            slice_owner.index
            for slice_owner in self.kernel.service('ownership').owners(
                page.slice_id
            )
            if slice_owner.host == sender and slice_owner.index in page.indices
        }
        if page.term != self.term(page.slice_id) or not senders:
            return
        stored = [
            owner.store_copy(page.slice_id, copy, now) for copy in page.claims
        ]
        if all(stored):
            self.record_page(page, senders, now)

    def record_page(
        self, page: ClaimsPage, senders: set[int], now: Instant
    ) -> None:
        """Records a received page and requests the next one.

        After a last page, the other owners are asked only at the next interval,
        so that an owner that cannot send its claims yet is not polled
        continuously.
        """
        waiting = [
            place
            for place in sorted(self.syncs)
            if place.slice_id == page.slice_id
            and self.syncs[place].term == page.term
        ]
        for place in waiting:
            sync = self.syncs[place]
            for index in senders - {place.index}:
                self.record_place(sync, index, page)
            if not page.is_last or not self.missing(place, sync):
                self.advance(place, now)

    def record_place(self, sync: Sync, index: int, page: ClaimsPage) -> None:
        """Records a received page for one place, unless it is a duplicate."""
        if sync.after.get(index) != page.after:
            return
        if page.claims:
            sync.after[index] = page.claims[-1].key
        if page.is_last:
            sync.received.add(index)
