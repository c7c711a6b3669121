"""Choice of the backend server for an attempt.

Load: at any time some servers fail most requests for a few seconds, and a
request that may run once is lost with the first failure that it meets. Such
requests go to the servers that have completed one most recently. Requests
that may be repeated keep testing the others, so that enough servers are known
to work; a failure there costs a second attempt from the budget.
"""

import msgspec

from teaselcove.ids import BackendServerId, Instant, ServiceId
from teaselcove.ingress.discovery import KnownServer
from teaselcove.ingress.kernel import ingress_services
from teaselcove.ingress.server_record import Condition
from teaselcove.kernel import Kernel

# All costs are shares of a request that are lost on average.
# A server fails for some seconds about each 9 s, and then most requests; so
# with each second without a success the risk grows by this share.
RISK_PER_SECOND = 0.08
MAX_RISK = 0.3
# Traffic between availability zones costs about as much as this share of a
# request's worth.
OTHER_ZONE_COST = 0.08
# Slots in use make an answer slower.
LOAD_COST = 0.005
# A request that has to wait at the server for another one to end.
FULL_COST = 0.2
# Each multiple of the usual service time of the service.
SLOW_COST = 0.06
MAX_SLOW_COST = 0.5
# A server that has just started works about twice as slowly.
COLD_COST = 0.1
# A server without a success for this long is to be tested again.
UNTESTED_S = 1
# Share of a service's servers that should be known to work.
TESTED_SHARE = 0.6
# Servers of other availability zones are tried this much later, since hosts
# there try them and tell; a second covers two reports that are lost.
FAR_TRIAL_DELAY_S = 1
# With fewer than this share of the slots of working servers in use, servers
# that fail are not needed and are tried seldom.
SPARE_LOAD = 0.5
# Share of the budget for second attempts that tests leave.
TEST_SPARE = 0.4
# One request more than slots may wait at a server: it starts at once when a
# slot becomes free.
WAITING_AT_SERVER = 1


class Pick(msgspec.Struct, frozen=True):
    """The chosen server and why.

    Attributes:
        trial: Whether it is tried although it is not known to be well.
    """

    known: KnownServer
    trial: bool
    condition: Condition
    in_flight: int


