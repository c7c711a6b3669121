"""Sends load to the limiter of a fleet and checks every admission."""

from collections import Counter
from typing import Any

import msgspec

from teaselcove.allocation import Allocator
from teaselcove.configuration import STREAM, ApplyRecord
from teaselcove.entities import Entities, Organisation
from teaselcove.fleet import Fleet
from teaselcove.ids import HostId, Instant, OrganisationId, RequestId
from teaselcove.kernel import Kernel, on
from teaselcove.ownership import STREAM as OWNERSHIP
from teaselcove.rates import RateState, RateVerdict
from teaselcove.settings import HostSettings, PolicySettings
from teaselcove.slices import OwnershipRecord, SliceTable, all_places


class TokenWanted(msgspec.Struct, frozen=True):
    """A caller's request for a token, as the limiter receives it."""

    request_id: RequestId
    organisation: OrganisationId


class Meter:
    """Leaky bucket across all hosts, which each admission fills by one.

    The admissions in every time window (t0, t1) are at most burst + rate *
    (t1 - t0) if and only if the level never exceeds the burst.

    Attributes:
        level: Admissions that have not yet drained at the rate.
        highest: Largest level so far.
    """

    def __init__(self, organisation: Organisation) -> None:
        self.organisation = organisation
        self.level = float(0)
        self.highest = float(0)
        self.updated = float(0)

    def advance(self, now: float) -> None:
        """Drains the bucket up to the given time."""
        drained = (now - self.updated) * self.organisation.rate
        self.level = max(0, self.level - drained)
        self.updated = now

    def admit(self, now: float) -> None:
        """Records an admission."""
        self.advance(now)
        self.level += 1
        self.highest = max(self.highest, self.level)

    def has_capacity(self, now: float) -> bool:
        """Returns whether one more admission is within rate and burst."""
        self.advance(now)
        return self.level + 1 <= self.organisation.burst + 1e-9

    @property
    def overrun(self) -> float:
        """Largest excess of any time window in requests, or 0."""
        return max(0, self.highest - self.organisation.burst)


class Arrival(msgspec.Struct, frozen=True):
    """A request without a verdict.

    Attributes:
        at: Time of arrival.
        is_within_rate: Whether one ideal bucket across all hosts admits it.
    """

    at: float
    organisation: OrganisationId
    is_within_rate: bool


class RateChecker:
    """Counts the verdicts of all hosts and compares them with an ideal bucket.

    Attributes:
        meters: Buckets filled by the actual admissions.
        ideal: Buckets that admit every request within rate and burst.
        arrived: Requests without a verdict.
        verdicts: Number of verdicts by state.
        wrongful: Number of refused requests that one ideal bucket admits, by
            organisation.
        offered: Number of requests by organisation.
        ideal_admitted: Number of requests that the ideal buckets admit.
        waits: Seconds from the arrival of each request to its verdict.
    """

    def __init__(self, organisations: tuple[Organisation, ...]) -> None:
        self.meters = {
            organisation.id: Meter(organisation)
            for organisation in organisations
        }
        self.ideal = {
            organisation.id: Meter(organisation)
            for organisation in organisations
        }
        self.arrived: dict[RequestId, Arrival] = {}
        self.verdicts: Counter[RateState] = Counter()
        self.wrongful: Counter[OrganisationId] = Counter()
        self.offered: Counter[OrganisationId] = Counter()
        self.ideal_admitted = 0
        self.waits: list[float] = []

    def record_arrival(self, event: TokenWanted, now: float) -> None:
        """Records a request and whether the ideal bucket admits it."""
        self.offered[event.organisation] += 1
        ideal = self.ideal[event.organisation]
        has_capacity = ideal.has_capacity(now)
        if has_capacity:
            ideal.admit(now)
            self.ideal_admitted += 1
        arrival = Arrival(now, event.organisation, has_capacity)
        self.arrived[event.request_id] = arrival

    def record_verdict(
        self, request_id: RequestId, verdict: RateVerdict, now: float
    ) -> None:
        """Records a verdict at the time it takes effect."""
        if verdict.state is RateState.PENDING:
            return
        arrival = self.arrived.pop(request_id)
        self.verdicts[verdict.state] += 1
        self.waits.append(now - arrival.at)
        if verdict.state is RateState.GRANTED:
            self.meters[arrival.organisation].admit(now)
        elif arrival.is_within_rate:
            self.wrongful[arrival.organisation] += 1

    @property
    def overrun(self) -> float:
        """Largest excess of any organisation in any time window."""
        return max(meter.overrun for meter in self.meters.values())


class RequestsStub:
    """Stub of the requests service of a host.

    Attributes:
        states: Requests in flight; heartbeats report their number. Always
            empty here.
    """

    def __init__(self, kernel: Kernel, checker: RateChecker) -> None:
        self.kernel = kernel
        self.checker = checker
        self.states: dict[RequestId, None] = {}

    @on(TokenWanted)
    def token_wanted(self, event: TokenWanted, now: Instant) -> None:
        """Takes a token from the limiter."""
        self.checker.record_arrival(event, now)
        verdict = self.kernel.service('rates').take(
            event.request_id, event.organisation, now
        )
        self.checker.record_verdict(event.request_id, verdict, now)

    def rate_decided(
        self, request_id: RequestId, verdict: RateVerdict, now: Instant
    ) -> None:
        """Records the verdict on a request that was pending."""
        self.checker.record_verdict(request_id, verdict, now)


def host_settings(index: int, limiter: str) -> HostSettings:
    """Returns the settings of a host in one of three zones."""
    return HostSettings(
        HostId(f'host-{index}'),
        'abc'[index % 3],
        f'127.0.1.{index}',
        8000,
        9000,
        'http://127.0.0.1:1',
        'http://127.0.0.1:2',
        policies=PolicySettings(limiter=limiter),
    )


def add_stub_host(
    fleet: Fleet, settings: HostSettings, checker: RateChecker
) -> Kernel:
    """Starts a host whose verdicts are recorded by the checker."""
    kernel = fleet.add_host(settings)
    stub = RequestsStub(kernel, checker)
    kernel.add_service('probe', stub)
    kernel.services['requests'] = stub
    return kernel


def publish(fleet: Fleet, *organisations: Organisation) -> None:
    """Appends a configuration version with the given organisations."""
    base = len(fleet.log.streams[STREAM])
    entities = Entities(organisations=organisations)
    record: Any = ApplyRecord(f'apply-{base}', base, entities)
    fleet.log.append(STREAM, msgspec.json.encode(record))


def append_allocation(fleet: Fleet) -> None:
    """Writes the initial allocation, so that a run need not wait for it."""
    entries = [host.entry for host in fleet.hosts.values()]
    incarnations = {entry.host: entry.incarnation for entry in entries}
    allocator = Allocator(SliceTable(), entries, incarnations)
    record = OwnershipRecord(tuple(allocator.allocate(all_places())))
    fleet.log.append(OWNERSHIP, msgspec.msgpack.encode(record))


def make_fleet(
    count: int,
    checker: RateChecker,
    limiter: str = 'escrow',
    seed: int = 1,
) -> Fleet:
    """Returns a fleet with owners and the organisations of a checker."""
    fleet = Fleet(seed)
    publish(fleet, *(meter.organisation for meter in checker.meters.values()))
    for index in range(1, count + 1):
        add_stub_host(fleet, host_settings(index, limiter), checker)
    append_allocation(fleet)
    return fleet
