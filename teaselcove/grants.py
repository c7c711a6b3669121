"""Owner side of the limiter `escrow`: buckets and grants of tokens."""

import msgspec

from teaselcove.buckets import (
    DRIFT_MARGIN_S,
    GRANT_LIFETIME_S,
    TOLERANCE,
    GrantKey,
    OwnerBucket,
    OwnerShare,
)
from teaselcove.effects import Send
from teaselcove.entities import Organisation
from teaselcove.events import OwnershipChanged
from teaselcove.ids import HostId, Incarnation, Instant, OrganisationId
from teaselcove.kernel import Kernel, on, services
from teaselcove.messages import message
from teaselcove.shares import Share, share_of
from teaselcove.slices import OwnerKey, slice_of

# Grants of an earlier owner may be used until then.
HANDOVER_S = GRANT_LIFETIME_S + DRIFT_MARGIN_S
NO_AUTHORITY = -1.0
# Hosts whose configuration is older than this refuse requests, so no owner
# acts on an earlier version for longer after the change.
CHANGE_S = 12.0


class Settlement(msgspec.Struct, frozen=True, array_like=True):
    """End of a grant.

    Attributes:
        returned: Tokens that were not used.
    """

    organisation: OrganisationId
    ask_id: int
    returned: float


@message('rate-ask')
class AskTokens(msgspec.Struct, frozen=True, array_like=True):
    """Asks an owner for tokens.

    Attributes:
        owner_incarnation: The process that is asked.
        incarnation: The process that asks.
        ask_id: Rises with each request of a process.
        needed: Tokens for requests that wait.
        want: The needed tokens and those for requests to come.
        accepts_part: Whether a fraction of the needed tokens is of use.
        settlements: Earlier grants of this owner that ended.
    """

    organisation: OrganisationId
    owner_incarnation: Incarnation
    incarnation: Incarnation
    ask_id: int
    needed: float
    want: float
    accepts_part: bool
    settlements: tuple[Settlement, ...] = ()


@message('rate-grant')
class GrantTokens(msgspec.Struct, frozen=True, array_like=True):
    """Answers a request for tokens.

    Attributes:
        amount: Tokens granted; may be less than asked for, or a fraction.
        wait: Seconds until it is worthwhile to ask this owner again, or -1
            if the host may not act as owner.
    """

    owner_incarnation: Incarnation
    incarnation: Incarnation
    ask_id: int
    amount: float
    wait: float


@message('rate-settle')
class SettleGrants(msgspec.Struct, frozen=True, array_like=True):
    """Ends grants, so that the owner's bucket has room again."""

    owner_incarnation: Incarnation
    incarnation: Incarnation
    settlements: tuple[Settlement, ...]