@ingress_services.register('balance')
class Balance:
    """Keeps the attempts in flight and picks servers.

    Attributes:
        in_flight: Attempts of this host.
        remote_in_flight: Attempts of other hosts, as far as they have told.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.in_flight: dict[BackendServerId, int] = {}
        self.remote_in_flight: dict[BackendServerId, int] = {}

    def started(self, server: BackendServerId) -> None:
        """Notes an attempt."""
        self.in_flight[server] = self.in_flight.get(server, 0) + 1

    def finished(self, server: BackendServerId) -> None:
        """Notes the end of an attempt."""
        left = self.in_flight.get(server, 1) - 1
        if left:
            self.in_flight[server] = left
        else:
            self.in_flight.pop(server, None)

    def load(self, server: BackendServerId) -> int:
        """Returns the attempts in flight at a server, as far as known."""
        return self.in_flight.get(server, 0) + self.remote_in_flight.get(
            server, 0
        )

    def has_room(self, known: KnownServer) -> bool:
        """Returns whether a server may take one more attempt."""
        limit = known.server.slots + WAITING_AT_SERVER
        return self.load(known.server.id) < limit

    def cost(self, known: KnownServer, usual: float, now: Instant) -> float:
        """Returns what a request at a server loses on average.

        Args:
            known: The server.
            usual: Usual service time of its service in seconds.
            now: Present time.
        """
        name = known.server.id
        health = self.kernel.service('health')
        cost = min(MAX_RISK, RISK_PER_SECOND * health.silence(name, now))
        load = self.load(name)
        cost += LOAD_COST * load / known.server.slots
        if load >= known.server.slots:
            cost += FULL_COST
        latency = health.record(name).latency
        if latency is not None:
            slowness = SLOW_COST * (latency / usual - 1)
            cost += max(-SLOW_COST, min(MAX_SLOW_COST, slowness))
        if known.server.zone != self.kernel.settings.zone:
            cost += OTHER_ZONE_COST
        if now < known.warm_at:
            cost += COLD_COST
        return cost

    def pick(
        self,
        service: ServiceId,
        may_test: bool,
        exclude: frozenset[BackendServerId],
        now: Instant,
    ) -> Pick | None:
        """Returns the server for an attempt, or None if all are full.

        Args:
            service: The service.
            may_test: Whether the request may try a server that is not known
                to be well, since a failure there leaves it another attempt.
            exclude: Servers that have failed the request.
            now: Present time.
        """
        health = self.kernel.service('health')
        usable = [
            known
            for known in self.kernel.service('discovery').usable(service, now)
            if known.server.id not in exclude
        ]
        open_servers = [
            known
            for known in usable
            if self.has_room(known)
            and not health.is_closed(known.server.id, now)
        ]
        if may_test:
            test = self.server_to_test(service, usable, open_servers, now)
            if test is not None:
                return self.picked(test, trial=True)
        return self.best(usable, open_servers, now)

    def server_to_test(
        self,
        service: ServiceId,
        usable: list[KnownServer],
        open_servers: list[KnownServer],
        now: Instant,
    ) -> KnownServer | None:
        """Returns a server that a repeatable request should test, or None."""
        window = self.kernel.service('retry-window')
        if not window.has(service, now, spare=TEST_SPARE):
            return None
        health = self.kernel.service('health')
        tested = sum(
            health.condition(known.server.id) is Condition.WELL
            and health.silence(known.server.id, now) < UNTESTED_S
            for known in usable
        )
        enough = tested >= TESTED_SHARE * len(usable)
        relaxed = self.has_spare_slots(usable)
        due = [
            known
            for known in open_servers
            if health.may_try(
                known.server.id, relaxed, self.asked_at(known, now)
            )
            and self.is_untested(known, enough, now)
        ]
        return self.kernel.random.choice(due) if due else None

    def asked_at(self, known: KnownServer, now: Instant) -> Instant:
        """Returns the time at which a server must be due for a trial."""
        if known.server.zone == self.kernel.settings.zone:
            return now
        return Instant(now - FAR_TRIAL_DELAY_S)

    def has_spare_slots(self, usable: list[KnownServer]) -> bool:
        """Returns whether the servers that work can take much more."""
        health = self.kernel.service('health')
        working = [
            known
            for known in usable
            if health.condition(known.server.id) is Condition.WELL
        ]
        slots = sum(known.server.slots for known in working)
        load = sum(self.load(known.server.id) for known in working)
        return load < SPARE_LOAD * slots

    def is_untested(
        self, known: KnownServer, enough: bool, now: Instant
    ) -> bool:
        """Returns whether a server needs a test.

        Args:
            known: The server.
            enough: Whether enough servers are known to work.
            now: Present time.
        """
        health = self.kernel.service('health')
        if health.condition(known.server.id) is not Condition.WELL:
            return True
        silent = health.silence(known.server.id, now) > UNTESTED_S
        return silent and not enough

    def best(
        self,
        usable: list[KnownServer],
        open_servers: list[KnownServer],
        now: Instant,
    ) -> Pick | None:
        """Returns the server of the best condition with room.

        A server that is out is chosen only if all are out: while another one
        lives, a request waits for its slot.
        """
        for condition in Condition:
            wanted = [
                known
                for known in open_servers
                if self.effective(known, now) is condition
            ]
            others_live = condition is Condition.OUT and any(
                self.effective(known, now) is not Condition.OUT
                for known in usable
            )
            if wanted and not others_live:
                return self.picked(self.cheapest(wanted, now), trial=False)
        return None

    def cheapest(self, wanted: list[KnownServer], now: Instant) -> KnownServer:
        """Returns the server with the lowest cost; of equals any."""
        health = self.kernel.service('health')
        usual = health.usual_latency(wanted[0].service)
        self.kernel.random.shuffle(wanted)
        return min(wanted, key=lambda item: self.cost(item, usual, now))

    def effective(self, known: KnownServer, now: Instant) -> Condition:
        """Returns the condition that counts for a request that runs once."""
        health = self.kernel.service('health')
        if health.is_forgiven(known.server.id, now):
            return Condition.WELL
        return health.condition(known.server.id)

    def picked(self, known: KnownServer, trial: bool) -> Pick:
        """Returns the choice with what it was based on."""
        name = known.server.id
        condition = self.kernel.service('health').condition(name)
        return Pick(known, trial, condition, self.load(name))
