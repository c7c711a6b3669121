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
# Clocks of two hosts may differ in speed by a tenth.
DRIFT = 1.1
# A host asks for its next lease this long before the present one ends.
RENEW_BEFORE_S = 0.5
# A new owner waits until the leases of the last one have ended.
HANDOVER_S = LEASE_S * DRIFT
# A host that gets no lease asks again after this time.
RETRY_S = 0.2


@message('lease-ask')
class AskLease(msgspec.Struct, frozen=True, array_like=True):
    """Asks the owner for a share of the rate.

    Attributes:
        demand: Requests per second that the host had lately.
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
    """A host's leases as the owner knows them, as (share, end)."""

    demand: float
    leases: list[tuple[float, Instant]] = []

    @property
    def share(self) -> float:
        """Largest share that the host may use now."""
        return max(share for share, _ in self.leases)


class HostLease(msgspec.Struct):
    """A host's own lease and demand.

    Attributes:
        bucket: Bucket of the leased share; empty when a lease begins anew.
        asked_at: When the last request was sent.
        counted: Requests since then.
    """

    bucket: Bucket
    share: float = 0
    expires: Instant = Instant(0)
    ask_id: int = 0
    asked_at: Instant = Instant(0)
    counted: int = 0


@limiters.register('lease')
class LeaseLimiter:
    """Splits the rate by demand among hosts, for the time of a lease."""

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
        """Takes one token of the leased share."""
        declared = self.declared(organisation)
        if declared is None or declared.rate <= 0:
            return RateVerdict(RateState.REFUSED)
        lease = self.leases.setdefault(
            organisation, HostLease(Bucket(0, 0, now))
        )
        lease.counted += 1
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
        """Returns the organisation of the configuration in force."""
        return self.kernel.service('configuration').organisation(organisation)

    def ask(
        self, organisation: OrganisationId, lease: HostLease, now: Instant
    ) -> None:
        """Asks the first owner of the slice."""
        elapsed = now - lease.asked_at
        owners = self.kernel.service('ownership').owners(slice_of(organisation))
        if elapsed < RETRY_S or not owners:
            return
        demand = lease.counted / min(elapsed, LEASE_S)
        lease.ask_id += 1
        lease.asked_at = now
        lease.counted = 0
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
        """Leases what other hosts do not have, by demand."""
        place = OwnerKey(slice_of(ask.organisation), 0)
        ownership = self.kernel.service('ownership')
        owns = ownership.is_owner(place.slice_id, now) == 0
        if ask.owner_incarnation != self.incarnation or not owns:
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
        """Returns a host's new share; never more than others leave.

        A host's earlier lease may still be in use until it expires, so the
        larger of both counts.
        """
        known = lessees.setdefault(sender, Lessee(demand))
        known.demand = max(demand, 1 / LEASE_S)
        for holder in lessees.values():
            holder.leases = [one for one in holder.leases if one[1] > now]
        active = [
            lessees[host]
            for host in lessees
            if lessees[host].leases and host != sender
        ]
        total = sum(other.demand for other in active)
        others = sum(other.share for other in active)
        share = min(known.demand / (total + known.demand), 1 - others)
        known.leases.append((share, Instant(now + LEASE_S * DRIFT)))
        return share

    @on(GrantLease)
    def lease_granted(
        self, sender: HostId, grant: GrantLease, now: Instant
    ) -> None:
        """Uses a lease from the time at which it was asked for."""
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
        """Forgets lessees of changed slices and waits for their leases."""
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
