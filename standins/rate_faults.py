"""Runs schedules of faults and load against the limiter of a small fleet."""

import itertools
import random

import msgspec

from standins.rate_load import (
    RateChecker,
    TokenWanted,
    add_stub_host,
    host_settings,
    make_fleet,
    publish,
)
from teaselcove.entities import Organisation
from teaselcove.events import DrainRequested
from teaselcove.fleet import Fleet
from teaselcove.ids import HostId, Instant, OrganisationId
from teaselcove.kernel import Kernel

TOLERANCE = 1e-6
# Seconds until the initial owners may spend tokens.
WARM_UP_S = 2.0
# Share of the requests that always go to the loaded host.
LOADED_SHARE = 0.7


class Step(msgspec.Struct, frozen=True):
    """A fault or a change of load.

    Attributes:
        after: Seconds since the previous step.
        action: Name of a method of `FaultRun`.
        host: Number that selects the affected host.
        value: Severity of the fault, from 0 to 1.
    """

    after: float
    action: str
    host: int = 0
    value: float = 0


def spendable_tokens(fleet: Fleet, organisation: OrganisationId) -> float:
    """Returns the tokens of an organisation that running hosts can use now."""
    running_kernels = [
        host.kernel
        for host in fleet.hosts.values()
        if host.paused_until <= fleet.now
    ]
    total = float(0)
    for kernel in running_kernels:
        account = kernel.service('limiter').accounts.get(organisation)
        held = account.held if account else []
        total += sum(batch.left for batch in held if batch.expires > fleet.now)
        bucket = kernel.service('grants').buckets.get(organisation)
        if bucket and owns_places(kernel, organisation, bucket.places):
            total += bucket.level
    return total


def owns_places(
    kernel: Kernel, organisation: OrganisationId, places: frozenset
) -> bool:
    """Returns whether a host currently owns all places of a bucket."""
    ownership = kernel.service('ownership')
    slice_id = ownership.slice_of(organisation)
    owned = ownership.owned(slice_id, Instant(0))
    return {
        (slice_owner.index, slice_owner.epoch) for slice_owner in owned
    } >= places


