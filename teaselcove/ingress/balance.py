"""Chooses the backend server for an attempt.

Load: at any time some servers fail most requests for a few seconds, and a
non-idempotent request is lost at its first failure. Such requests go to the
servers that completed a request most recently. Idempotent requests serve as
trials of the other servers, so that enough servers are known to work; a failed
trial costs one retry from the retry budget.
"""

import msgspec

from teaselcove.ids import BackendServerId, Instant, ServiceId
from teaselcove.ingress.kernel import ingress_services
from teaselcove.ingress.known_servers import KnownServer
from teaselcove.ingress.server_record import Condition
from teaselcove.kernel import Kernel

# Costs are expected losses, as a fraction of one request.
# Each server fails most requests for some seconds about every 9 s, so the risk
# grows by this for each second since its last success.
RISK_PER_SECOND = 0.08
MAX_RISK = 0.3
# Cost of traffic between availability zones.
OTHER_ZONE_COST = 0.08
# Cost of load, times the share of slots in use: load slows answers down.
LOAD_COST = 0.005
# Cost if the request has to wait at the server for a free slot.
FULL_COST = 0.2
# Cost for each multiple of the service's median service time.
SLOW_COST = 0.06
MAX_SLOW_COST = 0.5
# Cost during warm-up, when a server is about twice as slow.
WARMUP_COST = 0.1
# Seconds without a success after which a healthy server is due for a trial.
UNVERIFIED_AFTER_S = 1
# Share of a service's servers that should have a recent success.
VERIFIED_SHARE = 0.6
# Seconds by which trials in other availability zones are delayed: the hosts
# there make them and report the results. 1 s covers two lost reports.
OTHER_ZONE_TRIAL_DELAY_S = 1
# Share of the slots of healthy servers in use below which failing servers are
# not needed and get trials less often.
SPARE_LOAD = 0.5
# Share of the retry budget that trials leave unused.
TRIAL_BUDGET_RESERVE = 0.4
# Requests beyond its slots that a server may get: one that waits there starts
# as soon as a slot is free.
QUEUED_AT_SERVER = 1


class Pick(msgspec.Struct, frozen=True):
    """The chosen server and the state it was chosen in.

    Attributes:
        trial: Whether the request is a trial of the server.
        list_age: Age in seconds of the list of servers.
    """

    known: KnownServer
    trial: bool
    condition: Condition
    in_flight: int
    list_age: float


