"""Load on the limiter of a fleet, and a judge of every admission."""

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
    """A caller's request, as far as the limiter sees it."""

    request_id: RequestId
    organisation: OrganisationId


class Meter:
    """One ideal bucket over all hosts, filled by what was admitted.

    The admissions in every window (t0, t1) are at most burst + rate *
    (t1 - t0) exactly if the level never exceeds the burst.

    Attributes:
        level: Admissions that the rate has not yet made up for.
        highest: Largest level so far.
    """

    def __init__(self, organisation: Organisation) -> None:
        self.organisation = organisation
        self.level = float(0)
        self.highest = float(0)
        self.updated = float(0)

    def advance(self, now: float) -> None:
        """Lets time pass."""
        made_up = (now - self.updated) * self.organisation.rate
        self.level = max(0, self.level - made_up)
        self.updated = now

    def admit(self, now: float) -> None:
        """Counts an admission."""
        self.advance(now)
        self.level += 1
        self.highest = max(self.highest, self.level)

    def has_room(self, now: float) -> bool:
        """Returns whether one more is inside rate and burst."""
        self.advance(now)
        return self.level + 1 <= self.organisation.burst + 1e-9

    @property
    def overrun(self) -> float:
        """Largest excess of any window in requests, or 0."""
        return max(0, self.highest - self.organisation.burst)


class Arrival(msgspec.Struct, frozen=True):
    """A request that has no verdict yet.

    Attributes:
        at: When it arrived.
        is_inside: Whether one ideal bucket over all hosts admits it.
    """

    at: float
    organisation: OrganisationId
    is_inside: bool


class Judge:
    """Counts the verdicts of all hosts and judges them.

    Attributes:
        wrongful: Refusals of requests that one ideal bucket admits.
        verdicts: Number of verdicts by state.
        offered: Number of requests by organisation.
        waits: Seconds from arrival to each verdict.
    """

    def __init__(self, organisations: tuple[Organisation, ...]) -> None:
        self.meters = {one.id: Meter(one) for one in organisations}
        self.ideal = {one.id: Meter(one) for one in organisations}
        self.arrived: dict[RequestId, Arrival] = {}
        self.verdicts: Counter[RateState] = Counter()
        self.wrongful: Counter[OrganisationId] = Counter()
        self.offered: Counter[OrganisationId] = Counter()
        self.ideal_admitted = 0
        self.waits: list[float] = []

    def arrive(self, event: TokenWanted, now: float) -> None:
        """Notes a request and what the ideal bucket does with it."""
        self.offered[event.organisation] += 1
        ideal = self.ideal[event.organisation]
        has_room = ideal.has_room(now)
        if has_room:
            ideal.admit(now)
            self.ideal_admitted += 1
        arrival = Arrival(now, event.organisation, has_room)
        self.arrived[event.request_id] = arrival

    def decide(
        self, request_id: RequestId, verdict: RateVerdict, now: float
    ) -> None:
        """Judges a verdict when it takes effect."""
        if verdict.state is RateState.PENDING:
            return
        arrival = self.arrived.pop(request_id)
        self.verdicts[verdict.state] += 1
        self.waits.append(now - arrival.at)
        if verdict.state is RateState.GRANTED:
            self.meters[arrival.organisation].admit(now)
        elif arrival.is_inside:
            self.wrongful[arrival.organisation] += 1

    @property
    def overrun(self) -> float:
        """Largest excess of any organisation in any window."""
        return max(meter.overrun for meter in self.meters.values())


class Probe:
    """Stands in for the requests service of a host.

    Attributes:
        states: Requests in progress, whose number heartbeats carry.
    """

    def __init__(self, kernel: Kernel, checker: Judge) -> None:
        self.kernel = kernel
        self.checker = checker
        self.states: dict[RequestId, None] = {}

    @on(TokenWanted)
    def token_wanted(self, event: TokenWanted, now: Instant) -> None:
        """Asks the limiter."""
        self.checker.arrive(event, now)
        verdict = self.kernel.service('rates').take(
            event.request_id, event.organisation, now
        )
        self.checker.decide(event.request_id, verdict, now)

    def rate_decided(
        self, request_id: RequestId, verdict: RateVerdict, now: Instant
    ) -> None:
        """Takes the verdict on a request that waited."""
        self.checker.decide(request_id, verdict, now)


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


def add_probed_host(
    fleet: Fleet, settings: HostSettings, checker: Judge
) -> Kernel:
    """Starts a host whose requests go to the judge."""
    kernel = fleet.add_host(settings)
    probe = Probe(kernel, checker)
    kernel.add_service('probe', probe)
    kernel.services['requests'] = probe
    return kernel


def publish(fleet: Fleet, *organisations: Organisation) -> None:
    """Puts organisations into force with a new version."""
    base = len(fleet.log.streams[STREAM])
    entities = Entities(organisations=organisations)
    record: Any = ApplyRecord(f'apply-{base}', base, entities)
    fleet.log.append(STREAM, msgspec.json.encode(record))


def allocate(fleet: Fleet) -> None:
    """Writes the first allocation, so that a run does not wait for it."""
    entries = [host.entry for host in fleet.hosts.values()]
    incarnations = {entry.host: entry.incarnation for entry in entries}
    allocator = Allocator(SliceTable(), entries, incarnations)
    record = OwnershipRecord(tuple(allocator.allocate(all_places())))
    fleet.log.append(OWNERSHIP, msgspec.msgpack.encode(record))


def make_fleet(
    count: int,
    checker: Judge,
    limiter: str = 'escrow',
    seed: int = 1,
) -> Fleet:
    """Returns a fleet with owners and the organisations of a judge."""
    fleet = Fleet(seed)
    publish(fleet, *(one.organisation for one in checker.meters.values()))
    for index in range(1, count + 1):
        add_probed_host(fleet, host_settings(index, limiter), checker)
    allocate(fleet)
    return fleet
