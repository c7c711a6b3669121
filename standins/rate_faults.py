"""Schedules of faults and load against the limiter of a small fleet."""

import itertools
import random

import msgspec

from standins.rate_load import (
    Judge,
    TokenWanted,
    add_probed_host,
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
# The first owners may spend tokens from then on.
WARM_UP_S = 2.0
# Share of the requests that the loaded host gets.
LOADED_SHARE = 0.7


class Step(msgspec.Struct, frozen=True):
    """One fault or change of load.

    Attributes:
        after: Seconds since the step before.
        action: Name of a method of `FaultRun`.
        host: Number that selects the host concerned.
        value: Size of the fault, from 0 to 1.
    """

    after: float
    action: str
    host: int = 0
    value: float = 0


def spendable(fleet: Fleet, organisation: OrganisationId) -> float:
    """Returns the tokens of an organisation that hosts could use now."""
    running = [
        host.kernel
        for host in fleet.hosts.values()
        if host.paused_until <= fleet.now
    ]
    total = float(0)
    for kernel in running:
        account = kernel.service('limiter').accounts.get(organisation)
        held = account.held if account else []
        total += sum(one.left for one in held if one.expires > fleet.now)
        bucket = kernel.service('grants').buckets.get(organisation)
        if bucket and is_held(kernel, organisation, bucket.places):
            total += bucket.level
    return total


def is_held(
    kernel: Kernel, organisation: OrganisationId, places: frozenset
) -> bool:
    """Returns whether a host still owns the places of a bucket."""
    ownership = kernel.service('ownership')
    slice_id = ownership.slice_of(organisation)
    owned = ownership.owned(slice_id, Instant(0))
    return {
        (slice_owner.index, slice_owner.epoch) for slice_owner in owned
    } >= places


class FaultRun:
    """Carries out a schedule and checks the rate after each event.

    Attributes:
        load_on: Host that gets most of the requests.
        load: Requests per second, as a multiple of the rate.
    """

    def __init__(
        self, organisations: tuple[Organisation, ...], seed: int, hosts: int
    ) -> None:
        self.random = random.Random(seed)
        self.checker = Judge(organisations)
        self.fleet = make_fleet(hosts, self.checker, seed=seed)
        self.added = itertools.count(hosts + 1)
        self.requests = itertools.count()
        self.load_on = 0
        self.load = 2.0
        self.fleet.run_until(WARM_UP_S)

    def run(self, schedule: list[Step], rest: float = 0) -> None:
        """Carries out the steps with load between them."""
        for step in schedule:
            self.run_load(step.after)
            getattr(self, step.action)(step)
            self.check()
        self.run_load(rest)

    def run_load(self, duration: float) -> None:
        """Sends requests for some time."""
        declared = [
            meter.organisation for meter in self.checker.meters.values()
        ]
        total = sum(one.rate for one in declared)
        end = self.fleet.now + duration
        while self.fleet.now < end:
            gap = self.random.expovariate(total * self.load)
            self.fleet.run_until(min(end, self.fleet.now + gap))
            self.check()
            self.request(self.random.choice(declared).id)

    def request(self, organisation: OrganisationId) -> None:
        """Sends a request, mostly to the loaded host."""
        names = sorted(self.fleet.hosts)
        if not names:
            return
        name = self.random.choice(names)
        if self.random.random() < LOADED_SHARE:
            name = names[self.load_on % len(names)]
        request_id = f'request-{next(self.requests)}'
        self.fleet.handle(name, TokenWanted(request_id, organisation))

    def check(self) -> None:
        """Checks the rate in every window, and that no token was created."""
        assert self.checker.overrun <= TOLERANCE, self.checker.overrun
        for name, meter in self.checker.meters.items():
            tokens = spendable(self.fleet, name)
            limit = meter.organisation.burst + TOLERANCE
            assert tokens <= limit, (name, tokens)

    def pick(self, step: Step) -> HostId | None:
        """Returns the host of a step, unless it is the last one."""
        names = sorted(self.fleet.hosts)
        return names[step.host % len(names)] if len(names) > 1 else None

    def move_load(self, step: Step) -> None:
        """Moves the load to another host and changes it."""
        self.load_on = step.host
        self.load = 0.3 + 3 * step.value

    def lose(self, step: Step) -> None:
        """Loses a share of the messages."""
        self.fleet.loss = step.value

    def repeat(self, step: Step) -> None:
        """Delivers a share of the messages twice."""
        self.fleet.repeat = step.value

    def delay(self, step: Step) -> None:
        """Delays messages, which also changes their order."""
        self.fleet.extra_delay = 3 * step.value**2

    def cut(self, step: Step) -> None:
        """Cuts the links from one host to some others."""
        sender = self.pick(step)
        for other in self.fleet.hosts:
            if self.random.random() < step.value:
                self.fleet.cut(sender, other)

    def heal(self, step: Step) -> None:
        """Ends all faults of links and of the log."""
        self.fleet.cuts.clear()
        self.fleet.loss = 0
        self.fleet.repeat = 0
        self.fleet.extra_delay = 0
        self.fleet.log.available = True
        self.fleet.log.lose_replies = False

    def pause(self, step: Step) -> None:
        """Freezes a host for up to 3 s."""
        name = self.pick(step)
        if name:
            self.fleet.pause(name, 3 * step.value)

    def drop_paused(self, step: Step) -> None:
        """Freezes a host so long that the list drops it; it comes back."""
        name = self.pick(step)
        if name:
            self.fleet.hosts[name].is_listed = False
            self.fleet.publish_list()
            self.fleet.pause(name, 13 + 4 * step.value)

    def crash(self, step: Step) -> None:
        """Ends a host; another one takes its place in the fleet."""
        name = self.pick(step)
        if name:
            self.fleet.crash(name)
        settings = host_settings(next(self.added), 'escrow')
        add_probed_host(self.fleet, settings, self.checker)

    def restart(self, step: Step) -> None:
        """Starts a new process on a host that the list never dropped."""
        name = self.pick(step)
        if name:
            kernel = self.fleet.hosts[name].kernel
            add_probed_host(self.fleet, kernel.settings, self.checker)

    def drain(self, step: Step) -> None:
        """Asks a host to leave; its process goes on for a while."""
        name = self.pick(step)
        if name:
            self.fleet.handle(name, DrainRequested())

    def log_down(self, step: Step) -> None:
        """Takes the log away, or only its replies to appends."""
        if step.host % 2:
            self.fleet.log.available = False
        else:
            self.fleet.log.lose_replies = True

    def change_rate(self, step: Step) -> None:
        """Publishes a rate and burst that are not above those declared."""
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
