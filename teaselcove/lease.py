"""Baseline limiter `lease`: one owner leases shares of the rate to hosts."""

import msgspec

from teaselcove.effects import Send
from teaselcove.entities import Organisation
from teaselcove.events import OwnershipChanged, PauseDetected
from teaselcove.ids import (
    HostId,
    Incarnation,
    Instant,
    OrganisationId,
    RequestId,
)
from teaselcove.kernel import Kernel, on
from teaselcove.messages import message
from teaselcove.rates import (
    GRANTED,
    Bucket,
    RateState,
    RateVerdict,
    limiters,
)
from teaselcove.slices import OwnerKey, slice_of

LEASE_S = 2.0
# The clock rates of two hosts may differ by a tenth.
CLOCK_DRIFT_FACTOR = 1.1
# A host renews its lease this long before it expires.
RENEW_BEFORE_S = 0.5
# A new owner waits until the leases of the previous one have expired.
HANDOVER_S = LEASE_S * CLOCK_DRIFT_FACTOR
# A host without a lease asks again after this time.
RETRY_S = 0.2


@message('lease-ask')
class AskLease(msgspec.Struct, frozen=True, array_like=True):
    """Asks the owner for a share of the rate.

    Attributes:
        demand: Recent requests per second on the asking host.
    """

    organisation: OrganisationId
    owner_incarnation: Incarnation
    incarnation: Incarnation
    ask_id: int
    demand: float


@message('lease-grant')
class GrantLease(msgspec.Struct, frozen=True, array_like=True):
    """Leases a share of the rate and of the burst, from 0 to 1."""

    organisation: OrganisationId
    incarnation: Incarnation
    ask_id: int
    share: float


class Lessee(msgspec.Struct):
    """Leases of a host, recorded by the owner as (share, end)."""

    demand: float
    leases: list[tuple[float, Instant]] = []

    @property
    def share(self) -> float:
        """The largest share that the host may be using."""
        return max(share for share, _ in self.leases)


class HostLease(msgspec.Struct):
    """Lease and demand of this host.

    Attributes:
        bucket: Bucket of the leased share; emptied after a lease has lapsed.
        asked_at: When a lease was last asked for.
        request_count: Number of requests since then.
    """

    bucket: Bucket
    share: float = 0
    expires: Instant = Instant(0)
    ask_id: int = 0
    asked_at: Instant = Instant(0)
    request_count: int = 0


@limiters.register('lease')
class LeaseLimiter:
    """Splits the rate among hosts by demand for the duration of a lease."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.leases: dict[OrganisationId, HostLease] = {}
        self.lessees: dict[OrganisationId, dict[HostId, Lessee]] = {}
        self.active_from: dict[OwnerKey, Instant] = {}

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation of this process."""
        return self.kernel.service('membership').incarnation

    def take(
        self,
        request_id: RequestId,
        organisation: OrganisationId,
        now: Instant,
    ) -> RateVerdict:
        """Takes one token from the leased share."""
        declared = self.declared(organisation)
        if declared is None or declared.rate <= 0:
            return RateVerdict(RateState.REFUSED)
        lease = self.leases.setdefault(
            organisation, HostLease(Bucket(0, 0, now))
        )
        lease.request_count += 1
        if lease.expires <= now:
            lease.share = 0
        if lease.expires - now < RENEW_BEFORE_S:
            self.ask(organisation, lease, now)
        if not lease.share:
            return RateVerdict(RateState.UNAVAILABLE)
        lease.bucket.rate = declared.rate * lease.share
        lease.bucket.capacity = declared.burst * lease.share
        if lease.bucket.take(now):
            return GRANTED
        return RateVerdict(RateState.REFUSED, 1 / lease.bucket.rate)

    def cancel(self, request_id: RequestId, now: Instant) -> None:
        """Does nothing: no request is ever pending."""

    def declared(self, organisation: OrganisationId) -> Organisation | None:
        """Returns the organisation from the active configuration."""
        return self.kernel.service('configuration').organisation(organisation)

    def ask(
        self, organisation: OrganisationId, lease: HostLease, now: Instant
    ) -> None:
        """Asks the first owner of the slice for a lease."""
        elapsed = now - lease.asked_at
        owners = self.kernel.service('ownership').owners(slice_of(organisation))
        if elapsed < RETRY_S or not owners:
            return
        demand = lease.request_count / min(elapsed, LEASE_S)
        lease.ask_id += 1
        lease.asked_at = now
        lease.request_count = 0
        question = AskLease(
            organisation,
            owners[0].incarnation,
            self.incarnation,
            lease.ask_id,
            demand,
        )
        self.kernel.emit(Send(owners[0].host, question))

    @on(AskLease)
    def lease_asked(self, sender: HostId, ask: AskLease, now: Instant) -> None:
        """Leases a share by demand, limited to what is not leased out."""
        place = OwnerKey(slice_of(ask.organisation), 0)
        ownership = self.kernel.service('ownership')
        is_owner_now = ownership.first_owned_index(place.slice_id, now) == 0
        if ask.owner_incarnation != self.incarnation or not is_owner_now:
            return
        if now < self.active_from.get(place, now):
            return
        lessees = self.lessees.setdefault(ask.organisation, {})
        share = self.share_for(lessees, sender, ask.demand, now)
        if share > 0:
            answer = GrantLease(
                ask.organisation, ask.incarnation, ask.ask_id, share
            )
            self.kernel.emit(Send(sender, answer))

    def share_for(
        self,
        lessees: dict[HostId, Lessee],
        sender: HostId,
        demand: float,
        now: Instant,
    ) -> float:
        """Returns a host's new share, at most the share not leased out.

        A host may use an earlier lease until it expires, so each host counts
        with the largest of its leases.
        """
        lessee = lessees.setdefault(sender, Lessee(demand))
        lessee.demand = max(demand, 1 / LEASE_S)
        for holder in lessees.values():
            holder.leases = [one for one in holder.leases if one[1] > now]
        active = [
            lessees[host]
            for host in lessees
            if lessees[host].leases and host != sender
        ]
        total = sum(other.demand for other in active)
        others = sum(other.share for other in active)
        share = min(lessee.demand / (total + lessee.demand), 1 - others)
        lessee.leases.append(
            (share, Instant(now + LEASE_S * CLOCK_DRIFT_FACTOR))
        )
        return share

    @on(GrantLease)
    def lease_granted(
        self, sender: HostId, grant: GrantLease, now: Instant
    ) -> None:
        """Stores a lease, which runs from the time of the request."""
        lease = self.leases.get(grant.organisation)
        if lease is None or grant.incarnation != self.incarnation:
            return
        if grant.ask_id == lease.ask_id:
            if lease.expires <= now:
                lease.bucket.level = float(0)
                lease.bucket.updated = now
            lease.share = grant.share
            lease.expires = Instant(lease.asked_at + LEASE_S)

    @on(OwnershipChanged)
    def ownership_changed(self, event: OwnershipChanged, now: Instant) -> None:
        """Removes lessees of changed slices and waits for leases to expire."""
        for slice_id in event.slices:
            self.active_from[OwnerKey(slice_id, 0)] = Instant(now + HANDOVER_S)
        self.lessees = {
            name: lessees
            for name, lessees in self.lessees.items()
            if slice_of(name) not in event.slices
        }

    @on(PauseDetected)
    def pause_detected(self, event: PauseDetected, now: Instant) -> None:
        """Drops all leases."""
        self.leases.clear()