@ingress_services.register('balance')
class Balance:
    """Counts the attempts in flight and picks servers.

    Attributes:
        in_flight: Attempts of this host by server.
        remote_in_flight: Attempts of other hosts by server, as last reported.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.in_flight: dict[BackendServerId, int] = {}
        self.remote_in_flight: dict[BackendServerId, int] = {}

    def started(self, server: BackendServerId) -> None:
        """Records the start of an attempt."""
        self.in_flight[server] = self.in_flight.get(server, 0) + 1

    def finished(self, server: BackendServerId) -> None:
        """Records the end of an attempt."""
        left = self.in_flight.get(server, 1) - 1
        if left:
            self.in_flight[server] = left
        else:
            self.in_flight.pop(server, None)

    def load(self, server: BackendServerId) -> int:
        """Returns the attempts of all hosts in flight at a server."""
        return self.in_flight.get(server, 0) + self.remote_in_flight.get(
            server, 0
        )

    def has_capacity(self, known: KnownServer, now: Instant) -> bool:
        """Returns whether a server can take another attempt."""
        if self.load(known.server.id) >= known.server.slots + QUEUED_AT_SERVER:
            return False
        if self.kernel.service('announcements').is_paused(known, now):
            return False
        limits = self.kernel.service('server-limits')
        return limits.allows(known.server.id, now)

    def cost(
        self, known: KnownServer, median_latency: float, now: Instant
    ) -> float:
        """Returns the expected loss of sending a request to a server.

        Args:
            known: The server.
            median_latency: Median service time of its service in seconds.
            now: Present time.
        """
        name = known.server.id
        health = self.kernel.service('health')
        cost = min(
            MAX_RISK, RISK_PER_SECOND * health.time_since_success(name, now)
        )
        load = self.load(name)
        cost += LOAD_COST * load / known.server.slots
        if load >= known.server.slots:
            cost += FULL_COST
        latency = health.record(name).latency
        if latency is not None:
            slowness = SLOW_COST * (latency / median_latency - 1)
            cost += max(-SLOW_COST, min(MAX_SLOW_COST, slowness))
        if known.server.zone != self.kernel.settings.zone:
            cost += OTHER_ZONE_COST
        if now < known.warm_at:
            cost += WARMUP_COST
        return cost

    def pick(
        self,
        service: ServiceId,
        allow_trial: bool,
        exclude: frozenset[BackendServerId],
        now: Instant,
    ) -> Pick | None:
        """Returns the server for an attempt, or None if there is no capacity.

        Args:
            service: The service.
            allow_trial: Whether the request may be a trial, since it can be
                retried if that fails.
            exclude: Servers that have failed this request.
            now: Present time.
        """
        health = self.kernel.service('health')
        usable = [
            known
            for known in self.kernel.service('discovery').usable(service, now)
            if known.server.id not in exclude
        ]
        available = [
            known
            for known in usable
            if self.has_capacity(known, now)
            and not health.is_unavailable(known.server.id, now)
        ]
        if allow_trial:
            candidate = self.trial_candidate(service, usable, available, now)
            if candidate is not None:
                return self.make_pick(candidate, now, trial=True)
        return self.pick_best(usable, available, now)

    def trial_candidate(
        self,
        service: ServiceId,
        usable: list[KnownServer],
        available: list[KnownServer],
        now: Instant,
    ) -> KnownServer | None:
        """Returns a server that is due for a trial, or None."""
        window = self.kernel.service('retry-window')
        if not window.has_budget(service, now, reserve=TRIAL_BUDGET_RESERVE):
            return None
        health = self.kernel.service('health')
        verified = sum(
            health.condition(known.server.id) is Condition.HEALTHY
            and health.time_since_success(known.server.id, now)
            < UNVERIFIED_AFTER_S
            for known in usable
        )
        enough_verified = verified >= VERIFIED_SHARE * len(usable)
        has_spare_slots = self.has_spare_slots(usable)
        due = [
            known
            for known in available
            if health.is_due_for_trial(
                known.server.id, has_spare_slots, self.trial_due_by(known, now)
            )
            and self.needs_trial(known, enough_verified, now)
        ]
        return self.kernel.random.choice(due) if due else None

    def trial_due_by(self, known: KnownServer, now: Instant) -> Instant:
        """Returns the time by which a trial of a server must be due."""
        if known.server.zone == self.kernel.settings.zone:
            return now
        return Instant(now - OTHER_ZONE_TRIAL_DELAY_S)

    def has_spare_slots(self, usable: list[KnownServer]) -> bool:
        """Returns whether the healthy servers have slots to spare."""
        health = self.kernel.service('health')
        working = [
            known
            for known in usable
            if health.condition(known.server.id) is Condition.HEALTHY
        ]
        slots = sum(known.server.slots for known in working)
        load = sum(self.load(known.server.id) for known in working)
        return load < SPARE_LOAD * slots

    def needs_trial(
        self, known: KnownServer, enough_verified: bool, now: Instant
    ) -> bool:
        """Returns whether a server needs a trial.

        Args:
            known: The server.
            enough_verified: Whether enough servers have a recent success.
            now: Present time.
        """
        health = self.kernel.service('health')
        if health.condition(known.server.id) is not Condition.HEALTHY:
            return True
        silent = (
            health.time_since_success(known.server.id, now) > UNVERIFIED_AFTER_S
        )
        return silent and not enough_verified

    def pick_best(
        self,
        usable: list[KnownServer],
        available: list[KnownServer],
        now: Instant,
    ) -> Pick | None:
        """Returns the cheapest available server of the best condition.

        An ejected server is chosen only if all servers are ejected; otherwise
        the request waits for a slot of another one.
        """
        for condition in Condition:
            wanted = [
                known
                for known in available
                if self.effective_condition(known, now) is condition
            ]
            others_usable = condition is Condition.EJECTED and any(
                self.effective_condition(known, now) is not Condition.EJECTED
                for known in usable
            )
            if wanted and not others_usable:
                return self.make_pick(
                    self.lowest_cost(wanted, now), now, trial=False
                )
        return None

    def lowest_cost(
        self, wanted: list[KnownServer], now: Instant
    ) -> KnownServer:
        """Returns the server with the lowest cost; ties are random."""
        health = self.kernel.service('health')
        median_latency = health.median_latency(wanted[0].service)
        self.kernel.random.shuffle(wanted)
        return min(
            wanted, key=lambda item: self.cost(item, median_latency, now)
        )

    def effective_condition(
        self, known: KnownServer, now: Instant
    ) -> Condition:
        """Returns the condition, or HEALTHY if the last failure expired."""
        health = self.kernel.service('health')
        if health.failure_expired(known.server.id, now):
            return Condition.HEALTHY
        return health.condition(known.server.id)

    def make_pick(self, known: KnownServer, now: Instant, trial: bool) -> Pick:
        """Returns a pick with the present state of the server."""
        name = known.server.id
        condition = self.kernel.service('health').condition(name)
        list_age = self.kernel.service('discovery').age(now)
        return Pick(known, trial, condition, self.load(name), list_age)
