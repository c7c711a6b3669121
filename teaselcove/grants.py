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

# Grants of the previous owner may be used for this long after a handover.
HANDOVER_S = GRANT_LIFETIME_S + DRIFT_MARGIN_S
NO_AUTHORITY = -1.0
# Hosts whose configuration is older than this refuse requests, so this long
# after a change no owner uses the previous version any more.
MAX_CONFIGURATION_AGE_S = 12.0


class Settlement(msgspec.Struct, frozen=True, array_like=True):
    """Reports the end of a grant.

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
        owner_incarnation: Incarnation of the owner that is asked.
        incarnation: Incarnation of the host that asks.
        ask_id: Increases with each request of a process.
        needed: Tokens for waiting requests.
        want: The needed tokens plus prefetched ones.
        accepts_part: Whether a fraction of a token is useful.
        settlements: Ended grants of this owner.
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
        wait: Seconds after which to ask this owner again, or -1 if the host
            has no authority as owner.
    """

    owner_incarnation: Incarnation
    incarnation: Incarnation
    ask_id: int
    amount: float
    wait: float


@message('rate-settle')
class SettleGrants(msgspec.Struct, frozen=True, array_like=True):
    """Ends grants, so that the owner's bucket can refill."""

    owner_incarnation: Incarnation
    incarnation: Incarnation
    settlements: tuple[Settlement, ...]


@services.register('grants')
class Grants:
    """Manages a bucket for each organisation in the owned slices.

    Attributes:
        active_from: Epoch of each place, and when it starts to earn tokens.
        latest: Latest declaration used for each organisation.
        previous: Previous declarations of each organisation, and the time
            until which other owners may still use them.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.buckets: dict[OrganisationId, OwnerBucket] = {}
        self.active_from: dict[OwnerKey, tuple[int, Instant]] = {}
        self.latest: dict[OrganisationId, Organisation] = {}
        self.previous: dict[
            OrganisationId, list[tuple[Organisation, Instant]]
        ] = {}

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation of this process."""
        return self.kernel.service('membership').incarnation

    @on(OwnershipChanged)
    def ownership_changed(self, event: OwnershipChanged, now: Instant) -> None:
        """Delays new places until the grants of the previous owner expire."""
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
        """Returns the updated bucket if this host may use it, else None."""
        configuration = self.kernel.service('configuration')
        declared = configuration.organisation(organisation)
        has_authority = self.kernel.service('ownership').has_authority
        if declared is None or not has_authority:
            return None
        if not configuration.may_serve(now):
            return None
        shares = self.owner_shares(declared, now)
        bucket = self.buckets.get(organisation)
        if bucket is None:
            if not shares:
                return None
            bucket = OwnerBucket(now)
            self.buckets[organisation] = bucket
        bucket.update(shares, now)
        return bucket if bucket.capacity else None

    def owner_shares(
        self, declared: Organisation, now: Instant
    ) -> list[OwnerShare]:
        """Returns the shares that this host may spend tokens from."""
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
        """Returns the share at the lowest rate of recent configurations.

        A change of the burst across `MIN_SPLIT_BURST` moves rate between
        owners, and other owners may still use the previous configuration.
        """
        latest = self.latest.get(declared.id, declared)
        previous = self.previous.get(declared.id, [])
        if latest != declared:
            previous.append((latest, Instant(now + MAX_CONFIGURATION_AGE_S)))
        self.latest[declared.id] = declared
        previous = [change for change in previous if change[1] > now]
        share = share_of(declared, index)
        if not previous:
            self.previous.pop(declared.id, None)
            return share
        self.previous[declared.id] = previous
        rates = [
            declared.rate * share_of(old, index).rate / old.rate
            for old, _ in previous
            if old.rate > 0
        ]
        return Share(min(share.rate, *rates), share.capacity)

    @on(AskTokens)
    def tokens_asked(
        self, sender: HostId, ask: AskTokens, now: Instant
    ) -> None:
        """Debits the bucket and answers with a grant."""
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
                wait = bucket.assign_retry_delay(now)
        answer = GrantTokens(
            self.incarnation, ask.incarnation, ask.ask_id, amount, wait
        )
        self.kernel.emit(Send(sender, answer))

    @on(SettleGrants)
    def grants_settled(
        self, sender: HostId, event: SettleGrants, now: Instant
    ) -> None:
        """Ends grants given by this process."""
        if event.owner_incarnation == self.incarnation:
            self.settle(sender, event.incarnation, event.settlements, now)

    def settle(
        self,
        sender: HostId,
        incarnation: Incarnation,
        settlements: tuple[Settlement, ...],
        now: Instant,
    ) -> None:
        """Ends grants; ignores unknown and expired ones.

        Without authority, the settlement is dropped and the grant expires: an
        outdated bucket could earn tokens for a place that was lost.
        """
        for settlement in settlements:
            bucket = self.bucket(settlement.organisation, now)
            if bucket is not None:
                key = GrantKey(sender, incarnation, settlement.ask_id)
                bucket.settle(key, settlement.returned, now)
