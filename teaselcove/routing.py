"""Choice of a backend server for an attempt."""

from collections import Counter

from teaselcove.attempts import Attempt
from teaselcove.balancers import Balancer, Candidate, balancers
from teaselcove.effects import ReadEndpoints
from teaselcove.entities import Server, Service
from teaselcove.events import AttemptResult, EndpointsListed, HostState
from teaselcove.ids import BackendServerId, Instant, ServiceId
from teaselcove.kernel import Kernel, on, services

# A server that said it drains gets no new work for this long, unless the
# platform's list shows it as live after that.
LEAVING_HOLD_S = 30
# A refused connection is the first sign of many drains and of every crash;
# the list or the evidence confirms them within this time. A server that shed
# a call has no free slot for about the latency of a short call.
CLOSED_HOLDS_S = {AttemptResult.NOT_SENT: 1, AttemptResult.SHED: 0.03}
# A server that the list shows for the first time, or again, starts cold.
WARM_UP_S = 10
COLD_WEIGHT = 0.2


@services.register('routing')
class Routing:
    """Keeps the attempts in flight and picks servers."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.in_flight: Counter[BackendServerId] = Counter()
        self.listed: set[BackendServerId] = set()
        self.cold_since: dict[BackendServerId, Instant] = {}
        self.closed_until: dict[BackendServerId, Instant] = {}
        self.listed_leaving: frozenset[BackendServerId] = frozenset()
        self.leaving_until: dict[BackendServerId, Instant] = {}
        name = kernel.settings.policies.balancer
        self.balancer: Balancer = balancers.get(name)(kernel)

    def start(self, now: Instant) -> None:
        """Starts to read the list of backend servers at intervals."""
        self.read_list(now)

    def read_list(self, now: Instant) -> None:
        """Asks for the platform's list of backend servers."""
        self.kernel.emit(ReadEndpoints())
        interval = self.kernel.settings.list_read_interval
        self.kernel.call_at(Instant(now + interval), self.read_list)

    @on(EndpointsListed)
    def endpoints_listed(self, event: EndpointsListed, now: Instant) -> None:
        """Takes over which servers are leaving and which are new."""
        self.listed_leaving = frozenset(
            entry.server
            for entry in event.endpoints
            if entry.state is HostState.LEAVING
        )
        listed = {entry.server for entry in event.endpoints}
        for server in listed - self.listed if self.listed else ():
            self.cold_since[server] = now
        self.listed = listed

    def is_leaving(self, server: BackendServerId, now: Instant) -> bool:
        """Returns whether a server must get no new work."""
        if server in self.listed_leaving:
            return True
        return self.leaving_until.get(server, now) > now

    def is_closed(self, server: BackendServerId, now: Instant) -> bool:
        """Returns whether a server would not accept a call now."""
        if self.closed_until.get(server, now) > now:
            return True
        return self.is_leaving(server, now)

    def is_warm(self, server: BackendServerId, now: Instant) -> bool:
        """Returns whether a server is long enough in the list."""
        return self.warmth(server, now) == 1

    def warmth(self, server: BackendServerId, now: Instant) -> float:
        """Returns the share of work of a server that starts cold."""
        since = self.cold_since.get(server)
        if since is None:
            return 1
        done = min((now - since) / WARM_UP_S, 1)
        return COLD_WEIGHT + (1 - COLD_WEIGHT) * done

    def record_leaving(self, server: BackendServerId, now: Instant) -> None:
        """Notes that a server announced its drain in an answer."""
        self.leaving_until[server] = Instant(now + LEAVING_HOLD_S)

    def pick(
        self,
        service: ServiceId,
        exclude: frozenset[BackendServerId],
        now: Instant,
        idempotent: bool = False,
    ) -> Server | None:
        """Returns the server for a new attempt, or None if all are busy.

        Args:
            service: The service.
            exclude: Servers that have failed the request.
            now: Present time.
            idempotent: Whether the call may try an ejected server.
        """
        declared = self.kernel.service('configuration').service(service)
        if declared is None:
            return None
        trial = self.trial(declared, exclude, idempotent, now)
        if trial is not None:
            self.kernel.decide('trial', service=service, server=trial.id)
            return trial
        candidates = self.candidates(declared, exclude, now)
        if not candidates:
            return None
        quiet = self.kernel.service('observations').view(service).quiet
        few = [item for item in candidates if item.server.id in quiet]
        chosen = self.balancer.choose(few or candidates, now)
        self.kernel.decide(
            'route',
            service=service,
            server=chosen.server.id,
            in_flight=chosen.in_flight,
            weight=chosen.weight,
            candidates=len(candidates),
        )
        return chosen.server

    def trial(
        self,
        service: Service,
        exclude: frozenset[BackendServerId],
        idempotent: bool,
        now: Instant,
    ) -> Server | None:
        """Returns an ejected server that this call should try, or None."""
        if exclude:
            # A request that has failed once is not put at risk again.
            return None
        tried = self.kernel.service('health').trial(service, idempotent, now)
        for server in service.servers:
            if server.id == tried:
                return server
        return None

    def candidates(
        self,
        service: Service,
        exclude: frozenset[BackendServerId],
        now: Instant,
    ) -> list[Candidate]:
        """Returns the servers with a free slot that may get new work."""
        weights = self.kernel.service('health').weights(service, now)
        found = []
        for server in service.servers:
            if server.id in exclude or self.is_closed(server.id, now):
                continue
            in_flight = self.in_flight[server.id]
            weight = weights[server.id] * self.warmth(server.id, now)
            if weight > 0 and in_flight < server.slots:
                found.append(Candidate(server, in_flight, weight))
        return found

    def attempt_started(self, attempt: Attempt, now: Instant) -> None:
        """Notes that an attempt is in flight."""
        self.in_flight[attempt.server] += 1

    def attempt_finished(
        self, attempt: Attempt, result: AttemptResult, now: Instant
    ) -> None:
        """Notes that an attempt has ended."""
        self.in_flight[attempt.server] -= 1
        if not self.in_flight[attempt.server]:
            self.in_flight.pop(attempt.server)
        hold = CLOSED_HOLDS_S.get(result)
        if hold is not None:
            self.closed_until[attempt.server] = Instant(now + hold)