@services.register('grants')
class Grants:
    """Keeps a bucket for each organisation of the owned slices.

    Attributes:
        active_from: Epoch of each place and when it may earn tokens.
        seen: Organisations as last used here.
        earlier: Organisations as used before a change of their burst, and
            until when other owners may still use them so.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.buckets: dict[OrganisationId, OwnerBucket] = {}
        self.active_from: dict[OwnerKey, tuple[int, Instant]] = {}
        self.seen: dict[OrganisationId, Organisation] = {}
        self.earlier: dict[
            OrganisationId, list[tuple[Organisation, Instant]]
        ] = {}

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation of this process."""
        return self.kernel.service('membership').incarnation

    @on(OwnershipChanged)
    def ownership_changed(self, event: OwnershipChanged, now: Instant) -> None:
        """Lets new places wait until grants of the last owner expire."""
        ownership = self.kernel.service('ownership')
        for slice_id in event.slices:
            for slice_owner in ownership.owners(slice_id):
                place = OwnerKey(slice_id, slice_owner.index)
                epoch, _ = self.active_from.get(place, (0, now))
                if epoch != slice_owner.epoch:
                    start = Instant(now + HANDOVER_S)
                    self.active_from[place] = (slice_owner.epoch, start)

    def bucket(
        self, organisation: OrganisationId, now: Instant
    ) -> OwnerBucket | None:
        """Returns the bucket, brought up to date, if this host may use it."""
        configuration = self.kernel.service('configuration')
        declared = configuration.organisation(organisation)
        has_authority = self.kernel.service('ownership').has_authority
        if declared is None or not has_authority:
            return None
        if not configuration.may_serve(now):
            return None
        slice_owners = self.owner_shares(declared, now)
        bucket = self.buckets.get(organisation)
        if bucket is None:
            if not slice_owners:
                return None
            bucket = OwnerBucket(now)
            self.buckets[organisation] = bucket
        bucket.update(slice_owners, now)
        return bucket if bucket.capacity else None

    def owner_shares(
        self, declared: Organisation, now: Instant
    ) -> list[OwnerShare]:
        """Returns the places that this host may spend tokens for."""
        slice_id = slice_of(declared.id)
        found = []
        for slice_owner in self.kernel.service('ownership').owned(
            slice_id, now
        ):
            place = OwnerKey(slice_id, slice_owner.index)
            epoch, start = self.active_from.get(place, (0, now))
            if epoch == slice_owner.epoch and start <= now:
                share = self.lowest_share(declared, slice_owner.index, now)
                found.append(OwnerShare(slice_owner.index, epoch, share, start))
        return found

    def lowest_share(
        self, declared: Organisation, index: int, now: Instant
    ) -> Share:
        """Returns the share, with a rate that no other owner may still use.

        A change between a burst that is split and one that stays whole
        shifts rate between owners.
        """
        seen = self.seen.get(declared.id, declared)
        earlier = self.earlier.get(declared.id, [])
        if seen != declared:
            earlier.append((seen, Instant(now + CHANGE_S)))
        self.seen[declared.id] = declared
        earlier = [change for change in earlier if change[1] > now]
        share = share_of(declared, index)
        if not earlier:
            self.earlier.pop(declared.id, None)
            return share
        self.earlier[declared.id] = earlier
        rates = [
            declared.rate * share_of(old, index).rate / old.rate
            for old, _ in earlier
            if old.rate > 0
        ]
        return Share(min(share.rate, *rates), share.capacity)

    @on(AskTokens)
    def tokens_asked(
        self, sender: HostId, ask: AskTokens, now: Instant
    ) -> None:
        """Debits the bucket, then grants what it has."""
        if ask.owner_incarnation != self.incarnation:
            return
        self.settle(sender, ask.incarnation, ask.settlements, now)
        bucket = self.bucket(ask.organisation, now)
        amount, wait = float(0), NO_AUTHORITY
        if bucket is not None:
            key = GrantKey(sender, ask.incarnation, ask.ask_id)
            grant = bucket.grant if ask.accepts_part else bucket.grant_whole
            amount = grant(key, ask.needed, ask.want, now)
            wait = float(0)
            if amount < ask.needed - TOLERANCE:
                wait = bucket.slot(now)
        answer = GrantTokens(
            self.incarnation, ask.incarnation, ask.ask_id, amount, wait
        )
        self.kernel.emit(Send(sender, answer))

    @on(SettleGrants)
    def grants_settled(
        self, sender: HostId, event: SettleGrants, now: Instant
    ) -> None:
        """Ends grants of this process."""
        if event.owner_incarnation == self.incarnation:
            self.settle(sender, event.incarnation, event.settlements, now)

    def settle(
        self,
        sender: HostId,
        incarnation: Incarnation,
        settlements: tuple[Settlement, ...],
        now: Instant,
    ) -> None:
        """Ends grants; unknown and expired ones are left out.

        Without authority the settlement is lost and the grant expires: a
        bucket that is not up to date could earn for a place it has lost.
        """
        for settlement in settlements:
            bucket = self.bucket(settlement.organisation, now)
            if bucket is not None:
                key = GrantKey(sender, incarnation, settlement.ask_id)
                bucket.settle(key, settlement.returned, now)