class FaultRun:
    """Runs a schedule and checks the rate limit after each event.

    Attributes:
        loaded_host: Number that selects the host with most of the requests.
        load: Requests per second, as a multiple of the declared rates.
    """

    def __init__(
        self, organisations: tuple[Organisation, ...], seed: int, hosts: int
    ) -> None:
        self.random = random.Random(seed)
        self.checker = RateChecker(organisations)
        self.fleet = make_fleet(hosts, self.checker, seed=seed)
        self.host_numbers = itertools.count(hosts + 1)
        self.request_numbers = itertools.count()
        self.loaded_host = 0
        self.load = 2.0
        self.fleet.run_until(WARM_UP_S)

    def run(self, schedule: list[Step], rest: float = 0) -> None:
        """Runs the steps under load, then continues it for `rest` seconds."""
        for step in schedule:
            self.run_load(step.after)
            getattr(self, step.action)(step)
            self.check()
        self.run_load(rest)

    def run_load(self, duration: float) -> None:
        """Sends requests at the current load for some seconds."""
        declared = [
            meter.organisation for meter in self.checker.meters.values()
        ]
        total = sum(organisation.rate for organisation in declared)
        end = self.fleet.now + duration
        while self.fleet.now < end:
            gap = self.random.expovariate(total * self.load)
            self.fleet.run_until(min(end, self.fleet.now + gap))
            self.check()
            self.send_request(self.random.choice(declared).id)

    def send_request(self, organisation: OrganisationId) -> None:
        """Sends a request to a random host, mostly to the loaded one."""
        names = sorted(self.fleet.hosts)
        if not names:
            return
        name = self.random.choice(names)
        if self.random.random() < LOADED_SHARE:
            name = names[self.loaded_host % len(names)]
        request_id = f'request-{next(self.request_numbers)}'
        self.fleet.handle(name, TokenWanted(request_id, organisation))

    def check(self) -> None:
        """Checks the rate in every time window and the number of tokens."""
        assert self.checker.overrun <= TOLERANCE, self.checker.overrun
        for name, meter in self.checker.meters.items():
            tokens = spendable_tokens(self.fleet, name)
            limit = meter.organisation.burst + TOLERANCE
            assert tokens <= limit, (name, tokens)

    def select_host(self, step: Step) -> HostId | None:
        """Returns the host that a step affects, or None if only one is left."""
        names = sorted(self.fleet.hosts)
        return names[step.host % len(names)] if len(names) > 1 else None

    def move_load(self, step: Step) -> None:
        """Moves the load to another host and changes its rate."""
        self.loaded_host = step.host
        self.load = 0.3 + 3 * step.value

    def lose(self, step: Step) -> None:
        """Drops a share of the messages."""
        self.fleet.loss_share = step.value

    def repeat(self, step: Step) -> None:
        """Delivers a share of the messages twice."""
        self.fleet.duplicate_share = step.value

    def delay(self, step: Step) -> None:
        """Delays messages by random times, which also reorders them."""
        self.fleet.extra_delay = 3 * step.value**2

    def cut(self, step: Step) -> None:
        """Cuts the links from one host to a share of the hosts."""
        sender = self.select_host(step)
        for other in self.fleet.hosts:
            if self.random.random() < step.value:
                self.fleet.cut(sender, other)

    def heal(self, step: Step) -> None:
        """Ends all faults of the links and the log."""
        self.fleet.cuts.clear()
        self.fleet.loss_share = 0
        self.fleet.duplicate_share = 0
        self.fleet.extra_delay = 0
        self.fleet.log.available = True
        self.fleet.log.lose_replies = False

    def pause(self, step: Step) -> None:
        """Pauses a host for up to 3 s."""
        name = self.select_host(step)
        if name:
            self.fleet.pause(name, 3 * step.value)

    def drop_paused(self, step: Step) -> None:
        """Removes a host from the list and pauses it for 13 to 17 s.

        The pause is long enough for the fleet to remove it; then it resumes.
        """
        name = self.select_host(step)
        if name:
            self.fleet.hosts[name].is_listed = False
            self.fleet.publish_list()
            self.fleet.pause(name, 13 + 4 * step.value)

    def crash(self, step: Step) -> None:
        """Crashes a host and adds a new one to the fleet."""
        name = self.select_host(step)
        if name:
            self.fleet.crash(name)
        settings = host_settings(next(self.host_numbers), 'escrow')
        add_stub_host(self.fleet, settings, self.checker)

    def restart(self, step: Step) -> None:
        """Restarts a host without removing it from the list."""
        name = self.select_host(step)
        if name:
            kernel = self.fleet.hosts[name].kernel
            add_stub_host(self.fleet, kernel.settings, self.checker)

    def drain(self, step: Step) -> None:
        """Asks a host to drain; its process keeps running for a while."""
        name = self.select_host(step)
        if name:
            self.fleet.handle(name, DrainRequested())

    def log_down(self, step: Step) -> None:
        """Makes the log unavailable, or loses its replies to appends."""
        if step.host % 2:
            self.fleet.log.available = False
        else:
            self.fleet.log.lose_replies = True

    def change_rate(self, step: Step) -> None:
        """Publishes a rate and burst that do not exceed the declared ones."""
        names = sorted(self.checker.meters)
        declared = self.checker.meters[names[step.host % len(names)]]
        changed = msgspec.structs.replace(
            declared.organisation,
            rate=declared.organisation.rate * (1 - step.value / 2),
            burst=round(declared.organisation.burst * (1 - step.value * 0.9)),
        )
        publish(self.fleet, changed)


ACTIONS = (
    'move_load',
    'lose',
    'repeat',
    'delay',
    'cut',
    'heal',
    'pause',
    'drop_paused',
    'crash',
    'restart',
    'drain',
    'log_down',
    'change_rate',
)
